/** Takes callers' requests, chooses gates, retries, and gives each caller one truthful end. */
import * as peer from '../../generated/peer.js';
import * as fleetView from '../control/fleet_view.js';
import * as core from '../core.js';
import * as counters from '../counters.js';
import * as errors from '../errors.js';
import * as invariants from '../invariants.js';
import * as suspectRequests from '../quarantine/suspect_requests.js';
import * as randomSource from '../random_source.js';
import * as failureKind from '../retries/failure_kind.js';
import * as serviceBudgets from '../retries/service_budgets.js';
import * as explanation from '../routing/explanation.js';
import * as router from '../routing/router.js';
import * as selector from '../routing/selector.js';
import * as units from '../units.js';
import * as attemptFailures from './attempt_failures.js';
import * as attemptPlanner from './attempt_planner.js';
import * as attemptSender from './attempt_sender.js';
import * as call from './call.js';
import * as callEnder from './call_ender.js';
import * as callRunner from './call_runner.js';
import * as callTable from './call_table.js';
import * as contract from './entry_contract.js';
import * as linkRecovery from './link_recovery.js';

const FULL_RETRY_AFTER_MS = 100;
const NOT_READY_RETRY_AFTER_MS = 1_000;

/** Status from which an answer says that the backend server failed. */
const FIRST_ERROR_STATUS = 500;

/** Error statuses after which an idempotent request is worth another attempt. */
const RETRYABLE_STATUSES: ReadonlySet<number> = new Set([500, 502, 503, 504]);

/** What an entry is made with. */
export interface EntryOptions {
  readonly nodeId: string;
  readonly dataCentre: string;
  readonly region: string;
  readonly incarnation: number;
  readonly selector: selector.SelectorSettings;
  /** Most calls in progress at once. */
  readonly maxCalls: number;
  readonly view: fleetView.FleetView;
  readonly counters: counters.Counters;
  readonly invariants: invariants.Invariants;
  readonly random: randomSource.RandomSource;
}

/** Why requests of a service would go where. */
export interface EntryExplanation extends explanation.RoutingExplanation {
  /** Revision of the configuration in force, undefined before the first. */
  readonly configurationRevision: number | undefined;
  /** Calls of all services in progress at this entry. */
  readonly callsInProgress: number;
  /** Retries that the budget of the service holds. */
  readonly retryTokens: number;
  /** Redirections that the budget of the service holds. */
  readonly redirectTokens: number;
  /** Share of recent calls that found no room where they looked first, in [0, 1]. */
  readonly fullShare: number;
}

type CallEvent = Exclude<contract.EntryEvent, {readonly kind: 'tick'}>;

interface OpenAttempt {
  readonly call: call.Call;
  readonly attempt: call.Attempt;
}

/** Decision logic of an entry. */
export class EntryCore implements core.Core<
  contract.EntryEvent,
  contract.EntryAction
