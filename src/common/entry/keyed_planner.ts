/** Steps of a request with an idempotency key, which goes to the key's home only. */
import * as peer from '../../generated/peer.js';
import * as fleetView from '../control/fleet_view.js';
import * as failureKind from '../retries/failure_kind.js';
import * as retryPolicy from '../retries/retry_policy.js';
import * as units from '../units.js';
import * as call from './call.js';
import * as nextStep from './next_step.js';
import * as unkeyedPlanner from './unkeyed_planner.js';

/** Most times that a request follows a gate's word about the home. */
const MAX_HOME_HOPS = 3;

/** Reasons after which the home, the same or a new one, may answer soon. */
const HOME_REASONS: ReadonlySet<peer.RefusalReason> = new Set([
  peer.RefusalReason.WRONG_HOME,
  peer.RefusalReason.STALE_ROSTER,
  peer.RefusalReason.LINK_FAILED,
  peer.RefusalReason.NOT_READY,
  peer.RefusalReason.LEAVING,
]);

/**
 * Asks the home, again if its place or its view is in doubt. Repeats are safe there: the home
 * remembers the key. A request without a home waits for one within its deadline.
 */
export class KeyedPlanner implements nextStep.Planner {
  constructor(private readonly options: unkeyedPlanner.PlannerOptions) {}

  first(c: call.Call, nowMs: units.MonotonicMs): nextStep.NextStep {
    return this.attemptAtHome(c, nowMs);
  }

  afterFailure(
    c: call.Call,
    failure: call.AttemptFailure,
    nowMs: units.MonotonicMs,
  ): nextStep.NextStep {
    const named = this.namedHome(c, failure);
    if (named !== undefined) {
      c.homeHops++;
      return {kind: 'attempt', member: named};
    }
    return this.mayAskAgain(c, failure)
      ? nextStep.waitOrRefuse(c, nowMs, this.options.random)
      : nextStep.refuseFor(failure);
  }

  afterWait(c: call.Call, nowMs: units.MonotonicMs): nextStep.NextStep {
    const {service, requestClass} = c.request;
    const budget = this.options.budgets.of(service);
    const mustArrive = retryPolicy.mustArrive(requestClass);
    return budget.take(unkeyedPlanner.priceOfNext(c), mustArrive)
      ? this.attemptAtHome(c, nowMs)
      : nextStep.waitOrRefuse(c, nowMs, this.options.random);
  }

  private attemptAtHome(
    c: call.Call,
    nowMs: units.MonotonicMs,
  ): nextStep.NextStep {
    const {view, random} = this.options;
    const {service, idempotencyKey} = c.request;
    const homeId = view.homeOf(service, idempotencyKey);
    const home = homeId === undefined ? undefined : view.member(homeId);
    return home === undefined || isDead(home)
      ? nextStep.waitOrRefuse(c, nowMs, random)
      : {kind: 'attempt', member: home.member};
  }

  /** Returns the home that a gate named, if it is worth a visit. */
  private namedHome(
    c: call.Call,
    failure: call.AttemptFailure,
  ): peer.Member | undefined {
    if (failure.reason !== peer.RefusalReason.WRONG_HOME) return undefined;
    if (c.homeHops >= MAX_HOME_HOPS) return undefined;
    const home = this.options.view.member(failure.homeNodeId);
    const usable =
      home !== undefined &&
      home.member.service === c.request.service &&
      home.member.nodeId !== failure.nodeId &&
      !isDead(home);
    return usable ? home.member : undefined;
  }

  private mayAskAgain(c: call.Call, failure: call.AttemptFailure): boolean {
    if (c.attempts >= retryPolicy.MAX_ATTEMPTS) return false;
    if (HOME_REASONS.has(failure.reason)) return true;
    const notRun = failure.outcome === peer.Outcome.NOT_RUN;
    const kind = failureKind.failureKind(failure.reason);
    const passing = kind === 'full' || kind === 'absent';
    return retryPolicy.mustArrive(c.request.requestClass) && notRun && passing;
  }
}

function isDead(m: fleetView.MemberView): boolean {
  return m.liveness === peer.LivenessState.DEAD;
}
