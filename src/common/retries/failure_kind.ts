/** What the reason and outcome of a failed attempt say about a further one. */
import * as peer from '../../generated/peer.js';
import * as invariants from '../invariants.js';
import * as retryBudget from './retry_budget.js';

/**
 * `final`: no gate would give another answer. `absent`: this member takes no work, whatever its
 * load. `full`: this gate had no room in time. `failed`: the attempt went wrong.
 */
export type FailureKind = 'final' | 'absent' | 'full' | 'failed';

/** Classifies a refusal reason. */
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

/** Returns what a further attempt after this failure costs. */
export function priceAfter(
  kind: FailureKind,
  outcome: peer.Outcome,
): retryBudget.Price {
  if (outcome !== peer.Outcome.NOT_RUN) return 'retry';
  return kind === 'full' ? 'redirect' : 'none';
}
