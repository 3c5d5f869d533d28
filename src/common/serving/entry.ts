/** Routes callers' requests to gates, retries them within a budget, and ends each exactly once. */
import * as serving from '../../generated/serving.js';
import * as randomSource from '../random_source.js';
import * as units from '../units.js';
import * as rollouts from '../rollouts/rollouts.js';
import * as configuration from './configuration.js';
import * as decision from './decision.js';
import * as dispatching from './dispatching.js';
import * as entryCall from './entry_call.js';
import * as gateCall from './gate_call.js';
import * as gateReports from './gate_reports.js';
import * as entryCalls from './entry_calls.js';
import * as hedging from './hedging.js';
import * as operatorIntent from './operator_intent.js';
import * as placement from './placement.js';
import * as retryBudget from './retry_budget.js';
import * as retryAfter from './retry_after.js';
import * as retryLimit from './retry_limit.js';
import * as runTimes from './run_times.js';
import * as stopLimit from './stop_limit.js';
import * as trafficSplit from './traffic_split.js';

/**
 * Redirections after which the best gate may not redirect the request again. Within a data centre
 * a redirection takes a millisecond or two, far less than the wait at a full or stalled gate.
 */
const MAX_REDIRECTIONS = 5;

/** Maximum number of gates that one request is sent to. */
const MAX_HOPS = 8;

/** Interval of checks whether a request can be retried whose only gates are silent. */
const RETRY_UNKNOWN_INTERVAL_MS: units.Millis = 500;

/** Dependencies and settings of an entry. */
export interface EntryOptions {
  readonly intent: operatorIntent.OperatorIntent;
  readonly placement: placement.Placement;
  readonly reports: gateReports.GateReports;
  /** Chooses between versions during roll-outs; undefined without. */
  readonly rollouts?: rollouts.EntryRollouts;
  readonly budget: retryBudget.FleetRetryBudget;
  /** Number of nodes that share the retry budget. */
  readonly nodeCount: () => number;
  readonly random: randomSource.RandomSource;
  readonly output: entryCall.EntryOutput;
  readonly log: decision.DecisionLog;
}

/** Decision logic of an entry, without sockets or timers. */
export class Entry {
  private readonly calls = new entryCalls.EntryCalls();
  private readonly budgets: retryBudget.ServiceRetryBudgets;
  private readonly times = new runTimes.RunTimes();
  private readonly split: trafficSplit.TrafficSplit;
  private readonly stopLimit = new stopLimit.StopLimit(this.times);

  constructor(private readonly options: EntryOptions) {
    const {random, budget, nodeCount} = options;
    this.split = new trafficSplit.TrafficSplit(random);
    this.budgets = new retryBudget.ServiceRetryBudgets(budget, nodeCount);
  }

  /** Number of requests in progress. */
  get inProgress(): number {
    return this.calls.size;
  }

  /** Handles a request on a route of the configuration in force. */
  onRequest(
    request: entryCall.CallerRequest,
    route: configuration.Route,
    now: units.MonotonicMs,
  ): void {
    const part = this.split.next(route);
    if (part === undefined) {
      const giveUp = {reason: 'no-server', mayHaveRun: false} as const;
      const retryAfterMs = retryAfter.NO_SERVER_RETRY_MS;
      this.options.output.giveUp(request.id, {...giveUp, retryAfterMs});
      return;
    }
    const call = new entryCall.EntryCall(request, route, part.service, now);
    call.drewTarget = this.options.rollouts?.drawsTarget(part.service) ?? false;
    this.calls.add(call);
    this.budgets.of(part.service).onRequest(now);
    this.sendNext(call, now);
  }

  /** Handles a caller that has disconnected or cancelled. */
  onCallerGone(requestId: number, now: units.MonotonicMs): void {
    const call = this.calls.get(requestId);
    if (call === undefined) return;
    this.note(call, 'notable', 'caller-gone', {
      ageMs: Math.round(now - call.arrivedMs),
      openAttempts: call.attempts.size,
    });
    this.endCall(call);
  }

  /** Handles the answer to an attempt. */
  onAnswer(
    nodeId: string,
    answer: serving.Answer,
    now: units.MonotonicMs,
  ): void {
    this.options.reports.onLoad(nodeId, answer.load, now);
    const ended = this.endAttempt(nodeId, answer.call);
    if (ended === undefined) return;
    const {call} = ended;
    this.countRun(ended);
    const failed = answer.status >= gateCall.FIRST_ERROR_STATUS;
    if (!failed || !call.route.repeatable) {
      return this.respond(call, answer, now);
    }
    call.failure = answer;
    call.failed.add(nodeId);
    this.retry(call, {reason: 'server-error', status: answer.status}, now);
  }

