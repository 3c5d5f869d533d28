/** What follows when the link of an attempt breaks or goes silent. */
import * as peer from '../../generated/peer.js';
import * as units from '../units.js';
import * as call from './call.js';

/** Most times that one attempt is sent again. */
const MAX_RESENDS = 16;

const RESEND_BASE_MS = 50;
const RESEND_MAX_MS = 1_000;

/** What to do with the attempt. */
export type LinkStep =
  /** Send it again to the same gate, which matches it by its call id. */
  | {
      readonly kind: 'resend';
      readonly delayMs: units.Millis;
      readonly brokenLinks: number;
    }
  /** The attempt has ended. */
  | {readonly kind: 'ended'; readonly outcome: peer.Outcome};

const ENDED_UNKNOWN: LinkStep = {kind: 'ended', outcome: peer.Outcome.UNKNOWN};
const ENDED_NOT_RUN: LinkStep = {kind: 'ended', outcome: peer.Outcome.NOT_RUN};

/**
 * Decides after a silent link. What may be repeated elsewhere is sent again once; what may not
 * goes on asking the gate that has it, at growing intervals.
 */
export function afterSilence(c: call.Call, attempt: call.Attempt): LinkStep {
  const mostResends = c.idempotent ? 1 : MAX_RESENDS;
  if (attempt.resends >= mostResends) return ENDED_UNKNOWN;
  const delayMs =
    attempt.resends === 0
      ? 0
      : Math.min(RESEND_MAX_MS, RESEND_BASE_MS * 2 ** (attempt.resends - 1));
  return {kind: 'resend', delayMs, brokenLinks: attempt.brokenLinks};
}

/** Decides after a broken link; `sent` tells whether a byte of the last sending may have left. */
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
