/** When callers whose requests were given up should come back. */
import * as serving from '../../generated/serving.js';
import * as invariants from '../invariants.js';
import * as units from '../units.js';
import * as entryCall from './entry_call.js';

/** When to come back if no gate is open; a server's return is announced within seconds. */
export const NO_SERVER_MS: units.Millis = 250;

/** When to come back if no configuration is known yet. */
const UNCONFIGURED_MS: units.Millis = 500;

/** Returns when the caller should come back. */
export function retryAfterOf(
  reason: entryCall.GiveUpReason,
  refusal: serving.Refusal | undefined,
): units.Millis {
  switch (reason) {
    case 'unconfigured':
      return UNCONFIGURED_MS;
    case 'no-room':
    case 'no-time':
    case 'shed':
      return refusal?.retryAfterMs ?? NO_SERVER_MS;
    case 'no-server':
    case 'quarantined':
    case 'server-failed':
    case 'timeout':
    case 'internal':
      return NO_SERVER_MS;
    default:
      return invariants.assertNever(reason);
  }
}
