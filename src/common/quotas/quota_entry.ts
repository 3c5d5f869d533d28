/** Decides at an entry whether a request is within the quota of its workspace. */
import * as serving from '../../generated/serving.js';
import * as decision from '../serving/decision.js';
import * as randomSource from '../random_source.js';
import * as units from '../units.js';
import * as workspace from '../workspaces/workspace.js';
import * as quotaMembers from './quota_members.js';
import * as tokenOwner from './token_owner.js';
import * as workspaceTokens from './workspace_tokens.js';

/** Share of the time to a request's objective for which it may wait for a token. */
const MAX_WAIT_SHARE = 0.4;

/** Fewest requests of a workspace that may wait. */
const MIN_MAX_WAITING = 8;

/** Time after which the tokens of an unanswered request for tokens are asked for again. */
const ASK_TIMEOUT_MS: units.Millis = 300;

/** Shortest time between requests for the tokens of a workspace while one is open. */
const MIN_ASK_INTERVAL_MS: units.Millis = 20;

/** Time after which an owner is asked again that may not grant tokens yet. */
const PENDING_RETRY_MS: units.Millis = 50;

/** Longest time for which a token may be used after it was asked for. */
const MAX_LEASE_MS: units.Millis = 1_000;

/** Time without requests after which the state of a workspace is removed. */
const IDLE_MS: units.Millis = 10_000;

/** Bounds of the delay after which a refused caller may return. */
const MIN_RETRY_MS: units.Millis = 50;
const MAX_RETRY_MS: units.Millis = 10_000;

/** Decision on a request. */
export type Verdict =
  | {readonly kind: 'admitted'}
  /** `QuotaOutput` reports the end of the wait. */
  | {readonly kind: 'waiting'}
  | {readonly kind: 'refused'; readonly retryAfterMs: units.Millis};

/** A request as far as quotas need it. */
export interface QuotaRequest {
  /** Unique within the process. */
  readonly id: number;
  /** Request id given by the caller. */
  readonly requestId: string;
  readonly workspace: workspace.Workspace;
  /** Longest time for which it may wait for a token. */
  readonly maxWaitMs: units.Millis;
}

/** Returns the longest time for which a request may wait for a token. */
export function maxWaitMs(objectiveLeftMs: units.Millis): units.Millis {
  return Math.max(0, MAX_WAIT_SHARE * objectiveLeftMs);
}

/** Operations that `QuotaEntry` calls on its environment. */
export interface QuotaOutput {
  /** Asks for a call of `flush` at the end of this turn of the event loop. */
  flushSoon(): void;
  ask(nodeId: string, request: serving.TokenRequest): void;
  admit(requestId: number): void;
  refuse(requestId: number, retryAfterMs: units.Millis): void;
}

/** Dependencies and settings of `QuotaEntry`. */
export interface QuotaEntryOptions {
  readonly members: quotaMembers.QuotaMembers;
  readonly owner: tokenOwner.TokenOwner;
  readonly random: randomSource.RandomSource;
  readonly output: QuotaOutput;
  readonly log: decision.DecisionLog;
  /** Requests beyond the rate in one window that the bound allows, as a time at the rate. */
  readonly overageMs: units.Millis;
}

interface Admitted {
  readonly name: string;
  /** Undefined if the token belonged to the entry's own share. */
  readonly expiresMs: units.MonotonicMs | undefined;
}

/** Use of a workspace at this entry, for operators. */
export interface WorkspaceUse {
  readonly name: string;
  readonly demandPerSecond: number;
  readonly refusedPerSecond: number;
}

/** Admits requests with tokens of the workspace's owner, or with this entry's share. */
export class QuotaEntry {
  private readonly states = new Map<string, workspaceTokens.WorkspaceTokens>();
  /** Requests that wait for a grant, by id. */
  private readonly waitingRequests = new Map<number, QuotaRequest>();
  private readonly admitted = new Map<number, Admitted>();
  /** Workspaces with requests that wait, and possibly some that had ones lately. */
  private readonly waitingNames = new Set<string>();
  private readonly asking = new Map<string, workspace.Quota>();
  private readonly leaseMs: units.Millis;
  private lastNumber = 0;
  private sweptMs: units.MonotonicMs = 0;

  constructor(private readonly options: QuotaEntryOptions) {
    // Tokens granted before a window and used in it are then within its overage.
    this.leaseMs = Math.min(MAX_LEASE_MS, options.overageMs);
  }

  /** Number of workspaces with state. */
  get size(): number {
    return this.states.size;
  }

