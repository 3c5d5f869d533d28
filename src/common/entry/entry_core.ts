/**
 * Accepts callers' requests, chooses gates and retries. Each caller gets exactly one response,
 * whose outcome is `UNKNOWN` unless it is certain.
 */
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
import * as callFinisher from './call_finisher.js';
import * as callRunner from './call_runner.js';
import * as callTable from './call_table.js';
import * as entryContract from './entry_contract.js';
import * as linkRecovery from './link_recovery.js';

/** For requests refused before any attempt. */
const INITIAL_REFUSAL_RETRY_AFTER_MS = 100;

/** For requests that fail because of a breached invariant. */
const INTERNAL_RETRY_AFTER_MS = 1_000;

/** Lowest HTTP status that counts as a failure of the backend server. */
const FIRST_ERROR_STATUS = 500;

/** HTTP statuses after which an idempotent request is retried. */
const RETRYABLE_STATUSES: ReadonlySet<number> = new Set([500, 502, 503, 504]);

/** Identity, settings and collaborators of an entry. */
export interface EntryOptions {
  readonly nodeId: string;
  readonly dataCentre: string;
  readonly region: string;
  readonly incarnation: number;
  readonly selector: selector.SelectorSettings;
  /** Maximum number of calls in progress. */
  readonly maxCalls: number;
  readonly view: fleetView.FleetView;
  readonly counters: counters.Counters;
  readonly invariants: invariants.Invariants;
  readonly random: randomSource.RandomSource;
}

/** How the entry currently routes requests of a service, and why. */
export interface EntryExplanation extends explanation.RoutingExplanation {
  /** Revision of the current configuration, undefined before the first one arrives. */
  readonly configurationRevision: number | undefined;
  /** Number of calls in progress at this entry, over all services. */
  readonly callsInProgress: number;
  /** Retry tokens in the budget of the service. */
  readonly retryTokens: number;
  /** Redirection tokens in the budget of the service. */
  readonly redirectTokens: number;
  /**
   * Share of recent calls that found the first gate, or the sibling that it named, full, in
   * [0, 1].
   */
  readonly fullShare: number;
}

type CallEvent = Exclude<entryContract.EntryEvent, {readonly kind: 'tick'}>;

interface OpenAttempt {
  readonly call: call.Call;
  readonly attempt: call.Attempt;
}

/** Decision logic of an entry, free of I/O. */
export class EntryCore implements core.Core<
  entryContract.EntryEvent,
  entryContract.EntryAction