> {
  private readonly calls = new callTable.CallTable();
  private readonly budgets = new serviceBudgets.ServiceBudgets();
  private readonly suspects = new suspectRequests.SuspectRequests();
  private readonly router: router.Router;
  private readonly ender: callEnder.CallEnder;
  private readonly runner: callRunner.CallRunner;
  private actions: contract.EntryAction[] = [];

  constructor(private readonly options: EntryOptions) {
    const {calls, budgets} = this;
    this.router = new router.Router({
      ...options,
      here: options,
      settings: options.selector,
    });
    const own = this.router.own;
    const sender = new attemptSender.AttemptSender({
      ...options,
      calls,
      own,
      budgets,
      followsRedirections: options.selector.kind === 'redirect',
    });
    this.ender = new callEnder.CallEnder({...options, calls, sender});
    const planning = {...options, budgets, router: this.router};
    this.runner = new callRunner.CallRunner({
      ...planning,
      sender,
      ender: this.ender,
      planner: new attemptPlanner.AttemptPlanner(planning),
      emit: actions => void this.actions.push(...actions),
    });
  }

  handle(
    event: contract.EntryEvent,
    now: units.Instant,
  ): readonly contract.EntryAction[] {
    this.actions = [];
    if (event.kind === 'tick') this.onTick(now.monotonicMs);
    else this.onCallEvent(event, now.monotonicMs);
    return this.actions;
  }

  nextWakeMs(): units.MonotonicMs | undefined {
    return this.calls.nextWakeMs();
  }

  /** Returns why a request of the service would go where, and what its budget holds. */
  explain(service: string, now: units.Instant): EntryExplanation {
    const budget = this.budgets.peek(service);
    return {
      ...this.router.explain(service, now.monotonicMs),
      configurationRevision: this.options.view.configuration?.revision,
      callsInProgress: this.calls.size,
      retryTokens: budget.retryTokens,
      redirectTokens: budget.redirectTokens,
      fullShare: budget.fullShare,
    };
  }

  private onTick(nowMs: units.MonotonicMs): void {
    for (;;) {
      const c = this.calls.takeDue(nowMs);
      if (c === undefined) return;
      this.guard(c, () => this.runner.wake(c, nowMs));
    }
  }

  private onCallEvent(event: CallEvent, nowMs: units.MonotonicMs): void {
    this.guard(this.callOf(event), () => this.handleEvent(event, nowMs));
  }

  /** Works on a call; a breach of an invariant fails the call, not the process. */
  private guard(c: call.Call | undefined, work: () => void): void {
    try {
      work();
    } catch (err) {
      if (!(err instanceof errors.InvariantError)) throw err;
      if (c !== undefined && this.calls.get(c.request.requestId) === c) {
        this.refuse(c, peer.RefusalReason.INTERNAL, NOT_READY_RETRY_AFTER_MS);
      }
    }
    if (c !== undefined) this.calls.reschedule(c);
  }

  private callOf(event: CallEvent): call.Call | undefined {
    switch (event.kind) {
      case 'request':
        return undefined;
      case 'caller-gone':
        return this.calls.get(event.requestId);
      case 'answer':
        return this.calls.ofAttempt(event.answer.callId);
      case 'refusal':
        return this.calls.ofAttempt(event.refusal.callId);
      case 'link-failed':
      case 'link-silent':
        return this.calls.ofAttempt(event.callId);
      case 'load':
        return undefined;
      default:
        return invariants.assertNever(event);
    }
  }

  private handleEvent(event: CallEvent, nowMs: units.MonotonicMs): void {
    switch (event.kind) {
      case 'request':
        return this.onRequest(event.request, nowMs);
      case 'caller-gone':
        return this.onCallerGone(event.requestId);
      case 'answer':
        return this.onAnswer(event.nodeId, event.answer, nowMs);
      case 'refusal':
        return this.onRefusal(event.nodeId, event.refusal, nowMs);
      case 'link-failed':
      case 'link-silent':
        return this.onLinkEvent(event, nowMs);
      case 'load':
        return this.router.onRelayedReport(event.nodeId, event.load, nowMs);
      default:
        return invariants.assertNever(event);
    }
  }

  private onRequest(
    request: contract.CallerRequest,
    nowMs: units.MonotonicMs,
  ): void {
    this.options.counters.increment('entry.received');
    this.options.invariants.check(
      this.calls.get(request.requestId) === undefined,
      {step: 'take request', peer: request.service},
      'a request id is used once',
    );
    const c = new call.Call(request, nowMs);
    c.deaths = this.suspects.deathsOf(request.fingerprint, nowMs);
    const refusal = this.refusalAtOnce(c);
    if (refusal !== undefined) {
      return this.refuse(c, refusal, FULL_RETRY_AFTER_MS);
    }
    this.calls.add(c);
    this.guard(c, () => this.runner.start(c, nowMs));
  }

  /** Returns why a request is refused before any attempt, undefined if it is taken. */
  private refusalAtOnce(c: call.Call): peer.RefusalReason | undefined {
    const {service, depth} = c.request;
    const {view, maxCalls} = this.options;
    const tuning = view.configuration?.tuningOf(service);
    if (tuning === undefined) return peer.RefusalReason.NOT_READY;
    if (depth > tuning.maxDepth) return peer.RefusalReason.TOO_DEEP;
    this.budgets.of(service).onCall(tuning.retryBudgetRatio);
    if (this.calls.size >= maxCalls) return peer.RefusalReason.NO_ROOM;
    return undefined;
  }

  private onCallerGone(requestId: string): void {
    const c = this.calls.get(requestId);
    if (c === undefined) return;
    this.options.counters.increment('entry.caller-gone');
    this.actions.push(...this.ender.close(c));
  }

  private onAnswer(
    nodeId: string,
    answer: peer.CallAnswer,
    nowMs: units.MonotonicMs,
  ): void {
    const open = this.openAttempt(nodeId, answer.callId);
    if (open !== undefined) {
      this.runner.settle(open.call, open.attempt, peer.Outcome.RAN);
    }
    this.router.onReport(nodeId, answer.load, nowMs);
    if (open === undefined) return;
    const {call: c} = open;
    this.noteRoom(c, false);
    const failed = answer.status >= FIRST_ERROR_STATUS;
    if (failed) {
      this.router.failures.onFailure(nodeId, nowMs);
    } else {
      this.router.failures.onSuccess(nodeId);
      this.suspects.onSuccess(c.request.fingerprint, nowMs);
    }
    if (mayReplace(c, answer)) {
      c.errorAnswer = {nodeId, answer};
      const failure = attemptFailures.serverFailure(nodeId);
      return this.runner.afterFailure(c, failure, nowMs);
    }
    this.actions.push(...this.ender.respond(c, {nodeId, answer}));
  }

  private onRefusal(
    nodeId: string,
    refusal: peer.CallRefusal,
    nowMs: units.MonotonicMs,
  ): void {
    const open = this.openAttempt(nodeId, refusal.callId);
    const outcome = open
      ? provenOutcome(open.attempt, refusal)
      : refusal.outcome;
    if (open !== undefined) {
      this.runner.settle(open.call, open.attempt, outcome);
    }
    this.router.onReport(nodeId, refusal.load, nowMs);
    for (const a of refusal.alternatives) {
      this.router.onRelayedReport(a.nodeId, a.load, nowMs);
    }
    if (open === undefined) return;
    if (refusal.serverDied) this.onServerDied(open.call, nowMs);
    const kind = failureKind.failureKind(refusal.reason);
    this.noteRefusal(open, kind === 'full', refusal);
    if (kind === 'failed' || kind === 'absent') {
      this.router.failures.onFailure(nodeId, nowMs);
    }
    this.runner.afterFailure(open.call, {...refusal, outcome, nodeId}, nowMs);
  }

  /** Remembers the death beyond the call: the next one may reach a gate that has no report yet. */
  private onServerDied(c: call.Call, nowMs: units.MonotonicMs): void {
    c.deaths = this.suspects.onDeath(c.request.fingerprint, nowMs).deaths;
  }

  private onLinkEvent(
    event: Extract<CallEvent, {readonly kind: 'link-failed' | 'link-silent'}>,
    nowMs: units.MonotonicMs,
  ): void {
    const open = this.openAttempt(event.nodeId, event.callId);
    if (open === undefined) return;
    this.router.failures.onFailure(event.nodeId, nowMs);
    const {call: c, attempt} = open;
    const step =
      event.kind === 'link-silent'
        ? linkRecovery.afterSilence(c, attempt)
        : linkRecovery.afterBreak(c, attempt, event.sent);
    this.runner.afterLinkEvent(c, attempt, step, nowMs);
  }

  /** Returns the open attempt `callId` at `nodeId`, and counts what matches none. */
  private openAttempt(nodeId: string, callId: string): OpenAttempt | undefined {
    const c = this.calls.ofAttempt(callId);
    const attempt = c?.attempt(callId);
    if (c === undefined || attempt === undefined) {
      this.options.counters.increment('entry.unmatched');
      return undefined;
    }
    if (attempt.nodeId !== nodeId) {
      this.options.counters.increment('entry.foreign');
      return undefined;
    }
    return {call: c, attempt};
  }

  /** A full gate that names siblings leaves it to the next attempt whether there is room. */
  private noteRefusal(
    open: OpenAttempt,
    full: boolean,
    refusal: peer.CallRefusal,
  ): void {
    const first = open.attempt.number === 1;
    if (first && full && refusal.alternatives.length > 0) return;
    this.noteRoom(open.call, full);
  }

  private noteRoom(c: call.Call, full: boolean): void {
    if (c.roomSought) return;
    c.roomSought = true;
    this.budgets.of(c.request.service).onRoomSought(full);
  }

  private refuse(
    c: call.Call,
    reason: peer.RefusalReason,
    retryAfterMs: units.Millis,
  ): void {
    this.actions.push(...this.ender.refuse(c, reason, retryAfterMs));
  }
}

/** Whether an answer with an error status may be replaced by that of another attempt. */
function mayReplace(c: call.Call, answer: peer.CallAnswer): boolean {
  return c.idempotent && RETRYABLE_STATUSES.has(answer.status);
}

/**
 * Returns what a refusal proves. A gate that refuses an attempt sent again speaks of that sending:
 * an earlier one over a silent link may still reach it and run.
 */
function provenOutcome(
  attempt: call.Attempt,
  refusal: peer.CallRefusal,
): peer.Outcome {
  const notRun = refusal.outcome === peer.Outcome.NOT_RUN;
  return notRun && attempt.resends > 0 ? peer.Outcome.UNKNOWN : refusal.outcome;
}
