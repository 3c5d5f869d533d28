/** What a gate knows of its standing as a holder of idempotency keys. */
import * as units from '../units.js';

/** Standing of this node in the roster that decides the homes of keys. */
export interface KeyHolder {
  /** Age of the newest confirmation that the roster view is complete, in milliseconds. */
  rosterConfirmedAgeMs(now: units.MonotonicMs): units.Millis;

  /** Time at which this node became a holder, undefined while it is none. */
  holderSinceMs(): units.EpochMs | undefined;
}
