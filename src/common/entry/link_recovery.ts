/** Decides what to do with an attempt whose link breaks or goes silent. */
import * as peer from '../../generated/peer.js';
import * as units from '../units.js';
import * as call from './call.js';

/** Number of resends over silent links from which an idempotent request is retried elsewhere. */
const MIN_RESENDS_BEFORE_RETRY = 1;

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
      /** Whether the gate is silent, so that an idempotent request is retried beside it. */
      readonly silent: boolean;
    }
  /** End the attempt with this outcome. */
  | {readonly kind: 'ended'; readonly outcome: peer.Outcome};

const ENDED_UNKNOWN: LinkStep = {kind: 'ended', outcome: peer.Outcome.UNKNOWN};
const ENDED_NOT_RUN: LinkStep = {kind: 'ended', outcome: peer.Outcome.NOT_RUN};

/**
 * Decides what to do after a silent link: the attempt is resent with exponential backoff. Silence
 * alone ends no attempt, since a gate without processor time is silent as well while its backend
 * server runs the request.
 */
export function afterSilence(c: call.Call, attempt: call.Attempt): LinkStep {
  const {resends, brokenLinks} = attempt;
  const delayMs =
    resends === 0
      ? 0
      : Math.min(RESEND_MAX_MS, RESEND_BASE_MS * 2 ** (resends - 1));
  const silent = c.idempotent && resends >= MIN_RESENDS_BEFORE_RETRY;
  return {kind: 'resend', delayMs, brokenLinks, silent};
}

/**
 * Decides what to do after a broken link. `sent` tells whether a byte of the last transmission may
 * have been sent, `refused` that the gate's process has ended.
 */
export function afterBreak(
  c: call.Call,
  attempt: call.Attempt,
  {sent, refused}: {readonly sent: boolean; readonly refused: boolean},
): LinkStep {
  const {resends, brokenLinks, silent} = attempt;
  if (!sent && resends === 0) return ENDED_NOT_RUN;
  if (refused) return ENDED_UNKNOWN;
  if (!sent && brokenLinks === 0) return afterSilence(c, attempt);
  if (c.idempotent || brokenLinks > 0) return ENDED_UNKNOWN;
  return {kind: 'resend', delayMs: 0, brokenLinks: brokenLinks + 1, silent};
}
