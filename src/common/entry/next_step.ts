/** What an entry does next for a request. */
import * as peer from '../../generated/peer.js';
import * as randomSource from '../random_source.js';
import * as retryPolicy from '../retries/retry_policy.js';
import * as units from '../units.js';
import * as call from './call.js';

const NO_SERVER_RETRY_AFTER_MS = 1_000;
const FULL_RETRY_AFTER_MS = 100;

/** The next step of a request without an open attempt. */
export type NextStep =
  | {readonly kind: 'attempt'; readonly member: peer.Member}
  | {readonly kind: 'wait'; readonly delayMs: units.Millis}
  | {
      readonly kind: 'refuse';
      readonly reason: peer.RefusalReason;
      readonly retryAfterMs: units.Millis;
    };

/** Refuses for the reason of the newest failure, or because no member can take the request. */
export function refuseFor(failure: call.AttemptFailure | undefined): NextStep {
  if (failure === undefined) {
    return {
      kind: 'refuse',
      reason: peer.RefusalReason.NO_SERVER,
      retryAfterMs: NO_SERVER_RETRY_AFTER_MS,
    };
  }
  return {
    kind: 'refuse',
    reason: failure.reason,
    retryAfterMs: failure.retryAfterMs || FULL_RETRY_AFTER_MS,
  };
}

/** Waits before another attempt, or refuses if too little time is left. */
export function waitOrRefuse(
  c: call.Call,
  nowMs: units.MonotonicMs,
  random: randomSource.RandomSource,
): NextStep {
  const delayMs = retryPolicy.backoffMs(
    c.waits,
    c.lastFailure?.retryAfterMs ?? 0,
    c.deadlineAtMs - nowMs,
    random.next(),
  );
  if (delayMs === undefined) return refuseFor(c.lastFailure);
  return {kind: 'wait', delayMs};
}