  /** Returns the verdict on a request, which must not be dispatched before it is admitted. */
  onRequest(request: QuotaRequest, now: units.MonotonicMs): Verdict {
    const {quota, name} = request.workspace;
    if (quota === undefined) return {kind: 'admitted'};
    const state = this.stateOf(name, now);
    state.demand.add(1, now);
    state.usedMs = now;
    if (this.takeToken(request.id, name, state, quota, now)) {
      return {kind: 'admitted'};
    }
    const isCrowded = state.waiting.length >= maxWaiting(request, quota);
    if (isCrowded || now < state.emptyUntilMs) {
      return this.refuse(request, state, now);
    }
    state.waiting.push({id: request.id, untilMs: now + request.maxWaitMs});
    this.waitingNames.add(name);
    this.waitingRequests.set(request.id, request);
    this.askSoon(name, state, quota, now);
    return {kind: 'waiting'};
  }

  /** Removes a request whose caller has left; its token is not returned, as it may have run. */
  onGone(id: number): void {
    this.admitted.delete(id);
    const name = this.waitingRequests.get(id)?.workspace.name;
    this.waitingRequests.delete(id);
    const waiting = name && this.states.get(name)?.waiting;
    if (!waiting) return;
    const i = waiting.findIndex(item => item.id === id);
    if (i >= 0) waiting.splice(i, 1);
  }

  /** Handles the end of an admitted request; one that did not run returns its token. */
  onEnded(id: number, hasRun: boolean, now: units.MonotonicMs): void {
    const admitted = this.admitted.get(id);
    this.admitted.delete(id);
    if (hasRun || admitted?.expiresMs === undefined) return;
    this.states.get(admitted.name)?.add(1, now, admitted.expiresMs);
  }

  /** Sends the requests for tokens of this turn, one frame to each owner. */
  flush(now: units.MonotonicMs): void {
    const byOwner = new Map<string, serving.TokenDemand[]>();
    const asking = [...this.asking];
    this.asking.clear();
    for (const [name, quota] of asking) {
      const state = this.states.get(name);
      if (state === undefined || state.waiting.length === 0) continue;
      const asked = state.asked(now - ASK_TIMEOUT_MS);
      const ahead = asked === 0 ? this.ahead(state, now) : 0;
      const count = state.waiting.length - asked + ahead;
      if (count <= 0) continue;
      const {nodeId} = this.options.members.ownerOf(name);
      const demands = byOwner.get(nodeId) ?? [];
      byOwner.set(nodeId, demands);
      const {ratePerSecond, burst} = quota;
      demands.push({workspace: name, count, ratePerSecond, burst});
    }
    for (const [nodeId, demands] of byOwner) this.send(nodeId, demands, now);
  }

  /** Handles the answer of an owner. */
  onGrant(
    nodeId: string,
    grant: serving.TokenGrant,
    now: units.MonotonicMs,
  ): void {
    for (const item of grant.grants) {
      const state = this.states.get(item.workspace);
      // A second answer to the same request grants nothing.
      const ask = state?.endAsk(nodeId, grant.number);
      if (!state || !ask) continue;
      this.onWorkspaceGrant(state, item, ask, now);
    }
  }

  /** Ends the waits whose time is over, and admits requests whose tokens have become usable. */
  tick(now: units.MonotonicMs): void {
    for (const name of [...this.waitingNames]) {
      const state = this.states.get(name);
      if (state === undefined || state.waiting.length === 0) {
        this.waitingNames.delete(name);
        continue;
      }
      this.admitWaiting(name, state, now);
      for (const {id, untilMs} of [...state.waiting]) {
        if (untilMs <= now) this.endWait(id, state, now);
      }
      const request = this.waitingRequests.get(state.waiting.at(0)?.id ?? 0);
      const quota = request?.workspace.quota;
      if (quota) this.askSoon(name, state, quota, now);
    }
  }

  /** Returns the next time at which `tick` is due, infinity if no request waits. */
  nextWakeMs(): units.MonotonicMs {
    let next = Infinity;
    for (const name of this.waitingNames) {
      const state = this.states.get(name);
      if (!state?.waiting.length) continue;
      const untilMs = state.waiting.map(request => request.untilMs);
      next = Math.min(next, ...untilMs, state.usableAtMs());
    }
    return next;
  }

  /** Returns the use of the workspaces with state, that with the most requests first. */
  uses(now: units.MonotonicMs): readonly WorkspaceUse[] {
    return [...this.states]
      .map(([name, {demand, refused}]) => ({
        name,
        demandPerSecond: demand.perSecond(now),
        refusedPerSecond: refused.perSecond(now),
      }))
      .sort((a, b) => b.demandPerSecond - a.demandPerSecond);
  }

