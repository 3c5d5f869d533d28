/** Takes callers' requests, chooses gates, repeats what may be repeated, and gives each one end. */
import * as serving from '../../generated/serving.js';
import * as units from '../units.js';
import * as configuration from './configuration.js';
import * as decision from './decision.js';
import * as entryCall from './entry_call.js';
import * as gateReports from './gate_reports.js';
import * as operatorIntent from './operator_intent.js';
import * as placement from './placement.js';
import * as repeatBudget from './repeat_budget.js';
import * as retryAfter from './retry_after.js';
import * as runTimes from './run_times.js';
import * as trafficSplit from './traffic_split.js';

/** Refusals in favour of other gates after which the best gate must take the request. */
const MAX_REDIRECTIONS = 2;

/** Most gates that one request is sent to, however they refuse. */
const MAX_HOPS = 8;

/** Part of the latency objective after which a silent run gets a second one beside it. */
const SECOND_RUN_SHARE = 0.6;

/** Multiple of the gate's mean run time that must have passed as well. */
const SECOND_RUN_MEANS = 2.5;

/** Use of the other gate above which no second run is made. */
const SECOND_RUN_USE = 0.6;

/** Repetitions kept for requests that failed, when a second run is made beside a silent one. */
const SECOND_RUN_RESERVE = 1;

/** First status that says that the server failed. */
const FIRST_ERROR_STATUS = 500;

/** Where a request can go if the gate that it is sent to refuses. */
type Elsewhere = Pick<serving.Dispatch, 'redirectable' | 'siblingNear'>;

const NOWHERE_ELSE: Elsewhere = {redirectable: false, siblingNear: false};

/** What an entry is made with. */
export interface EntryOptions {
  readonly intent: operatorIntent.OperatorIntent;
  readonly placement: placement.Placement;
  readonly reports: gateReports.GateReports;
  readonly budget: repeatBudget.FleetRepeatBudget;
  /** Nodes of the fleet, which share the budget of repetitions. */
  readonly nodeCount: () => number;
  readonly output: entryCall.EntryOutput;
  readonly log: decision.DecisionLog;
}

/** Decision logic of an entry. */
export class Entry {
  private readonly calls = new Map<number, entryCall.EntryCall>();
  private readonly callOfAttempt = new Map<number, entryCall.EntryCall>();
  private readonly budgets = new Map<string, repeatBudget.RepeatBudget>();
  private readonly times = new runTimes.RunTimes();
  private readonly split = new trafficSplit.TrafficSplit();
  private lastAttempt = 0;

  constructor(private readonly options: EntryOptions) {}

  /** Requests in progress. */
  get inProgress(): number {
    return this.calls.size;
  }

  /** Takes a request on a route of the configuration in force. */
  onRequest(
    request: entryCall.CallerRequest,
    route: configuration.Route,
    now: units.MonotonicMs,
  ): void {
    const part = this.split.next(route);
    if (part === undefined) {
      const giveUp = {reason: 'no-server', mayHaveRun: false} as const;
      const retryAfterMs = retryAfter.NO_SERVER_MS;
      this.options.output.giveUp(request.id, {...giveUp, retryAfterMs});
      return;
    }
    const call = new entryCall.EntryCall(request, route, part.service, now);
    this.calls.set(request.id, call);
    this.budgetOf(part.service).onRequest(now);
    this.advance(call, now);
  }

  /** The caller is gone or has cancelled. */
  onCallerGone(requestId: number, now: units.MonotonicMs): void {
    const call = this.calls.get(requestId);
    if (call === undefined) return;
    this.note(call, 'notable', 'caller-gone', {
      ageMs: Math.round(now - call.arrivedMs),
      openAttempts: call.attempts.size,
    });
    this.close(call);
  }

  /** A gate answered an attempt. */
  onAnswer(
    nodeId: string,
    answer: serving.Answer,
    now: units.MonotonicMs,
  ): void {
    this.options.reports.onLoad(nodeId, answer.load, now);
    const call = this.settle(nodeId, answer.call);
    if (call === undefined) return;
    call.servers++;
    call.mayHaveRun = true;
    const failed = answer.status >= FIRST_ERROR_STATUS;
    if (!failed || !call.route.repeatable) {
      return this.respond(call, answer, now);
    }
    call.failure = answer;
    call.failed.add(nodeId);
    this.repeat(call, {reason: 'server-error', status: answer.status}, now);
  }

