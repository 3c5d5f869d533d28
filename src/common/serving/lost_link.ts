/** How long a gate keeps the calls of a lost link. */
import * as units from '../units.js';

/** Time without a sign of an entry's process after which it is taken to have ended. */
const GRACE_MS: units.Millis = 1_000;

/** A lost link whose entry may reconnect and send its calls again. */
export interface LostLink {
  readonly lostMs: units.MonotonicMs;
  /** Last time at which another link showed that the entry's process runs, if any did. */
  readonly entrySeenMs?: units.MonotonicMs;
}

/**
 * Returns the time at which the calls of a lost link end, unless the entry is seen until then.
 *
 * An entry that is paused, slow or cut off loses its links too, but still holds its callers: ending
 * their runs would fail requests at which the server is at work. The callers of a process that has
 * ended are gone, and their runs would only keep the server busy. So the calls of a process that is
 * seen to run are kept until their own deadlines, and the others for a grace.
 */
export function expiryMs({
  lostMs,
  entrySeenMs = -Infinity,
}: LostLink): units.MonotonicMs {
  return Math.max(lostMs, entrySeenMs) + GRACE_MS;
}
