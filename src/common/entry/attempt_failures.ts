/** Failures of attempts that the entry itself sees. */
import * as peer from '../../generated/peer.js';
import * as call from './call.js';

const LINK_RETRY_AFTER_MS = 100;

/** The link to the gate broke or stayed silent. */
export function linkFailure(
  nodeId: string,
  outcome: peer.Outcome,
): call.AttemptFailure {
  return {
    nodeId,
    outcome,
    reason: peer.RefusalReason.LINK_FAILED,
    retryAfterMs: LINK_RETRY_AFTER_MS,
    alternatives: [],
  };
}

/** The backend server answered with an error status. */
export function serverFailure(nodeId: string): call.AttemptFailure {
  return {
    ...linkFailure(nodeId, peer.Outcome.RAN),
    reason: peer.RefusalReason.SERVER_FAILED,
  };
}