> {
  private readonly calls = new callTable.CallTable();
  private readonly budgets = new serviceBudgets.ServiceBudgets();
  private readonly suspects = new suspectRequests.SuspectRequests();
  private readonly router: router.Router;
  private readonly finisher: callFinisher.CallFinisher;
  private readonly runner: callRunner.CallRunner;
  private actions: entryContract.EntryAction[] = [];

  constructor(private readonly options: EntryOptions) {
    const {calls, budgets} = this;
    this.router = new router.Router({
      ...options,
      here: options,
      settings: options.selector,
    });
    const ownAttempts = this.router.ownAttempts;
    const sender = new attemptSender.AttemptSender({
      ...options,
      calls,
      ownAttempts,
      budgets,
      followsRedirections: options.selector.kind === 'redirect',
    });
    this.finisher = new callFinisher.CallFinisher({...options, calls, sender});
    const plannerOptions = {...options, budgets, router: this.router};
    this.runner = new callRunner.CallRunner({
      ...plannerOptions,
      sender,
      finisher: this.finisher,
      planner: new attemptPlanner.AttemptPlanner(plannerOptions),
      emit: actions => void this.actions.push(...actions),
    });
  }

  handle(
    event: entryContract.EntryEvent,
    now: units.Instant,
  ): readonly entryContract.EntryAction[] {
    this.actions = [];
    if (event.kind === 'tick') this.onTick(now.monotonicMs);
    else this.onCallEvent(event, now.monotonicMs);
    return this.actions;
  }

  nextWakeMs(): units.MonotonicMs | undefined {
    return this.calls.nextWakeMs();
  }

  /** Explains the routing of a service and reports its retry budget, for diagnostics. */
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
      const c = this.calls.popDue(nowMs);
      if (c === undefined) return;
      this.runGuarded(c, () => this.runner.wake(c, nowMs));
    }
  }

  private onCallEvent(event: CallEvent, nowMs: units.MonotonicMs): void {
    this.runGuarded(this.findCall(event), () => this.handleEvent(event, nowMs));
  }

  /** Runs `action` for a call; a breached invariant fails the call, not the process. */
  private runGuarded(c: call.Call | undefined, action: () => void): void {
    try {
      action();
    } catch (err) {
      if (!(err instanceof errors.InvariantError)) throw err;
      if (c !== undefined && this.calls.get(c.request.requestId) === c) {
        this.refuse(c, peer.RefusalReason.INTERNAL, INTERNAL_RETRY_AFTER_MS);
      }
    }
    if (c !== undefined) this.calls.reschedule(c);
  }

  private findCall(event: CallEvent): call.Call | undefined {
    switch (event.kind) {
      case 'request':
        return undefined;
      case 'caller-gone':
        return this.calls.get(event.requestId);
      case 'answer':
        return this.calls.getByAttempt(event.answer.callId);
      case 'refusal':
        return this.calls.getByAttempt(event.refusal.callId);
      case 'link-failed':
      case 'link-silent':
        return this.calls.getByAttempt(event.callId);
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
    request: entryContract.CallerRequest,
    nowMs: units.MonotonicMs,
  ): void {
    this.options.counters.increment('entry.received');
    this.options.invariants.check(
      this.calls.get(request.requestId) === undefined,
      {step: 'accept request', peer: request.service},
      'duplicate request id',
    );
    const c = new call.Call(request, nowMs);
    c.deaths = this.suspects.deathsOf(request.fingerprint, nowMs);
    const reason = this.initialRefusalReason(c);
    if (reason !== undefined) {
      return this.refuse(c, reason, INITIAL_REFUSAL_RETRY_AFTER_MS);
    }
    this.calls.add(c);
    this.runGuarded(c, () => this.runner.start(c, nowMs));
  }

  /** Returns why a request is refused before any attempt, undefined if it is accepted. */
  private initialRefusalReason(c: call.Call): peer.RefusalReason | undefined {
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
    this.actions.push(...this.finisher.close(c));
  }

  private onAnswer(
    nodeId: string,
    answer: peer.CallAnswer,
    nowMs: units.MonotonicMs,
  ): void {
    const open = this.findOpenAttempt(nodeId, answer.callId);
    if (open !== undefined) {
      this.runner.endAttempt(open.call, open.attempt, peer.Outcome.RAN);
    }
    this.router.onReport(nodeId, answer.load, nowMs);
    if (open === undefined) return;
    const {call: c} = open;
    this.recordGateFullness(c, false);
    const failed = answer.status >= FIRST_ERROR_STATUS;
    if (failed) {
      this.router.failures.onFailure(nodeId, nowMs);
    } else {
      this.router.failures.onSuccess(nodeId);
      this.suspects.onSuccess(c.request.fingerprint, nowMs);
    }
    if (isRetryable(c, answer)) {
      c.errorAnswer = {nodeId, answer};
      const failure = attemptFailures.serverFailure(nodeId);
      return this.runner.afterFailure(c, failure, nowMs);
    }
    this.actions.push(...this.finisher.respond(c, {nodeId, answer}));
  }

  private onRefusal(
    nodeId: string,
    refusal: peer.CallRefusal,
    nowMs: units.MonotonicMs,
  ): void {
    const open = this.findOpenAttempt(nodeId, refusal.callId);
    const outcome = open
      ? provenOutcome(open.attempt, refusal)
      : refusal.outcome;
    if (open !== undefined) {
      this.runner.endAttempt(open.call, open.attempt, outcome);
    }
    this.router.onReport(nodeId, refusal.load, nowMs);
    for (const a of refusal.alternatives) {
      this.router.onRelayedReport(a.nodeId, a.load, nowMs);
    }
    if (open === undefined) return;
    if (refusal.serverDied) this.onServerDied(open.call, nowMs);
    const kind = failureKind.failureKind(refusal.reason);
    this.recordRefusal(open, kind === 'full', refusal);
    if (kind === 'failed' || kind === 'absent') {
      this.router.failures.onFailure(nodeId, nowMs);
    }
    this.runner.afterFailure(open.call, {...refusal, outcome, nodeId}, nowMs);
  }

  /**
   * Records the death beyond the call: a later call with the same fingerprint may reach a gate
   * that has not been told of it yet. Equal calls that one crash ended know the same deaths before
   * it, so that it counts once.
   */
  private onServerDied(c: call.Call, nowMs: units.MonotonicMs): void {
    const {fingerprint} = c.request;
    const expiresInMs = suspectRequests.SUSPICION_TTL_MS;
    c.deaths++;
    const report = {fingerprint, deaths: c.deaths, expiresInMs};
    this.suspects.onReport(report, nowMs);
  }

  private onLinkEvent(
    event: Extract<CallEvent, {readonly kind: 'link-failed' | 'link-silent'}>,
    nowMs: units.MonotonicMs,
  ): void {
    const open = this.findOpenAttempt(event.nodeId, event.callId);
    if (open === undefined) return;
    this.router.failures.onFailure(event.nodeId, nowMs);
    const {call: c, attempt} = open;
    const step =
      event.kind === 'link-silent'
        ? linkRecovery.afterSilence(c, attempt)
        : linkRecovery.afterBreak(c, attempt, event);
    this.runner.afterLinkEvent(c, attempt, step, nowMs);
  }

  /** Returns the open attempt `callId` at `nodeId`; counts messages that match none. */
  private findOpenAttempt(
    nodeId: string,
    callId: string,
  ): OpenAttempt | undefined {
    const c = this.calls.getByAttempt(callId);
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

  /**
   * Counts a refusal in the full share, unless the first gate is full and names siblings: then the
   * next attempt shows whether that sibling is full too.
   */
  private recordRefusal(
    open: OpenAttempt,
    full: boolean,
    refusal: peer.CallRefusal,
  ): void {
    const first = open.attempt.number === 1;
    if (first && full && refusal.alternatives.length > 0) return;
    this.recordGateFullness(open.call, full);
  }

  private recordGateFullness(c: call.Call, full: boolean): void {
    if (c.countedInFullShare) return;
    c.countedInFullShare = true;
    this.budgets.of(c.request.service).recordGateFullness(full);
  }

  private refuse(
    c: call.Call,
    reason: peer.RefusalReason,
    retryAfterMs: units.Millis,
  ): void {
    this.actions.push(...this.finisher.refuse(c, reason, retryAfterMs));
  }
}

/** Whether an answer with an error status is worth another attempt. */
function isRetryable(c: call.Call, answer: peer.CallAnswer): boolean {
  return c.idempotent && RETRYABLE_STATUSES.has(answer.status);
}

/**
 * Returns the outcome that a refusal proves. `NOT_RUN` for an attempt that was resent covers only
 * the last transmission: an earlier one over a silent link may still reach the gate and run.
 */
function provenOutcome(
  attempt: call.Attempt,
  refusal: peer.CallRefusal,
): peer.Outcome {
  const notRun = refusal.outcome === peer.Outcome.NOT_RUN;
  return notRun && attempt.resends > 0 ? peer.Outcome.UNKNOWN : refusal.outcome;
}