  private onWorkspaceGrant(
    state: workspaceTokens.WorkspaceTokens,
    item: serving.WorkspaceGrant,
    ask: workspaceTokens.OpenAsk,
    now: units.MonotonicMs,
  ): void {
    const {workspace: name, count, waitMs, owner} = item;
    if (owner !== '') {
      const isReached = this.options.members.reaches(owner);
      if (!isReached) state.redirectedUntilMs = now + quotaMembers.TAKEOVER_MS;
      this.admitWaiting(name, state, now);
    } else if (item.isPending) {
      state.pendingUntilMs = now + PENDING_RETRY_MS;
    } else if (count > 0) {
      state.granted.add(count, now);
      state.lastGrantMs = now;
      // The lease counts from the question, so that a late answer does not prolong it.
      const expiresMs = ask.sentMs + this.leaseMs;
      state.add(count, now + waitMs, expiresMs);
      this.admitWaiting(name, state, now);
    } else {
      state.emptyUntilMs = now + waitMs;
      this.refuseWaiting(state, now);
    }
    const [first] = state.waiting;
    const quota = first && this.waitingRequests.get(first.id)?.workspace.quota;
    if (quota) this.askSoon(name, state, quota, now);
  }

  private admitWaiting(
    name: string,
    state: workspaceTokens.WorkspaceTokens,
    now: units.MonotonicMs,
  ): void {
    while (state.waiting.length > 0) {
      const [{id}] = state.waiting;
      const quota = this.waitingRequests.get(id)?.workspace.quota;
      if (quota && !this.takeToken(id, name, state, quota, now)) return;
      state.waiting.shift();
      this.waitingRequests.delete(id);
      this.options.output.admit(id);
    }
  }

  private refuseWaiting(
    state: workspaceTokens.WorkspaceTokens,
    now: units.MonotonicMs,
  ): void {
    for (const {id} of [...state.waiting]) this.endWait(id, state, now);
  }

  private endWait(
    id: number,
    state: workspaceTokens.WorkspaceTokens,
    now: units.MonotonicMs,
  ): void {
    const request = this.waitingRequests.get(id);
    this.onGone(id);
    if (request === undefined) return;
    const {retryAfterMs} = this.refuse(request, state, now);
    this.options.output.refuse(id, retryAfterMs);
  }

  private takeToken(
    id: number,
    name: string,
    state: workspaceTokens.WorkspaceTokens,
    quota: workspace.Quota,
    now: units.MonotonicMs,
  ): boolean {
    const expiresMs = state.take(now);
    const isAdmitted =
      expiresMs !== undefined || this.takeLocally(name, state, quota, now);
    if (isAdmitted) this.admitted.set(id, {name, expiresMs});
    return isAdmitted;
  }

  /** Takes a token of this node's bucket, or of the entry's share, without a message. */
  private takeLocally(
    name: string,
    state: workspaceTokens.WorkspaceTokens,
    quota: workspace.Quota,
    now: units.MonotonicMs,
  ): boolean {
    const {members, owner, random} = this.options;
    if (this.isFallback(name, state, now)) {
      state.share ??= new workspaceTokens.FallbackShare(now, random.next());
      return state.share.take(quota.ratePerSecond / members.size, now);
    }
    state.share = undefined;
    if (members.ownerOf(name).nodeId !== members.selfId) return false;
    if (now < state.emptyUntilMs || state.held(now) > 0) return false;
    const {ratePerSecond, burst} = quota;
    const demand = {workspace: name, count: 1, ratePerSecond, burst};
    const {count, waitMs, isPending} = owner.grant(demand, now);
    if (count === 0) {
      if (!isPending) state.emptyUntilMs = now + waitMs;
      return false;
    }
    state.granted.add(count, now);
    state.lastGrantMs = now;
    if (waitMs === 0) return true;
    state.add(count, now + waitMs, now + this.leaseMs);
    return false;
  }

  /** Whether the owner was lost so recently that no other node may grant tokens yet. */
  private isFallback(
    name: string,
    state: workspaceTokens.WorkspaceTokens,
    now: units.MonotonicMs,
  ): boolean {
    const {members} = this.options;
    if (!members.isComplete) return false;
    if (now < state.redirectedUntilMs) return true;
    const {sinceMs} = members.ownerOf(name);
    return now < sinceMs;
  }

  private askSoon(
    name: string,
    state: workspaceTokens.WorkspaceTokens,
    quota: workspace.Quota,
    now: units.MonotonicMs,
  ): void {
    const {members, output} = this.options;
    if (!members.isComplete || this.isFallback(name, state, now)) return;
    if (members.ownerOf(name).nodeId === members.selfId) return;
    if (now < state.pendingUntilMs) return;
    const asked = state.asked(now - ASK_TIMEOUT_MS);
    if (asked > 0 && now - state.askedMs() < MIN_ASK_INTERVAL_MS) return;
    if (state.held(now) + asked >= state.waiting.length) return;
    if (this.asking.size === 0) output.flushSoon();
    this.asking.set(name, quota);
  }

