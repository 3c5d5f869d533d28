/** Carries a call from its first attempt to its end by the steps that its planner decides. */
import * as peer from '../../generated/peer.js';
import * as counterNames from '../counter_names.js';
import * as counters from '../counters.js';
import * as retryPolicy from '../retries/retry_policy.js';
import * as serviceBudgets from '../retries/service_budgets.js';
import * as router from '../routing/router.js';
import * as units from '../units.js';
import * as attemptFailures from './attempt_failures.js';
import * as attemptPlanner from './attempt_planner.js';
import * as attemptSender from './attempt_sender.js';
import * as call from './call.js';
import * as callEnder from './call_ender.js';
import * as contract from './entry_contract.js';
import * as linkRecovery from './link_recovery.js';
import * as nextStep from './next_step.js';

const DEADLINE_RETRY_AFTER_MS = 100;

/** Expected utilisation of a member from which it gets no hedges. */
const HEDGE_UTILISATION_LIMIT = 0.6;

/** What a runner is made with. */
export interface RunnerOptions {
  readonly counters: counters.Counters;
  readonly budgets: serviceBudgets.ServiceBudgets;
  readonly router: router.Router;
  readonly sender: attemptSender.AttemptSender;
  readonly ender: callEnder.CallEnder;
  readonly planner: attemptPlanner.AttemptPlanner;
  /** Takes the actions, in order. */
  readonly emit: (actions: readonly contract.EntryAction[]) => void;
}

/** The state machine of calls. */
export class CallRunner {
  constructor(private readonly options: RunnerOptions) {}

  /** Makes the first attempt. */
  start(c: call.Call, nowMs: units.MonotonicMs): void {
    if (mayHedge(c)) {
      c.hedgeAtMs = nowMs + c.request.requestClass.hedgeAfterMs;
    }
    this.take(c, this.options.planner.first(c, nowMs), nowMs);
  }

  /** Ends an open attempt. */
  settle(c: call.Call, attempt: call.Attempt, outcome: peer.Outcome): void {
    this.options.sender.end(attempt);
    c.settle(attempt, outcome);
  }

  /** Goes on after an attempt has failed, unless another one is open. */
  afterFailure(
    c: call.Call,
    failure: call.AttemptFailure,
    nowMs: units.MonotonicMs,
  ): void {
    c.lastFailure = failure;
    if (c.openAttempts.length > 0) return;
    const step = this.options.planner.afterFailure(c, failure, nowMs);
    this.take(c, step, nowMs);
  }

  /** Goes on after the link of an open attempt broke or went silent. */
  afterLinkEvent(
    c: call.Call,
    attempt: call.Attempt,
    step: linkRecovery.LinkStep,
    nowMs: units.MonotonicMs,
  ): void {
    if (step.kind === 'resend') {
      const {brokenLinks, delayMs} = step;
      c.update({...attempt, brokenLinks, resendAtMs: nowMs + delayMs});
      return this.resendDue(c, nowMs);
    }
    const {nodeId, callId} = attempt;
    this.settle(c, attempt, step.outcome);
    if (step.outcome !== peer.Outcome.NOT_RUN) {
      this.options.emit([{kind: 'cancel', nodeId, callId}]);
    }
    const failure = attemptFailures.linkFailure(nodeId, step.outcome);
    this.afterFailure(c, failure, nowMs);
  }

  /** Does what is due. */
  wake(c: call.Call, nowMs: units.MonotonicMs): void {
    if (c.deadlineAtMs <= nowMs) return this.endAtDeadline(c);
    if (c.againAtMs !== undefined && c.againAtMs <= nowMs) {
      c.againAtMs = undefined;
      this.take(c, this.options.planner.afterWait(c, nowMs), nowMs);
    }
    if (c.hedgeAtMs !== undefined && c.hedgeAtMs <= nowMs) {
      c.hedgeAtMs = undefined;
      this.hedge(c, nowMs);
    }
    this.resendDue(c, nowMs);
  }

  private take(
    c: call.Call,
    step: nextStep.NextStep,
    nowMs: units.MonotonicMs,
  ): void {
    switch (step.kind) {
      case 'attempt':
        this.countRetry(c);
        this.options.emit([this.options.sender.open(c, step.member, nowMs)]);
        return;
      case 'wait':
        this.options.counters.increment('entry.waits');
        c.waits++;
        c.againAtMs = nowMs + step.delayMs;
        return;
      case 'refuse':
        return this.end(c, step.reason, step.retryAfterMs);
    }
  }

  private countRetry(c: call.Call): void {
    if (c.lastFailure === undefined) return;
    const name = counterNames.retryCounter(c.lastFailure.reason);
    this.options.counters.increment(name);
  }

  private endAtDeadline(c: call.Call): void {
    this.end(c, peer.RefusalReason.DEADLINE, DEADLINE_RETRY_AFTER_MS);
  }

  /** Gives the caller the best that the attempts have brought. */
  private end(
    c: call.Call,
    reason: peer.RefusalReason,
    retryAfterMs: units.Millis,
  ): void {
    const {ender, emit} = this.options;
    emit(
      c.errorAnswer === undefined
        ? ender.refuse(c, reason, retryAfterMs)
        : ender.respond(c, c.errorAnswer),
    );
  }

  private resendDue(c: call.Call, nowMs: units.MonotonicMs): void {
    for (const attempt of c.openAttempts) {
      const {resendAtMs} = attempt;
      if (resendAtMs === undefined || resendAtMs > nowMs) continue;
      this.options.emit([this.options.sender.resend(c, attempt, nowMs)]);
    }
  }

  /** Makes a second attempt beside a slow first one, if the budget holds it. */
  private hedge(c: call.Call, nowMs: units.MonotonicMs): void {
    const {budgets, sender} = this.options;
    const {service, requestClass} = c.request;
    if (c.openAttempts.length !== 1 || c.retriesLeft === 0) return;
    if (c.attempts >= requestClass.maxAttempts) return;
    const choice = this.options.router.choose(service, c.tried, nowMs);
    if (choice === undefined || !choice.fresh) return;
    const {utilisation} = this.options.router.loads.estimate(
      choice.member,
      nowMs,
    );
    if (utilisation >= HEDGE_UTILISATION_LIMIT) return;
    const mustArrive = retryPolicy.mustArrive(requestClass);
    if (!budgets.of(service).takeHedge(mustArrive)) return;
    c.retries++;
    this.options.counters.increment('entry.hedges');
    this.options.emit([sender.open(c, choice.member, nowMs)]);
  }
}

function mayHedge(c: call.Call): boolean {
  return c.idempotent && c.request.requestClass.hedgeAfterMs > 0;
}
