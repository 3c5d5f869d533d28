/** Routes callers' requests to gates, retries them within a budget, and ends each exactly once. */
import * as serving from '../../generated/serving.js';
import * as randomSource from '../random_source.js';
import * as units from '../units.js';
import * as rollouts from '../rollouts/rollouts.js';
import * as configuration from './configuration.js';
import * as decision from './decision.js';
import * as dispatching from './dispatching.js';
import * as entryCall from './entry_call.js';
import * as gateReports from './gate_reports.js';
import * as operatorIntent from './operator_intent.js';
import * as placement from './placement.js';
import * as retryBudget from './retry_budget.js';
import * as retryAfter from './retry_after.js';
import * as runTimes from './run_times.js';
import * as trafficSplit from './traffic_split.js';

/**
 * Redirections after which the best gate may not redirect the request again. Within a data centre
 * a redirection takes a millisecond or two, far less than the wait at a full or stalled gate.
 */
const MAX_REDIRECTIONS = 5;

/** Maximum number of gates that one request is sent to. */
const MAX_HOPS = 8;

/** Share of the latency objective after which an unanswered request is hedged. */
const HEDGE_OBJECTIVE_SHARE = 0.6;

/** Multiple of the gate's mean run time that must have passed before a hedge as well. */
const HEDGE_MEAN_RUNS = 2.5;

/** Utilisation of the other gate above which no hedge is sent. */
const HEDGE_MAX_UTILISATION = 0.6;

/** Retries that a hedge must leave in the budget for failed requests. */
const HEDGE_RETRY_RESERVE = 1;

