/** Owners and entries of quotas of a whole fleet in virtual time, with delays, losses and cuts. */
import * as quotaEntry from '../../src/common/quotas/quota_entry.js';
import * as quotaMembers from '../../src/common/quotas/quota_members.js';
import * as tokenOwner from '../../src/common/quotas/token_owner.js';
import * as randomSource from '../../src/common/random_source.js';
import * as units from '../../src/common/units.js';
import * as workspace from '../../src/common/workspaces/workspace.js';
import * as virtualServiceClock from './virtual_service_clock.js';

/** Time in which a lost link shows to an entry with requests, and to other nodes. */
const DETECTION_MS = 350;

/** Interval at which the nodes run their timers. */
const TICK_MS = 10;

/** Time for which requests may wait that have an objective of 500 ms. */
const MAX_WAIT_MS = 200;

/** The bound of a quota, as the users state it. */
export const BOUND = {windowMs: 5_000, overage: 0.1, slack: 20};

/** Returns the requests that the bound allows in a window. */
export function allowedIn({ratePerSecond, burst}: workspace.Quota): number {
  const windowS = BOUND.windowMs / units.MS_PER_SECOND;
  return (ratePerSecond * windowS + burst) * (1 + BOUND.overage) + BOUND.slack;
}

/** Returns the most times within one window. */
export function highestWindow(times: readonly units.MonotonicMs[]): number {
  let first = 0;
  let highest = 0;
  times.forEach((ms, i) => {
    while (times[first] <= ms - BOUND.windowMs) first++;
    highest = Math.max(highest, i - first + 1);
  });
  return highest;
}

/** Settings of a fleet. */
export interface QuotaFleetOptions {
  readonly seed: number;
  readonly nodes: number;
  readonly dataCentres?: number;
  readonly workspaces: readonly workspace.Workspace[];
  /** One-way latency between data centres. */
  readonly latencyMs?: units.Millis;
  /** Share of the frames that are lost. */
  readonly loss?: number;
  /** Share of the frames that arrive twice. */
  readonly duplicates?: number;
  /** Longest random delay of a frame. */
  readonly jitterMs?: units.Millis;
  /** Longest time for which a request may wait for a token. */
  readonly maxWaitMs?: units.Millis;
}

/** Requests of one workspace by how they ended. */
export class Tally {
  asked = 0;
  refused = 0;
  readonly admittedMs: number[] = [];
  readonly retryAfterMs: number[] = [];

  /** Share of the requests that were refused. */
  get refusedShare(): number {
    return this.refused / this.asked;
  }
}

/** Returns a workspace with a quota. */
export function workspaceOf(
  name: string,
  ratePerSecond: number,
  burst: number,
): workspace.Workspace {
  const quota = {ratePerSecond, burst};
  return {name, keyDigests: [], rank: undefined, quota};
}

/** One node. */
export class QuotaNode {
  members!: quotaMembers.QuotaMembers;
  owner!: tokenOwner.TokenOwner;
  entry!: quotaEntry.QuotaEntry;
  isUp = true;
  /** Until when the process does not run; its frames wait. */
  frozenUntilMs = 0;
  process = 0;
  workspaces: ReadonlyMap<string, workspace.Workspace> = new Map();

  constructor(
    readonly id: string,
    readonly dataCentre: number,
  ) {}
}

/** Nodes with links between them. */
export class QuotaFleet {
  readonly clock = new virtualServiceClock.VirtualClock();
  readonly nodes: readonly QuotaNode[];
  readonly tallies = new Map<string, Tally>();
  /** Whether a frame from one node reaches another one. */
  connects: (from: QuotaNode, to: QuotaNode) => boolean = () => true;
  /** Called for each frame; the frame is lost if it returns true. */
  drops: (from: QuotaNode, to: QuotaNode, kind: string) => boolean = () =>
    false;
  frames = 0;
  private readonly random: randomSource.SeededRandom;
  /** Links that their opener holds to be lost, `from>to`. */
  private readonly lost = new Set<string>();
  private readonly requests = new Map<string, Tally>();
  private lastRequest = 0;