  /** A gate refused an attempt, or its run ended without an answer. */
  onRefusal(
    nodeId: string,
    refusal: serving.Refusal,
    now: units.MonotonicMs,
  ): void {
    this.options.reports.onLoad(nodeId, refusal.load, now);
    const call = this.settle(nodeId, refusal.call);
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
      case serving.Reason.STALLED:
      case serving.Reason.FULL:
        call.full.add(nodeId);
        return this.advance(call, now);
      case serving.Reason.SHED:
        // It did not run there, so that it uses the budget but none of the route's attempts.
        call.failed.add(nodeId);
        return this.repeat(call, {reason: refusal.reason}, now);
      case serving.Reason.OVERLOADED:
        return this.endUnlessOpen(call, 'no-room', now);
      case serving.Reason.NO_TIME:
        return this.endUnlessOpen(call, 'no-time', now);
      case serving.Reason.QUARANTINED:
        return this.endUnlessOpen(call, 'quarantined', now);
      default:
        call.closed.add(nodeId);
        return this.advance(call, now);
    }
  }

  /** The link to a gate failed; `sent` tells whether the gate may have the request. */
  onLinkFailed(
    nodeId: string,
    attempt: number,
    sent: boolean,
    now: units.MonotonicMs,
  ): void {
    const call = this.settle(nodeId, attempt);
    if (call === undefined) return;
    call.closed.add(nodeId);
    this.note(call, 'failure', 'link-failed', {nodeId, sent});
    if (!sent) return this.advance(call, now);
    this.onFailedRun(call, {reason: 'link-failed'}, now);
  }

  /** A gate may be out of reach: its requests get second runs elsewhere at once. */
  onDoubtful(nodeId: string, now: units.MonotonicMs): void {
    for (const call of [...this.calls.values()]) {
      const [attempt] = call.attempts.values();
      if (attempt?.nodeId !== nodeId || !call.route.repeatable) continue;
      this.secondRun(call, now);
    }
  }

  /** Does what time has made due. */
  tick(now: units.MonotonicMs): void {
    for (const call of [...this.calls.values()]) {
      if (call.endMs <= now) this.onTimeout(call, now);
      else if (call.secondRunAtMs <= now) this.secondRun(call, now);
    }
  }

  /** Next time at which `tick` has something to do. */
  nextWakeMs(): units.MonotonicMs {
    let next = Infinity;
    for (const call of this.calls.values()) {
      next = Math.min(next, call.endMs, call.secondRunAtMs);
    }
    return next;
  }

  private budgetOf(service: string): repeatBudget.RepeatBudget {
    let budget = this.budgets.get(service);
    if (budget === undefined) {
      const {budget: fleet, nodeCount} = this.options;
      budget = new repeatBudget.RepeatBudget(fleet, nodeCount);
      this.budgets.set(service, budget);
    }
    return budget;
  }

  /** Sends a call without an open attempt to the next gate, or gives it up. */
  private advance(call: entryCall.EntryCall, now: units.MonotonicMs): void {
    if (call.attempts.size > 0) return;
    if (call.hops >= MAX_HOPS) return this.giveUp(call, 'no-room', now);
    const passedOver = new Set([...call.full, ...call.failed, ...call.closed]);
    const fresh = this.rank(call, passedOver, now);
    const redirects = call.full.size;
    if (fresh.length > 0 && redirects < MAX_REDIRECTIONS) {
      return this.send(call, fresh[0], elsewhereOf(fresh, redirects), now);
    }
    const open = this.rank(call, call.closed, now);
    if (open.length > 0) return this.send(call, open[0], NOWHERE_ELSE, now);
    this.giveUp(call, call.hops === 0 ? 'no-server' : 'no-room', now);
  }

  private rank(
    call: entryCall.EntryCall,
    passedOver: ReadonlySet<string>,
    now: units.MonotonicMs,
  ): readonly placement.RankedGate[] {
    const {objectiveMs, name} = call.route;
    const leftMs = call.arrivedMs + objectiveMs - now;
    const slackMs = leftMs - this.times.meanOfMs(name);
    const {placement: gates} = this.options;
    return gates.rank(call.service, passedOver, slackMs, now);
  }

  private send(
    call: entryCall.EntryCall,
    ranked: placement.RankedGate,
    elsewhere: Elsewhere,
    now: units.MonotonicMs,
  ): void {
    const {nodeId} = ranked.gate;
    const {load, ageMs, outstanding} = ranked.estimate;
    const number = ++this.lastAttempt;
    call.hops++;
    call.attempts.set(number, {number, nodeId});
    this.callOfAttempt.set(number, call);
    this.options.reports.onSent(nodeId);
    if (call.route.repeatable && call.secondRunAtMs === Infinity) {
      const meansMs = now + SECOND_RUN_MEANS * load.meanMs;
      const shareMs =
        call.arrivedMs + SECOND_RUN_SHARE * call.route.objectiveMs;
      call.secondRunAtMs = Math.max(meansMs, shareMs);
    }
    this.note(call, 'routine', 'sent', {
      nodeId,
      attempt: number,
      hop: call.hops,
      ...elsewhere,
      costMs: Math.round(ranked.costMs),
      outstanding,
      limit: load.limit,
      pacePercent: load.pacePercent,
      loadAgeMs: Math.round(Math.min(ageMs, 1e6)),
      configuration: this.options.intent.configuration?.version,
      timeLeftMs: Math.round(call.endMs - now),
    });
    const dispatch = dispatchOf(call, number, now);
    this.options.output.dispatch(nodeId, {...dispatch, ...elsewhere});
  }

  /** The run of an attempt failed, or may have. */
  private onFailedRun(
    call: entryCall.EntryCall,
    cause: decision.Facts,
    now: units.MonotonicMs,
  ): void {
    call.mayHaveRun = true;
    call.servers++;
    this.repeat(call, cause, now);
  }

  /** Sends a call to a further backend server if route, budget and time allow it. */
  private repeat(
    call: entryCall.EntryCall,
    cause: decision.Facts,
    now: units.MonotonicMs,
  ): void {
    if (call.attempts.size > 0) return;
    const allowed =
      (call.route.repeatable || !call.mayHaveRun) &&
      call.servers < call.route.attempts &&
      call.endMs - now >= this.times.meanOfMs(call.route.name);
    const budget = this.budgetOf(call.service);
    const paid = allowed && budget.take();
    this.note(call, 'failure', paid ? 'repeat' : 'no-repeat', {
      ...cause,
      servers: call.servers,
      attempts: call.route.attempts,
      budget: Number(budget.level.toFixed(1)),
      timeLeftMs: Math.round(call.endMs - now),
    });
    if (paid) return this.advance(call, now);
    this.giveUp(call, call.mayHaveRun ? 'server-failed' : 'shed', now);
  }

  /** Starts a second run beside one that has been silent for long. */
  private secondRun(call: entryCall.EntryCall, now: units.MonotonicMs): void {
    call.secondRunAtMs = Infinity;
    const {attempts, service, route} = call;
    if (attempts.size !== 1 || call.servers + 1 >= route.attempts) return;
    const tried = new Set([...call.full, ...call.closed]);
    for (const attempt of attempts.values()) tried.add(attempt.nodeId);
    const ranked = this.rank(call, tried, now);
    const best = ranked.at(0);
    if (best === undefined) return;
    const {load, outstanding} = best.estimate;
    if (outstanding + 1 > SECOND_RUN_USE * load.limit) return;
    if (!this.budgetOf(service).take(SECOND_RUN_RESERVE)) return;
    this.note(call, 'notable', 'second-run', {
      ageMs: Math.round(now - call.arrivedMs),
    });
    this.send(call, best, elsewhereOf(ranked, 1), now);
    call.secondRunAtMs = Infinity;
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
    this.close(call);
    this.options.output.respond(call.request.id, answer);
  }

  /** Gives a call up, but not while another attempt may still bring its answer. */
  private endUnlessOpen(
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
    const retryAfterMs = retryAfter.retryAfterOf(reason, call.refusal);
    this.note(call, 'failure', 'gave-up', {
      reason,
      mayHaveRun,
      retryAfterMs,
      hops: call.hops,
      servers: call.servers,
      ageMs: Math.round(now - call.arrivedMs),
      configuration: this.options.intent.configuration?.version,
    });
    this.close(call);
    const giveUp = {reason, mayHaveRun, retryAfterMs};
    this.options.output.giveUp(call.request.id, giveUp);
  }

  /** Takes an attempt off the books; returns its call if it is still in progress. */
  private settle(
    nodeId: string,
    attempt: number,
  ): entryCall.EntryCall | undefined {
    const call = this.callOfAttempt.get(attempt);
    if (call?.attempts.get(attempt)?.nodeId !== nodeId) return undefined;
    call.attempts.delete(attempt);
    this.callOfAttempt.delete(attempt);
    this.options.reports.onEnded(nodeId);
    return call;
  }

  /** Takes a call off the books and withdraws its open attempts. */
  private close(call: entryCall.EntryCall): void {
    for (const {nodeId, number} of [...call.attempts.values()]) {
      this.settle(nodeId, number);
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

/** A gate may refuse in favour of gates that are believed to have room, or to be tried again. */
function elsewhereOf(
  ranked: readonly placement.RankedGate[],
  redirects: number,
): Elsewhere {
  const [first, ...others] = ranked;
  const better = others.filter(placement.hasRoom);
  return {
    redirectable: better.length + redirects > 0,
    siblingNear: better.some(o => o.gate.dataCentre === first.gate.dataCentre),
  };
}

function dispatchOf(
  call: entryCall.EntryCall,
  number: number,
  now: units.MonotonicMs,
): serving.Dispatch {
  const {request, route, service} = call;
  const objectiveAtMs = call.arrivedMs + route.objectiveMs;
  return {
    call: number,
    service,
    route: route.name,
    requestId: request.requestId,
    method: request.method,
    target: request.target,
    headers: request.headers,
    body: request.body,
    timeLeftMs: Math.max(1, Math.floor(call.endMs - now)),
    objectiveLeftMs: Math.max(0, Math.floor(objectiveAtMs - now)),
    rank: route.rank,
    repeatable: route.repeatable,
    redirectable: false,
    siblingNear: false,
    fingerprint: request.fingerprint,
  };
}
