/** Retry delays for callers whose requests were given up. */
import * as invariants from '../invariants.js';
import * as units from '../units.js';
import * as entryCall from './entry_call.js';

/** Delay if no gate is open; the return of a server is announced within seconds. */
export const NO_SERVER_RETRY_MS: units.Millis = 250;

/** Delay if no configuration is known yet. */
const UNCONFIGURED_RETRY_MS: units.Millis = 500;

/** Returns the delay after which the caller should retry. */
export function retryAfterOf(
  reason: entryCall.GiveUpReason,
  {refusal, rateRetryMs}: Pick<entryCall.EntryCall, 'refusal' | 'rateRetryMs'>,
): units.Millis {
  switch (reason) {
    case 'unconfigured':
      return UNCONFIGURED_RETRY_MS;
    case 'no-room':
    case 'no-time':
    case 'shed':
      return Math.min(refusal?.retryAfterMs ?? NO_SERVER_RETRY_MS, rateRetryMs);
    case 'no-server':
    case 'quarantined':
    case 'server-failed':
    case 'timeout':
    case 'stopping':
    case 'internal':
    case 'no-freshness-proof':
    case 'over-quota':
      return NO_SERVER_RETRY_MS;
    default:
      return invariants.assertNever(reason);
  }
}
