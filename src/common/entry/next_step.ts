/** The next step of a request: an attempt, a wait or a refusal. */
import * as peer from '../../generated/peer.js';
import * as randomSource from '../random_source.js';
import * as retryPolicy from '../retries/retry_policy.js';
import * as units from '../units.js';
import * as call from './call.js';

const NO_SERVER_RETRY_AFTER_MS = 1_000;

/** Used when the failed attempt gave no time to retry after. */
const DEFAULT_RETRY_AFTER_MS = 100;

/** What to do next with a request that has no open attempt. */
export type NextStep =
  | {readonly kind: 'attempt'; readonly member: peer.Member}
  | {readonly kind: 'wait'; readonly delayMs: units.Millis}
  | {
      readonly kind: 'refuse';
      readonly reason: peer.RefusalReason;
      readonly retryAfterMs: units.Millis;
    };

/** Refuses with the reason of the last failure, or with `NO_SERVER` if nothing was tried. */
export function refuseAfter(
  failure: call.AttemptFailure | undefined,
): NextStep {
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
    retryAfterMs: failure.retryAfterMs || DEFAULT_RETRY_AFTER_MS,
  };
}

/** Waits before another attempt, or refuses if too little time is left before the deadline. */
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
  if (delayMs === undefined) return refuseAfter(c.lastFailure);
  return {kind: 'wait', delayMs};
}
