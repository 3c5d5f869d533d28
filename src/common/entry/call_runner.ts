/** Runs a call from its first attempt to its end, by the steps that the planner chooses. */
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
import * as callFinisher from './call_finisher.js';
import * as entryContract from './entry_contract.js';
import * as linkRecovery from './link_recovery.js';
import * as nextStep from './next_step.js';

const DEADLINE_RETRY_AFTER_MS = 100;

/** Estimated utilisation of a member, in [0, 1], from which no hedge is sent to it. */
const HEDGE_UTILISATION_LIMIT = 0.6;

/** Collaborators of a `CallRunner`. */
export interface CallRunnerOptions {
  readonly counters: counters.Counters;
  readonly budgets: serviceBudgets.ServiceBudgets;
  readonly router: router.Router;
  readonly sender: attemptSender.AttemptSender;
  readonly finisher: callFinisher.CallFinisher;
  readonly planner: attemptPlanner.AttemptPlanner;
  /** Receives the actions, in the order in which they are to be carried out. */
  readonly emit: (actions: readonly entryContract.EntryAction[]) => void;
}

/** State machine of the calls of one entry. */
export class CallRunner {
  constructor(private readonly options: CallRunnerOptions) {}

  /** Makes the first attempt and schedules a hedge if the class has them. */
  start(c: call.Call, nowMs: units.MonotonicMs): void {
    if (isHedgeable(c)) {
      c.hedgeAtMs = nowMs + c.request.requestClass.hedgeAfterMs;
    }
    this.applyStep(c, this.options.planner.firstStep(c, nowMs), nowMs);
  }

  /** Ends an open attempt and records its outcome. */
  endAttempt(c: call.Call, attempt: call.Attempt, outcome: peer.Outcome): void {
    this.options.sender.onAttemptEnded(attempt);
    c.endAttempt(attempt, outcome);
  }

  /** Takes the next step after a failed or silent attempt, unless another may soon be answered. */
  afterFailure(
    c: call.Call,
    failure: call.AttemptFailure,
    nowMs: units.MonotonicMs,
  ): void {
    c.lastFailure = failure;
    if (!c.onlySilentAttempts || c.retryAtMs !== undefined) return;
    const step = this.options.planner.afterFailure(c, failure, nowMs);
    this.applyStep(c, step, nowMs);
  }

  /** Resends or ends an attempt whose link broke or went silent. */
  afterLinkEvent(
    c: call.Call,
    attempt: call.Attempt,
    step: linkRecovery.LinkStep,
    nowMs: units.MonotonicMs,
  ): void {
    if (step.kind === 'resend') {
      const {brokenLinks, delayMs, silent} = step;
      const resendAtMs = nowMs + delayMs;
      c.updateAttempt({...attempt, brokenLinks, silent, resendAtMs});
      this.resendDueAttempts(c, nowMs);
      if (silent) this.retryBeside(c, attempt, nowMs);
      return;
    }
    const {nodeId, callId} = attempt;
    this.endAttempt(c, attempt, step.outcome);
    if (step.outcome !== peer.Outcome.NOT_RUN) {
      this.options.emit([{kind: 'cancel', nodeId, callId}]);
    }
    const failure = attemptFailures.linkFailure(nodeId, step.outcome);
    this.afterFailure(c, failure, nowMs);
  }

  /** Handles everything that is due: deadline, retry, hedge and resends. */
  wake(c: call.Call, nowMs: units.MonotonicMs): void {
    if (c.deadlineAtMs <= nowMs) return this.finishAtDeadline(c);
    if (c.retryAtMs !== undefined && c.retryAtMs <= nowMs) {
      c.retryAtMs = undefined;
      this.applyStep(c, this.options.planner.afterWait(c, nowMs), nowMs);
    }
    if (c.hedgeAtMs !== undefined && c.hedgeAtMs <= nowMs) {
      c.hedgeAtMs = undefined;
      this.hedge(c, nowMs);
    }
    this.resendDueAttempts(c, nowMs);
  }

  /** Retries a request whose attempt is at a silent gate; the attempt stays open. */
  private retryBeside(
    c: call.Call,
    attempt: call.Attempt,
    nowMs: units.MonotonicMs,
  ): void {
    const failure = attemptFailures.linkFailure(
      attempt.nodeId,
      peer.Outcome.UNKNOWN,
    );
    this.afterFailure(c, failure, nowMs);
  }

  private applyStep(
    c: call.Call,
    step: nextStep.NextStep,
    nowMs: units.MonotonicMs,
  ): void {
    switch (step.kind) {
      case 'attempt':
        this.countRetry(c);
        this.options.emit([
          this.options.sender.openAttempt(c, step.member, nowMs),
        ]);
        return;
      case 'wait':
        this.options.counters.increment('entry.waits');
        c.waits++;
        c.retryAtMs = nowMs + step.delayMs;
        return;
      case 'refuse':
        // A silent gate may still answer; otherwise the call ends at its deadline.
        if (c.openAttempts.length > 0) return;
        return this.finish(c, step.reason, step.retryAfterMs);
    }
  }

  private countRetry(c: call.Call): void {
    if (c.lastFailure === undefined) return;
    const name = counterNames.retryCounter(c.lastFailure.reason);
    this.options.counters.increment(name);
  }

  private finishAtDeadline(c: call.Call): void {
    this.finish(c, peer.RefusalReason.DEADLINE, DEADLINE_RETRY_AFTER_MS);
  }

  /** Ends the call with the error answer if there is one, otherwise with a refusal. */
  private finish(
    c: call.Call,
    reason: peer.RefusalReason,
    retryAfterMs: units.Millis,
  ): void {
    const {finisher, emit} = this.options;
    emit(
      c.errorAnswer === undefined
        ? finisher.refuse(c, reason, retryAfterMs)
        : finisher.respond(c, c.errorAnswer),
    );
  }

  private resendDueAttempts(c: call.Call, nowMs: units.MonotonicMs): void {
    for (const attempt of c.openAttempts) {
      const {resendAtMs} = attempt;
      if (resendAtMs === undefined || resendAtMs > nowMs) continue;
      this.options.emit([this.options.sender.resend(c, attempt, nowMs)]);
    }
  }

  /** Makes a second attempt while a slow first one is open, if the retry budget allows it. */
  private hedge(c: call.Call, nowMs: units.MonotonicMs): void {
    const {budgets, sender} = this.options;
    const {service, requestClass} = c.request;
    if (c.openAttempts.length !== 1 || c.retriesLeft === 0) return;
    if (c.attempts >= requestClass.maxAttempts) return;
    const choice = this.options.router.choose(service, c.triedNodeIds, nowMs);
    if (choice === undefined || !choice.untried) return;
    const {utilisation} = this.options.router.loads.estimate(
      choice.member,
      nowMs,
    );
    if (utilisation >= HEDGE_UTILISATION_LIMIT) return;
    const mustArrive = retryPolicy.mustArrive(requestClass);
    if (!budgets.of(service).takeHedge(mustArrive)) return;
    c.retries++;
    this.options.counters.increment('entry.hedges');
    this.options.emit([sender.openAttempt(c, choice.member, nowMs)]);
  }
}

function isHedgeable(c: call.Call): boolean {
  return c.idempotent && c.request.requestClass.hedgeAfterMs > 0;
}
