/** Refusals that the entry itself sends to callers. */
import * as peer from '../../generated/peer.js';
import * as units from '../units.js';

/** The fields of a refusal that an entry sets. */
export interface RefusalFields {
  readonly callId: string;
  readonly reason: peer.RefusalReason;
  readonly outcome: peer.Outcome;
  readonly retryAfterMs: units.Millis;
  readonly configurationRevision: number;
}

/** Builds a refusal to a caller; fields that only gates set are left empty. */
export function callerRefusal(fields: RefusalFields): peer.CallRefusal {
  return {
    ...fields,
    alternatives: [],
    load: undefined,
    serverDied: false,
  };
}
