/** Decides the next step of a request: an attempt, a wait or a refusal. */
import * as peer from '../../generated/peer.js';
import * as randomSource from '../random_source.js';
import * as failureKind from '../retries/failure_kind.js';
import * as retryBudget from '../retries/retry_budget.js';
import * as retryPolicy from '../retries/retry_policy.js';
import * as serviceBudgets from '../retries/service_budgets.js';
import * as router from '../routing/router.js';
import * as units from '../units.js';
import * as call from './call.js';
import * as nextStep from './next_step.js';

/** Collaborators of an `AttemptPlanner`. */
export interface AttemptPlannerOptions {
  readonly router: router.Router;
  readonly budgets: serviceBudgets.ServiceBudgets;
  readonly random: randomSource.RandomSource;
}

/** Returns the budget cost of an attempt after the last failure. */
function costOfNext(c: call.Call): retryBudget.AttemptCost {
  const failure = c.lastFailure;
  if (failure === undefined) return 'none';
  const kind = failureKind.failureKind(failure.reason);
  return failureKind.costAfter(kind, failure.outcome);
}

/** Plans attempts within the limits of request class, retry budget and deadline. */
export class AttemptPlanner {
  constructor(private readonly options: AttemptPlannerOptions) {}

  /** Returns the step that starts a request; no budget is needed. */
  firstStep(c: call.Call, nowMs: units.MonotonicMs): nextStep.NextStep {
    return this.attemptAnyMember(c, nowMs);
  }

  /** Returns the step after a failed attempt. */
  afterFailure(
    c: call.Call,
    failure: call.AttemptFailure,
    nowMs: units.MonotonicMs,
  ): nextStep.NextStep {
    const decision = retryPolicy.decide(this.retryState(c, failure, nowMs));
    switch (decision.kind) {
      case 'give-up':
        return nextStep.refuseAfter(failure);
      case 'wait':
        return nextStep.waitOrRefuse(c, nowMs, this.options.random);
      case 'again':
        return this.retryNow(c, failure, decision.cost, nowMs);
    }
  }

  /** Returns the step after a wait. */
  afterWait(c: call.Call, nowMs: units.MonotonicMs): nextStep.NextStep {
    c.resetTriedNodes();
    if (!this.charge(c, costOfNext(c))) {
      return nextStep.waitOrRefuse(c, nowMs, this.options.random);
    }
    return this.attemptAnyMember(c, nowMs);
  }

  private retryNow(
    c: call.Call,
    failure: call.AttemptFailure,
    cost: retryBudget.AttemptCost,
    nowMs: units.MonotonicMs,
  ): nextStep.NextStep {
    if (!this.charge(c, cost)) {
      if (retryPolicy.mustArrive(c.request.requestClass)) {
        return nextStep.waitOrRefuse(c, nowMs, this.options.random);
      }
      return nextStep.refuseAfter(
        cost === 'retry'
          ? {...failure, reason: peer.RefusalReason.RETRY_BUDGET}
          : failure,
      );
    }
    const {service} = c.request;
    const member = this.options.router.chooseAlternative(
      failure.alternatives,
      service,
      c.triedNodeIds,
      nowMs,
    );
    return member === undefined
      ? this.attemptAnyMember(c, nowMs)
      : {kind: 'attempt', member};
  }

  private attemptAnyMember(
    c: call.Call,
    nowMs: units.MonotonicMs,
  ): nextStep.NextStep {
    const {service, requestClass} = c.request;
    const choice = this.options.router.choose(service, c.triedNodeIds, nowMs);
    if (choice !== undefined) return {kind: 'attempt', member: choice.member};
    return retryPolicy.mustArrive(requestClass)
      ? nextStep.waitOrRefuse(c, nowMs, this.options.random)
      : nextStep.refuseAfter(c.lastFailure);
  }

  /** Charges the budget and counts the attempt in the call; returns false without tokens. */
  private charge(c: call.Call, cost: retryBudget.AttemptCost): boolean {
    const {service, requestClass} = c.request;
    const budget = this.options.budgets.of(service);
    if (!budget.take(cost, retryPolicy.mustArrive(requestClass))) return false;
    if (cost === 'redirect') c.redirects++;
    if (cost === 'retry') c.retries++;
    return true;
  }

  private retryState(
    c: call.Call,
    failure: call.AttemptFailure,
    nowMs: units.MonotonicMs,
  ): retryPolicy.RetryState {
    const {service, requestClass} = c.request;
    return {
      requestClass,
      reason: failure.reason,
      outcome: failure.outcome,
      allNotRun: c.provenNotRun,
      attempts: c.attempts,
      redirects: c.redirects,
      possibleRuns: c.possibleRuns,
      retriesLeft: c.retriesLeft,
      hasUntriedMember: this.options.router.hasUntried(
        service,
        c.triedNodeIds,
        nowMs,
      ),
      timeLeftMs: c.deadlineAtMs - nowMs,
    };
  }
}