  private send(
    nodeId: string,
    demands: readonly serving.TokenDemand[],
    now: units.MonotonicMs,
  ): void {
    const number = ++this.lastNumber;
    for (const demand of demands) {
      const {workspace: name, count} = demand;
      const ask = {number, nodeId, count, sentMs: now};
      this.states.get(name)?.addAsk(ask, now - this.leaseMs);
    }
    this.options.output.ask(nodeId, {number, demands});
  }

  /**
   * Returns the tokens to ask for beyond those for waiting requests: what the demand needs in half
   * a lease, less its standard deviation, so that hardly any expires unused.
   */
  private ahead(
    state: workspaceTokens.WorkspaceTokens,
    now: units.MonotonicMs,
  ): number {
    const halfLeaseS = this.leaseMs / 2 / units.MS_PER_SECOND;
    const expected = state.demand.perSecond(now) * halfLeaseS;
    return Math.max(0, Math.floor(expected - Math.sqrt(expected)));
  }

  private refuse(
    request: QuotaRequest,
    state: workspaceTokens.WorkspaceTokens,
    now: units.MonotonicMs,
  ): Extract<Verdict, {readonly kind: 'refused'}> {
    const {name, quota} = request.workspace;
    const {members, log} = this.options;
    state.refused.add(1, now);
    const retryAfterMs = this.retryAfterMs(state, quota, now);
    const {nodeId, sinceMs} = members.ownerOf(name);
    log.write({
      component: 'entry',
      event: 'over-quota',
      importance: 'notable',
      requestId: request.requestId,
      facts: {
        reason: this.reasonOf(name, state, now),
        workspace: name,
        ratePerSecond: quota?.ratePerSecond,
        burst: quota?.burst,
        owner: nodeId,
        ownerSinceMs: Math.round(Math.min(now - sinceMs, 1e6)),
        tokens: state.held(now),
        grantAgeMs: Math.round(Math.min(now - state.lastGrantMs, 1e6)),
        demandPerSecond: Math.round(state.demand.perSecond(now)),
        reachedPercent: Math.round(100 * members.reachedShare(now)),
        retryAfterMs,
      },
    });
    return {kind: 'refused', retryAfterMs};
  }

  private reasonOf(
    name: string,
    state: workspaceTokens.WorkspaceTokens,
    now: units.MonotonicMs,
  ): string {
    if (!this.options.members.isComplete) return 'nodes-unknown';
    if (this.isFallback(name, state, now)) return 'owner-lost';
    return now < state.emptyUntilMs ? 'quota-used-up' : 'no-grant';
  }

  /**
   * Returns the time in which the tokens that arrive here serve the requests refused in the last
   * second, of which each caller gets a random point.
   */
  private retryAfterMs(
    state: workspaceTokens.WorkspaceTokens,
    quota: workspace.Quota | undefined,
    now: units.MonotonicMs,
  ): units.Millis {
    const {members, random} = this.options;
    const share = (quota?.ratePerSecond ?? 0) / members.size;
    const perSecond = Math.max(state.granted.perSecond(now), share, 1e-3);
    const spreadMs =
      (state.refused.perSecond(now) / perSecond) * units.MS_PER_SECOND;
    const earliestMs = Math.max(MIN_RETRY_MS, state.emptyUntilMs - now);
    const delayMs = earliestMs + spreadMs * random.next();
    return Math.round(Math.min(MAX_RETRY_MS, delayMs));
  }

  private stateOf(
    name: string,
    now: units.MonotonicMs,
  ): workspaceTokens.WorkspaceTokens {
    const known = this.states.get(name);
    if (known) return known;
    this.sweep(now);
    const state = new workspaceTokens.WorkspaceTokens();
    this.states.set(name, state);
    return state;
  }

  /** Removes idle workspaces, so that memory is needed only for those in use. */
  private sweep(now: units.MonotonicMs): void {
    if (now - this.sweptMs < IDLE_MS) return;
    this.sweptMs = now;
    for (const [name, {usedMs}] of this.states) {
      if (now - usedMs >= IDLE_MS) this.states.delete(name);
    }
  }
}

/** Returns how many requests of a workspace may wait, as many as its quota admits meanwhile. */
function maxWaiting(
  {maxWaitMs: waitMs}: QuotaRequest,
  {ratePerSecond}: workspace.Quota,
): number {
  const admitted = (ratePerSecond * waitMs) / units.MS_PER_SECOND;
  return Math.max(MIN_MAX_WAITING, Math.ceil(admitted));
}