  constructor(private readonly options: QuotaFleetOptions) {
    this.random = new randomSource.SeededRandom(options.seed);
    const {nodes, dataCentres = 3} = options;
    this.nodes = Array.from(
      {length: nodes},
      (unused, i) => new QuotaNode(`node-${i}`, i % dataCentres),
    );
    for (const node of this.nodes) this.start(node);
    this.tickAll();
  }

  /** The node that owns a workspace while all nodes reach each other. */
  ownerOf(name: string): QuotaNode {
    const {nodeId} = this.nodes[0].members.ownerOf(name);
    return this.nodes.find(node => node.id === nodeId)!;
  }

  /** Results of a workspace. */
  tally(name: string): Tally {
    const known = this.tallies.get(name) ?? new Tally();
    this.tallies.set(name, known);
    return known;
  }

  /** Sets the workspaces that a node knows. */
  configure(node: QuotaNode, workspaces: readonly workspace.Workspace[]): void {
    node.workspaces = new Map(workspaces.map(item => [item.name, item]));
    node.owner.onConfiguration();
  }

  /** Sends requests at random times; `nodeOf` chooses the node of each. */
  load(
    name: string,
    perSecond: number,
    fromMs: units.MonotonicMs,
    toMs: units.MonotonicMs,
    nodeOf: () => QuotaNode = () => this.anyNode(),
  ): void {
    const next = (atMs: units.MonotonicMs): void => {
      const gapMs =
        (-Math.log(1 - this.random.next()) * units.MS_PER_SECOND) / perSecond;
      const dueMs = atMs + gapMs;
      if (dueMs >= toMs) return;
      this.clock.after(dueMs - this.clock.nowMs, () => {
        this.request(name, nodeOf());
        next(dueMs);
      });
    };
    next(fromMs);
  }

  /** Sends one request to a node; ignored while the node does not run. */
  request(name: string, node: QuotaNode): void {
    const now = this.clock.nowMs;
    const item = node.workspaces.get(name);
    if (!node.isUp || now < node.frozenUntilMs || item === undefined) return;
    const tally = this.tally(name);
    tally.asked++;
    const id = ++this.lastRequest;
    this.requests.set(`${node.id}/${id}`, tally);
    const {maxWaitMs = MAX_WAIT_MS} = this.options;
    const request = {id, requestId: `r${id}`, workspace: item, maxWaitMs};
    const verdict = node.entry.onRequest(request, now);
    switch (verdict.kind) {
      case 'admitted':
        return this.admit(node, id);
      case 'refused':
        return this.refuse(node, id, verdict.retryAfterMs);
      case 'waiting':
        return;
    }
  }

  /** Any node that runs. */
  anyNode(): QuotaNode {
    const running = this.nodes.filter(node => node.isUp);
    return running[this.random.nextInt(running.length)];
  }

  /** Ends a node's process. */
  kill(node: QuotaNode): void {
    node.isUp = false;
    node.process++;
    this.updateLinks();
  }

  /** Starts the process of a node anew. */
  start(node: QuotaNode): void {
    const {options, clock, random} = this;
    node.isUp = true;
    const process = ++node.process;
    const members = new quotaMembers.QuotaMembers(node.id, {
      reaches: to => this.isLinked(node.id, to),
    });
    const owner = new tokenOwner.TokenOwner({
      members,
      slack: BOUND.slack,
      quotaOf: name => node.workspaces.get(name)?.quota,
    });
    Object.assign(node, {members, owner});
    node.entry = new quotaEntry.QuotaEntry({
      members,
      owner,
      random,
      overageMs: BOUND.overage * BOUND.windowMs,
      log: {write: () => undefined},
      output: {
        flushSoon: () =>
          clock.after(0, () => node.process === process && this.flush(node)),
        ask: (to, request) => {
          const target = this.nodes.find(({id}) => id === to)!;
          this.transmit(node, target, 'request', () => {
            const grant = target.owner.onTokenRequest(request, clock.nowMs);
            this.transmit(target, node, 'grant', () =>
              node.entry.onGrant(to, grant, clock.nowMs),
            );
          });
        },
        admit: id => this.admit(node, id),
        refuse: (id, retryAfterMs) => this.refuse(node, id, retryAfterMs),
      },
    });
    this.configure(node, options.workspaces);
    for (const {id} of this.nodes ?? []) members.add(id, clock.nowMs);
    clock.after(0, () => {
      for (const {id} of this.nodes) members.add(id, clock.nowMs);
      members.onListRead(clock.nowMs);
      this.updateLinks();
    });
  }