  /** Handles a refusal, including that of a run that ended without an answer. */
  onRefusal(
    nodeId: string,
    refusal: serving.Refusal,
    now: units.MonotonicMs,
  ): void {
    this.options.reports.onLoad(nodeId, refusal.load, now);
    const ended = this.endAttempt(nodeId, refusal.call);
    if (ended === undefined) return;
    const {call} = ended;
    call.refusal = refusal;
    this.note(call, 'notable', 'refused-by-gate', {
      nodeId,
      reason: refusal.reason,
      mayHaveRun: refusal.mayHaveRun,
    });
    if (refusal.mayHaveRun) {
      call.failed.add(nodeId);
      return this.onFailedRun(ended, {reason: refusal.reason}, now);
    }
    if (ended.attempt.isOutcomeUnknown) call.servers--;
    switch (refusal.reason) {
      case serving.Reason.RATE_LIMITED:
        call.rateRetryMs = Math.min(call.rateRetryMs, refusal.retryAfterMs);
        call.redirected.add(nodeId);
        return this.sendNext(call, now);
      case serving.Reason.STALLED:
      case serving.Reason.FULL:
        call.redirected.add(nodeId);
        return this.sendNext(call, now);
      case serving.Reason.SHED:
        // The request did not run, so it uses the retry budget but none of the route's attempts.
        call.failed.add(nodeId);
        return this.retry(call, {reason: refusal.reason}, now);
      case serving.Reason.OVERLOADED:
        return this.giveUp(call, 'no-room', now);
      case serving.Reason.NO_TIME:
        return this.giveUp(call, 'no-time', now);
      case serving.Reason.QUARANTINED:
        return this.giveUp(call, 'quarantined', now);
      default:
        call.closed.add(nodeId);
        return this.sendNext(call, now);
    }
  }

  /**
   * Handles a failed link.
   *
   * @param sent whether the gate may have received the request.
   * @param detail why the outcome of the attempt is lost.
   */
  onLinkFailed(
    nodeId: string,
    attempt: number,
    sent: boolean,
    now: units.MonotonicMs,
    detail?: string,
  ): void {
    const ended = this.endAttempt(nodeId, attempt);
    if (ended === undefined) return;
    const {call} = ended;
    call.closed.add(nodeId);
    this.note(call, 'failure', 'link-failed', {nodeId, sent, reason: detail});
    if (!sent) return this.sendNext(call, now);
    this.onFailedRun(ended, {reason: 'link-failed'}, now);
  }

  /**
   * Handles an attempt whose gate has been silent for so long that its outcome is unknown: the run
   * may be at work, or may not have begun. The attempt stays open, since the gate may still answer.
   */
  onOutcomeUnknown(
    nodeId: string,
    number: number,
    now: units.MonotonicMs,
  ): void {
    const owned = this.calls.findAttempt(nodeId, number);
    if (owned === undefined || owned.attempt.isOutcomeUnknown) return;
    const {call, attempt} = owned;
    call.servers++;
    attempt.isOutcomeUnknown = true;
    call.closed.add(nodeId);
    this.retry(call, {reason: 'outcome-unknown', nodeId}, now);
  }

  /** Handles a gate that responds again after it was silent; it has the request or gets it now. */
  onGateResponds(nodeId: string, number: number): void {
    const owned = this.calls.findAttempt(nodeId, number);
    if (!owned?.attempt.isOutcomeUnknown) return;
    const {call, attempt} = owned;
    attempt.isOutcomeUnknown = false;
    call.servers--;
    call.closed.delete(nodeId);
    this.note(call, 'notable', 'gate-responds', {nodeId, attempt: number});
  }

  /** Hedges the requests at a gate that may be unreachable. */
  onMaybeUnreachable(nodeId: string, now: units.MonotonicMs): void {
    for (const call of this.calls.all) {
      const [attempt] = call.attempts.values();
      if (attempt?.nodeId !== nodeId || !call.route.repeatable) continue;
      this.hedge(call, now);
    }
  }

  /** Sends only requests from now on that are likely to be answered before the process ends. */
  stopAt(end: stopLimit.ProcessEnd): void {
    this.stopLimit.stopAt(end);
  }

  /** Gives up on all requests, as the process is about to end. */
  giveUpAll(now: units.MonotonicMs): void {
    for (const call of this.calls.all) this.giveUp(call, 'stopping', now);
  }

