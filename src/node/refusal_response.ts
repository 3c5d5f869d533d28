/** The HTTP form of a refusal: status, headers and a problem document. */
import * as counterNames from '../common/counter_names.js';
import * as invariants from '../common/invariants.js';
import * as units from '../common/units.js';
import * as peer from '../generated/peer.js';
import * as httpHeaders from './http_headers.js';

/** A response ready to be written. */
export interface RefusalResponse {
  readonly status: number;
  readonly headers: readonly string[];
  readonly body: Buffer;
}

const PROBLEM_TYPE_PREFIX = 'urn:geraniumloft:refusal:';

/** Returns the HTTP status of a refusal. */
export function refusalStatus(reason: peer.RefusalReason): number {
  switch (reason) {
    case peer.RefusalReason.BAD_REQUEST:
      return 400;
    case peer.RefusalReason.NO_ROUTE:
      return 404;
    case peer.RefusalReason.TOO_LARGE:
      return 413;
    case peer.RefusalReason.QUARANTINED:
      return 422;
    case peer.RefusalReason.TOO_DEEP:
      return 508;
    case peer.RefusalReason.INTERNAL:
      return 500;
    case peer.RefusalReason.SERVER_FAILED:
    case peer.RefusalReason.BAD_ANSWER:
    case peer.RefusalReason.LINK_FAILED:
      return 502;
    case peer.RefusalReason.DEADLINE:
      return 504;
    case peer.RefusalReason.CANCELLED:
      return 499;
    case peer.RefusalReason.UNSPECIFIED:
    case peer.RefusalReason.UNRECOGNIZED:
    case peer.RefusalReason.NO_ROOM:
    case peer.RefusalReason.COLD_START:
    case peer.RefusalReason.LEAVING:
    case peer.RefusalReason.DATA_CENTRE_OUT:
    case peer.RefusalReason.SERVER_OUT:
    case peer.RefusalReason.NO_SERVER:
    case peer.RefusalReason.RETRY_BUDGET:
    case peer.RefusalReason.SERVER_ABSENT:
    case peer.RefusalReason.NOT_READY:
    case peer.RefusalReason.SERVER_SHED:
      return 503;
    default:
      return invariants.assertNever(reason);
  }
}

/** Returns the response to the caller of a refused request. */
export function refusalResponse(
  refusal: Pick<peer.CallRefusal, 'reason' | 'outcome' | 'retryAfterMs'>,
  requestId: string,
): RefusalResponse {
  const status = refusalStatus(refusal.reason);
  const reason = counterNames.reasonName(refusal.reason);
  const outcome = counterNames.outcomeName(refusal.outcome);
  const problem = {
    type: PROBLEM_TYPE_PREFIX + reason,
    title: `Refused: ${reason}`,
    status,
    detail: outcomeDetail(refusal.outcome),
    reason,
    outcome,
    requestId,
  };
  const body = Buffer.from(JSON.stringify(problem));
  const retryAfterMs = Math.ceil(refusal.retryAfterMs);
  const headers = [
    'Content-Type',
    'application/problem+json',
    'Content-Length',
    String(body.length),
    httpHeaders.REQUEST_ID_HEADER,
    requestId,
    httpHeaders.OUTCOME_HEADER,
    outcome,
    httpHeaders.REASON_HEADER,
    reason,
    'Retry-After',
    String(Math.ceil(retryAfterMs / units.MS_PER_SECOND)),
    httpHeaders.RETRY_AFTER_MS_HEADER,
    String(retryAfterMs),
  ];
  return {status, headers, body};
}

function outcomeDetail(outcome: peer.Outcome): string {
  switch (outcome) {
    case peer.Outcome.NOT_RUN:
      return 'The request did not run.';
    case peer.Outcome.RAN:
      return 'The request ran, but its answer cannot be given.';
    case peer.Outcome.UNKNOWN:
    case peer.Outcome.UNSPECIFIED:
    case peer.Outcome.UNRECOGNIZED:
      return 'The request may have run.';
    default:
      return invariants.assertNever(outcome);
  }
}
