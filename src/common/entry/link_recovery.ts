/** Decides what to do with an attempt whose link breaks or goes silent. */
import * as peer from '../../generated/peer.js';
import * as units from '../units.js';
import * as call from './call.js';

/** Maximum number of resends of one attempt. */
const MAX_RESENDS = 16;

/** Delay before the second resend over a silent link; doubles with each further one. */
const RESEND_BASE_MS = 50;
const RESEND_MAX_MS = 1_000;

/** What to do with the attempt after a link event. */
export type LinkStep =
  /** Resend it to the same gate, which detects the duplicate by its call id. */
  | {
      readonly kind: 'resend';
      readonly delayMs: units.Millis;
      readonly brokenLinks: number;
    }
  /** End the attempt with this outcome. */
  | {readonly kind: 'ended'; readonly outcome: peer.Outcome};

const ENDED_UNKNOWN: LinkStep = {kind: 'ended', outcome: peer.Outcome.UNKNOWN};
const ENDED_NOT_RUN: LinkStep = {kind: 'ended', outcome: peer.Outcome.NOT_RUN};

/**
 * Decides what to do after a silent link. An idempotent attempt is resent once, since another
 * member can take over afterwards. Any other attempt must not run elsewhere, so it is resent to the
 * same gate with exponential backoff.
 */
export function afterSilence(c: call.Call, attempt: call.Attempt): LinkStep {
  const maxResends = c.idempotent ? 1 : MAX_RESENDS;
  if (attempt.resends >= maxResends) return ENDED_UNKNOWN;
  const delayMs =
    attempt.resends === 0
      ? 0
      : Math.min(RESEND_MAX_MS, RESEND_BASE_MS * 2 ** (attempt.resends - 1));
  return {kind: 'resend', delayMs, brokenLinks: attempt.brokenLinks};
}

/**
 * Decides what to do after a broken link. `sent` tells whether a byte of the last transmission may
 * have been sent.
 */
export function afterBreak(
  c: call.Call,
  attempt: call.Attempt,
  sent: boolean,
): LinkStep {
  if (!sent && attempt.resends === 0) return ENDED_NOT_RUN;
  if (c.idempotent || attempt.brokenLinks > 0) return ENDED_UNKNOWN;
  if (attempt.resends >= MAX_RESENDS) return ENDED_UNKNOWN;
  return {kind: 'resend', delayMs: 0, brokenLinks: attempt.brokenLinks + 1};
}