  /** Handles expired timers. */
  tick(now: units.MonotonicMs): void {
    for (const call of this.calls.all) {
      if (call.giveUpAtMs <= now) this.giveUp(call, 'timeout', now);
      else if (call.hedgeAtMs > now) continue;
      else if (call.liveAttempts > 0) this.hedge(call, now);
      else this.retry(call, {reason: 'outcome-unknown'}, now);
    }
  }

  /** Returns the next time at which `tick` is due, infinity if there is none. */
  nextWakeMs(): units.MonotonicMs {
    return this.calls.nextDueMs();
  }

  /** Sends a call without a live attempt to the next gate, or gives up. */
  private sendNext(call: entryCall.EntryCall, now: units.MonotonicMs): void {
    if (call.liveAttempts > 0) return;
    const isTooLate = now > this.stopLimit.latestStartMs(call);
    if (isTooLate) return this.giveUp(call, 'no-time', now);
    if (call.hops >= MAX_HOPS) return this.giveUp(call, 'no-room', now);
    const excluded = new Set([
      ...call.redirected,
      ...call.failed,
      ...call.closed,
    ]);
    const gates = this.rank(call, excluded, now);
    const redirects = call.redirected.size;
    if (gates.length > 0 && redirects < MAX_REDIRECTIONS) {
      const redirectable = dispatching.isRedirectable(gates, redirects);
      return this.send(call, gates[0], redirectable, now);
    }
    const open = this.rank(call, call.closed, now);
    if (open.length > 0) {
      return this.send(call, open[0], false, now);
    }
    this.giveUp(call, call.hops === 0 ? 'no-server' : 'no-room', now);
  }

  private rank(
    call: entryCall.EntryCall,
    excluded: ReadonlySet<string>,
    now: units.MonotonicMs,
  ): readonly placement.RankedGate[] {
    const {objectiveMs, name} = call.route;
    const leftMs = call.arrivedMs + objectiveMs - now;
    const slackMs = leftMs - this.times.routeMeanMs(name);
    const {placement: gates} = this.options;
    const ranked = gates.rank(call.service, excluded, slackMs, now);
    // After a refusal or a failure the request goes to a proven version.
    const isForTarget = call.drewTarget && call.hops === 0;
    const {rollouts: versions} = this.options;
    if (versions === undefined) return ranked;
    return versions.select(call.service, isForTarget, ranked, idOf);
  }

  /**
   * Sends a call to a gate.
   *
   * @param redirectable whether the gate may refuse the call in favour of other gates.
   */
  private send(
    call: entryCall.EntryCall,
    ranked: placement.RankedGate,
    redirectable: boolean,
    now: units.MonotonicMs,
  ): void {
    const {nodeId} = ranked.gate;
    const number = this.calls.openAttempt(call, nodeId);
    call.hops++;
    this.options.reports.onSent(nodeId);
    if (call.route.repeatable && call.hedgeAtMs === Infinity) {
      const {meanMs} = ranked.estimate.load;
      call.hedgeAtMs = hedging.hedgeAtMs(call, meanMs, now);
    }
    this.note(call, 'routine', 'sent', {
      ...dispatching.factsOf(ranked),
      attempt: number,
      hop: call.hops,
      redirectable,
      configuration: this.options.intent.configuration?.version,
      timeLeftMs: Math.round(call.endMs - now),
    });
    const startByMs = this.stopLimit.latestStartMs(call);
    const attempt = {number, redirectable, startByMs};
    const dispatch = dispatching.dispatchOf(call, attempt, now);
    const notice = this.options.reports.noticeOf(nodeId);
    this.options.output.dispatch(nodeId, {...dispatch, notice});
  }

  /** Handles an attempt whose run failed or may have failed. */
  private onFailedRun(
    ended: entryCalls.OwnedAttempt,
    cause: decision.Facts,
    now: units.MonotonicMs,
  ): void {
    this.countRun(ended);
    this.retry(ended.call, cause, now);
  }

  /** Counts the run of an ended attempt, unless it was when its outcome became unknown. */
  private countRun({call, attempt}: entryCalls.OwnedAttempt): void {
    call.hasRun = true;
    if (!attempt.isOutcomeUnknown) call.servers++;
  }

