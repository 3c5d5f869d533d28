/** Refusals that an entry makes itself. */
import * as peer from '../../generated/peer.js';
import * as units from '../units.js';

/** What a refusal to a caller says. */
export interface RefusalFields {
  readonly callId: string;
  readonly reason: peer.RefusalReason;
  readonly outcome: peer.Outcome;
  readonly retryAfterMs: units.Millis;
  readonly configurationRevision: number;
}

/** Builds a refusal to a caller. */
export function callerRefusal(fields: RefusalFields): peer.CallRefusal {
  return {
    ...fields,
    alternatives: [],
    load: undefined,
    serverDied: false,
  };
}
