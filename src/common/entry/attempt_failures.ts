/** Attempt failures that the entry itself detects. */
import * as peer from '../../generated/peer.js';
import * as call from './call.js';

const LINK_RETRY_AFTER_MS = 100;

/** Returns the failure for a link that broke or stayed silent. */
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

/** Returns the failure for an answer with an error status. */
export function serverFailure(nodeId: string): call.AttemptFailure {
  return {
    ...linkFailure(nodeId, peer.Outcome.RAN),
    reason: peer.RefusalReason.SERVER_FAILED,
  };
}