  /** Retries a call if the route, the retry budget and the time left allow it. */
  private retry(
    call: entryCall.EntryCall,
    cause: decision.Facts,
    now: units.MonotonicMs,
  ): void {
    if (call.liveAttempts > 0) return;
    const {placement} = this.options;
    const budget = this.budgets.of(call.service);
    const limit =
      this.retryLimit(call, now) ??
      (placement.hasGate(call.service, call.closed, now)
        ? undefined
        : 'no-gate') ??
      (budget.take() ? undefined : 'budget');
    this.note(call, 'failure', limit === undefined ? 'repeat' : 'no-repeat', {
      ...cause,
      limit,
      servers: call.servers,
      attempts: call.route.attempts,
      budget: Number(budget.available.toFixed(1)),
      timeLeftMs: Math.round(call.endMs - now),
    });
    if (limit === undefined) return this.sendNext(call, now);
    this.giveUp(call, call.mayHaveRun ? 'server-failed' : 'shed', now);
  }

  private retryLimit(
    call: entryCall.EntryCall,
    now: units.MonotonicMs,
  ): retryLimit.RetryLimit | undefined {
    const meanMs = this.times.routeMeanMs(call.route.name);
    return retryLimit.retryLimitOf(call, meanMs, now);
  }

  /** Sends a second attempt beside an unanswered one. */
  private hedge(call: entryCall.EntryCall, now: units.MonotonicMs): void {
    call.hedgeAtMs = Infinity;
    const {attempts, liveAttempts, service, route} = call;
    if (attempts.size !== 1) return;
    if (call.servers + liveAttempts >= route.attempts) return;
    const tried = new Set([...call.redirected, ...call.closed]);
    for (const attempt of attempts.values()) tried.add(attempt.nodeId);
    const ranked = this.rank(call, tried, now);
    const best = ranked.at(0);
    if (best === undefined || !hedging.hasRoom(best)) return;
    if (!this.budgets.of(service).take(hedging.RETRY_RESERVE)) return;
    this.note(call, 'notable', 'second-run', {
      ageMs: Math.round(now - call.arrivedMs),
    });
    this.send(call, best, true, now);
    call.hedgeAtMs = Infinity;
  }

  private respond(
    call: entryCall.EntryCall,
    answer: serving.Answer,
    now: units.MonotonicMs,
  ): void {
    const ageMs = now - call.arrivedMs;
    this.times.onAnswered(call.route.name, ageMs, now);
    this.note(call, 'routine', 'answered', {
      status: answer.status,
      ageMs: Math.round(ageMs),
      late: ageMs > call.route.objectiveMs,
      hops: call.hops,
      servers: call.servers,
    });
    this.endCall(call);
    this.options.output.respond(call.request.id, answer);
  }

  /** Gives up, unless an attempt is open that may still be answered before the timeout. */
  private giveUp(
    call: entryCall.EntryCall,
    reason: entryCall.GiveUpReason,
    now: units.MonotonicMs,
  ): void {
    const isFinal = reason === 'timeout' || reason === 'stopping';
    if (call.liveAttempts > 0 && !isFinal) return;
    if (call.failure) return this.respond(call, call.failure, now);
    if (call.attempts.size > 0 && !isFinal) {
      const mayRetry = this.retryLimit(call, now) === undefined;
      call.hedgeAtMs = mayRetry ? now + RETRY_UNKNOWN_INTERVAL_MS : Infinity;
      return;
    }
    const mayHaveRun = call.mayHaveRun || call.attempts.size > 0;
    const retryAfterMs = retryAfter.retryAfterOf(reason, call);
    this.note(call, 'failure', 'gave-up', {
      reason,
      mayHaveRun,
      retryAfterMs,
      hops: call.hops,
      servers: call.servers,
      ageMs: Math.round(now - call.arrivedMs),
      configuration: this.options.intent.configuration?.version,
    });
    this.endCall(call);
    const giveUp = {reason, mayHaveRun, retryAfterMs};
    this.options.output.giveUp(call.request.id, giveUp);
  }

  /** Removes an attempt; returns it with its call, undefined if it has ended before. */
  private endAttempt(
    nodeId: string,
    number: number,
  ): entryCalls.OwnedAttempt | undefined {
    const ended = this.calls.endAttempt(nodeId, number);
    if (ended !== undefined) this.options.reports.onEnded(nodeId);
    return ended;
  }

  /** Removes a call and withdraws its open attempts. */
  private endCall(call: entryCall.EntryCall): void {
    for (const {nodeId, number} of this.calls.remove(call)) {
      this.options.reports.onEnded(nodeId);
      this.options.output.withdraw(nodeId, number);
    }
  }

  private note(
    call: entryCall.EntryCall,
    importance: decision.Importance,
    event: string,
    facts: decision.Facts,
  ): void {
    this.options.log.write({
      component: 'entry',
      event,
      importance,
      requestId: call.request.requestId,
      facts: {route: call.route.name, service: call.service, ...facts},
    });
  }
}

function idOf({gate}: placement.RankedGate): string {
  return gate.nodeId;
}