/** Lowest HTTP status that counts as a server failure. */
const FIRST_ERROR_STATUS = 500;

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
  private readonly calls = new Map<number, entryCall.EntryCall>();
  private readonly callByAttempt = new Map<number, entryCall.EntryCall>();
  private readonly budgets = new Map<string, retryBudget.RetryBudget>();
  private readonly times = new runTimes.RunTimes();
  private readonly split: trafficSplit.TrafficSplit;
  private lastAttempt = 0;

  constructor(private readonly options: EntryOptions) {
    this.split = new trafficSplit.TrafficSplit(options.random);
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
    this.calls.set(request.id, call);
    this.budgetOf(part.service).onRequest(now);
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
    const call = this.endAttempt(nodeId, answer.call);
    if (call === undefined) return;
    call.servers++;
    call.mayHaveRun = true;
    const failed = answer.status >= FIRST_ERROR_STATUS;
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
    const call = this.endAttempt(nodeId, refusal.call);
    if (call === undefined) return;
    call.refusal = refusal;
    this.note(call, 'notable', 'refused-by-gate', {
      nodeId,
      reason: refusal.reason,
      mayHaveRun: refusal.mayHaveRun,
    });
    if (refusal.mayHaveRun) {
      call.failed.add(nodeId);
      return this.onFailedRun(call, {reason: refusal.reason}, now);
    }
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
        return this.giveUpUnlessPending(call, 'no-room', now);
      case serving.Reason.NO_TIME:
        return this.giveUpUnlessPending(call, 'no-time', now);
      case serving.Reason.QUARANTINED:
        return this.giveUpUnlessPending(call, 'quarantined', now);
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
    const call = this.endAttempt(nodeId, attempt);
    if (call === undefined) return;
    call.closed.add(nodeId);
    this.note(call, 'failure', 'link-failed', {nodeId, sent, reason: detail});
    if (!sent) return this.sendNext(call, now);
    this.onFailedRun(call, {reason: 'link-failed'}, now);
  }

  /** Hedges the requests at a gate that may be unreachable. */
  onMaybeUnreachable(nodeId: string, now: units.MonotonicMs): void {
    for (const call of [...this.calls.values()]) {
      const [attempt] = call.attempts.values();
      if (attempt?.nodeId !== nodeId || !call.route.repeatable) continue;
      this.hedge(call, now);
    }
  }

  /** Handles expired timers. */
  tick(now: units.MonotonicMs): void {
    for (const call of [...this.calls.values()]) {
      if (call.endMs <= now) this.onTimeout(call, now);
      else if (call.hedgeAtMs <= now) this.hedge(call, now);
    }
  }

  /** Returns the next time at which `tick` is due, infinity if there is none. */
  nextWakeMs(): units.MonotonicMs {
    let next = Infinity;
    for (const call of this.calls.values()) {
      next = Math.min(next, call.endMs, call.hedgeAtMs);
    }
    return next;
  }

  private budgetOf(service: string): retryBudget.RetryBudget {
    let budget = this.budgets.get(service);
    if (budget === undefined) {
      const {budget: fleetBudget, nodeCount} = this.options;
      budget = new retryBudget.RetryBudget(fleetBudget, nodeCount);
      this.budgets.set(service, budget);
    }
    return budget;
  }

  /** Sends a call without an open attempt to the next gate, or gives up. */
  private sendNext(call: entryCall.EntryCall, now: units.MonotonicMs): void {
    if (call.attempts.size > 0) return;
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
    const {load, ageMs, outstanding} = ranked.estimate;
    const number = ++this.lastAttempt;
    call.hops++;
    call.attempts.set(number, {number, nodeId});
    this.callByAttempt.set(number, call);
    this.options.reports.onSent(nodeId);
    if (call.route.repeatable && call.hedgeAtMs === Infinity) {
      const runTimeHedgeAtMs = now + HEDGE_MEAN_RUNS * load.meanMs;
      const objectiveHedgeAtMs =
        call.arrivedMs + HEDGE_OBJECTIVE_SHARE * call.route.objectiveMs;
      call.hedgeAtMs = Math.max(runTimeHedgeAtMs, objectiveHedgeAtMs);
    }
    this.note(call, 'routine', 'sent', {
      nodeId,
      attempt: number,
      hop: call.hops,
      redirectable,
      costMs: Math.round(ranked.costMs),
      outstanding,
      limit: load.limit,
      pacePercent: load.pacePercent,
      loadAgeMs: Math.round(Math.min(ageMs, 1e6)),
      configuration: this.options.intent.configuration?.version,
      timeLeftMs: Math.round(call.endMs - now),
    });
    const dispatch = dispatching.dispatchOf(call, number, redirectable, now);
    const notice = this.options.reports.noticeOf(nodeId);
    this.options.output.dispatch(nodeId, {...dispatch, notice});
  }

  /** Handles an attempt whose run failed or may have failed. */
  private onFailedRun(
    call: entryCall.EntryCall,
    cause: decision.Facts,
    now: units.MonotonicMs,
  ): void {
    call.mayHaveRun = true;
    call.servers++;
    this.retry(call, cause, now);
  }

  /** Retries a call if the route, the retry budget and the time left allow it. */
  private retry(
    call: entryCall.EntryCall,
    cause: decision.Facts,
    now: units.MonotonicMs,
  ): void {
    if (call.attempts.size > 0) return;
    const budget = this.budgetOf(call.service);
    const limit = this.retryLimit(call, now);
    const isWithinBudget = limit === undefined && budget.take();
    this.note(call, 'failure', isWithinBudget ? 'repeat' : 'no-repeat', {
      ...cause,
      limit: isWithinBudget ? undefined : (limit ?? 'budget'),
      servers: call.servers,
      attempts: call.route.attempts,
      budget: Number(budget.available.toFixed(1)),
      timeLeftMs: Math.round(call.endMs - now),
    });
    if (isWithinBudget) return this.sendNext(call, now);
    this.giveUp(call, call.mayHaveRun ? 'server-failed' : 'shed', now);
  }

  /** Returns what forbids a retry, apart from the budget; undefined if it is allowed. */
  private retryLimit(
    call: entryCall.EntryCall,
    now: units.MonotonicMs,
  ): 'kind' | 'attempts' | 'time' | undefined {
    const {route, mayHaveRun, servers, endMs} = call;
    if (mayHaveRun && !route.repeatable) return 'kind';
    if (servers >= route.attempts) return 'attempts';
    const isTooLate = endMs - now < this.times.routeMeanMs(route.name);
    return isTooLate ? 'time' : undefined;
  }

  /** Sends a second attempt beside an unanswered one. */
  private hedge(call: entryCall.EntryCall, now: units.MonotonicMs): void {
    call.hedgeAtMs = Infinity;
    const {attempts, service, route} = call;
    if (attempts.size !== 1 || call.servers + 1 >= route.attempts) return;
    const tried = new Set([...call.redirected, ...call.closed]);
    for (const attempt of attempts.values()) tried.add(attempt.nodeId);
    const ranked = this.rank(call, tried, now);
    const best = ranked.at(0);
    if (best === undefined) return;
    const {load, outstanding} = best.estimate;
    if (!placement.hasFreeSlot(best)) return;
    if (outstanding + 1 > HEDGE_MAX_UTILISATION * load.limit) return;
    if (!this.budgetOf(service).take(HEDGE_RETRY_RESERVE)) return;
    this.note(call, 'notable', 'second-run', {
      ageMs: Math.round(now - call.arrivedMs),
    });
    this.send(call, best, true, now);
    call.hedgeAtMs = Infinity;
  }

  private onTimeout(call: entryCall.EntryCall, now: units.MonotonicMs): void {
    call.mayHaveRun ||= call.attempts.size > 0;
    this.giveUp(call, 'timeout', now);
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

  /** Gives up unless another attempt is open that may still be answered. */
  private giveUpUnlessPending(
    call: entryCall.EntryCall,
    reason: entryCall.GiveUpReason,
    now: units.MonotonicMs,
  ): void {
    if (call.attempts.size === 0) this.giveUp(call, reason, now);
  }

  private giveUp(
    call: entryCall.EntryCall,
    reason: entryCall.GiveUpReason,
    now: units.MonotonicMs,
  ): void {
    if (call.failure) return this.respond(call, call.failure, now);
    const {mayHaveRun} = call;
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

  /** Removes an attempt; returns its call, undefined if the attempt has ended before. */
  private endAttempt(
    nodeId: string,
    attempt: number,
  ): entryCall.EntryCall | undefined {
    const call = this.callByAttempt.get(attempt);
    if (call?.attempts.get(attempt)?.nodeId !== nodeId) return undefined;
    call.attempts.delete(attempt);
    this.callByAttempt.delete(attempt);
    this.options.reports.onEnded(nodeId);
    return call;
  }

  /** Removes a call and withdraws its open attempts. */
  private endCall(call: entryCall.EntryCall): void {
    for (const {nodeId, number} of [...call.attempts.values()]) {
      this.endAttempt(nodeId, number);
      this.options.output.withdraw(nodeId, number);
    }
    this.calls.delete(call.request.id);
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