  /** Stops the process of a node for a while; its frames are handled afterwards. */
  freeze(node: QuotaNode, forMs: units.Millis): void {
    node.frozenUntilMs = this.clock.nowMs + forMs;
    this.updateLinks();
    this.clock.after(forMs, () => {
      node.owner.onResumed(this.clock.nowMs);
      this.updateLinks();
    });
  }

  /** Must be called after a change of `connects`; nodes notice lost links after a while. */
  updateLinks(): void {
    const works = (a: QuotaNode, b: QuotaNode): boolean =>
      [a, b].every(n => n.isUp && this.clock.nowMs >= n.frozenUntilMs) &&
      this.connects(a, b) &&
      this.connects(b, a);
    for (const a of this.nodes) {
      for (const b of this.nodes) {
        if (a === b) continue;
        const key = `${a.id}>${b.id}`;
        if (works(a, b)) {
          if (!this.lost.has(key)) continue;
          this.clock.after(DETECTION_MS, () => {
            if (works(a, b)) this.lost.delete(key);
          });
        } else if (!this.lost.has(key)) {
          const delayMs = DETECTION_MS * (0.5 + this.random.next());
          this.clock.after(delayMs, () => {
            if (works(a, b) || this.lost.has(key)) return;
            this.lost.add(key);
            a.members.onLost(b.id, this.clock.nowMs);
          });
        }
      }
    }
  }

  private isLinked(from: string, to: string): boolean {
    return !this.lost.has(`${from}>${to}`);
  }

  private flush(node: QuotaNode): void {
    if (node.isUp) node.entry.flush(this.clock.nowMs);
  }

  private admit(node: QuotaNode, id: number): void {
    const tally = this.requests.get(`${node.id}/${id}`);
    tally?.admittedMs.push(this.clock.nowMs);
    this.requests.delete(`${node.id}/${id}`);
    node.entry.onEnded(id, true, this.clock.nowMs);
  }

  private refuse(
    node: QuotaNode,
    id: number,
    retryAfterMs: units.Millis,
  ): void {
    const tally = this.requests.get(`${node.id}/${id}`);
    this.requests.delete(`${node.id}/${id}`);
    if (tally === undefined) return;
    tally.refused++;
    tally.retryAfterMs.push(retryAfterMs);
  }

  private transmit(
    from: QuotaNode,
    to: QuotaNode,
    kind: string,
    deliver: () => void,
  ): void {
    const {
      latencyMs = 1,
      loss = 0,
      duplicates = 0,
      jitterMs = 1,
    } = this.options;
    this.frames++;
    const {process} = to;
    const once = (): void => {
      if (!this.connects(from, to) || this.drops(from, to, kind)) return;
      if (loss > 0 && this.random.next() < loss) return;
      const delayMs = latencyMs + jitterMs * this.random.next();
      this.clock.after(delayMs, () => {
        const run = (): void => {
          if (to.isUp && to.process === process) deliver();
        };
        const pauseMs = to.frozenUntilMs - this.clock.nowMs;
        if (pauseMs > 0) this.clock.after(pauseMs, run);
        else run();
      });
    };
    once();
    if (duplicates > 0 && this.random.next() < duplicates) once();
  }

  private tickAll(): void {
    this.clock.after(TICK_MS, () => {
      const now = this.clock.nowMs;
      for (const node of this.nodes) {
        if (node.isUp && now >= node.frozenUntilMs) node.entry.tick(now);
      }
      this.tickAll();
    });
  }
}
