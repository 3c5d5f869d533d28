/** Classifies failed attempts and determines what the next attempt costs the retry budget. */
import * as peer from '../../generated/peer.js';
import * as invariants from '../invariants.js';
import * as retryBudget from './retry_budget.js';

/**
 * Class of a failed attempt. `final`: every gate would refuse the request alike. `absent`: this
 * member gets no requests, whatever its load. `full`: this gate had no capacity in time. `failed`:
 * the attempt itself failed.
 */
export type FailureKind = 'final' | 'absent' | 'full' | 'failed';

/** Returns the class of a refusal reason. */
export function failureKind(reason: peer.RefusalReason): FailureKind {
  switch (reason) {
    case peer.RefusalReason.NO_ROOM:
    case peer.RefusalReason.DEADLINE:
    case peer.RefusalReason.COLD_START:
    case peer.RefusalReason.SERVER_SHED:
      return 'full';
    case peer.RefusalReason.LEAVING:
    case peer.RefusalReason.DATA_CENTRE_OUT:
    case peer.RefusalReason.SERVER_OUT:
    case peer.RefusalReason.SERVER_ABSENT:
    case peer.RefusalReason.NO_SERVER:
    case peer.RefusalReason.NOT_READY:
      return 'absent';
    case peer.RefusalReason.SERVER_FAILED:
    case peer.RefusalReason.BAD_ANSWER:
    case peer.RefusalReason.LINK_FAILED:
    case peer.RefusalReason.INTERNAL:
    case peer.RefusalReason.UNSPECIFIED:
    case peer.RefusalReason.UNRECOGNIZED:
      return 'failed';
    case peer.RefusalReason.NO_ROUTE:
    case peer.RefusalReason.RETRY_BUDGET:
    case peer.RefusalReason.QUARANTINED:
    case peer.RefusalReason.TOO_LARGE:
    case peer.RefusalReason.CANCELLED:
    case peer.RefusalReason.TOO_DEEP:
    case peer.RefusalReason.BAD_REQUEST:
      return 'final';
    default:
      return invariants.assertNever(reason);
  }
}

/** Returns the cost of another attempt after a failure of this kind and outcome. */
export function costAfter(
  kind: FailureKind,
  outcome: peer.Outcome,
): retryBudget.AttemptCost {
  if (outcome !== peer.Outcome.NOT_RUN) return 'retry';
  return kind === 'full' ? 'redirect' : 'none';
}
