/** The clocks of the process. */
import * as units from '../common/units.js';

/** Reads both clocks at once. */
export function now(): units.Instant {
  return {monotonicMs: performance.now(), epochMs: Date.now()};
}

/** Reads the monotonic clock. */
export function monotonicMs(): units.MonotonicMs {
  return performance.now();
}

/** Longest time between the two readings of `consistentNow`. */
const MAX_READING_MS: units.Millis = 1;

/** Attempts of `consistentNow`; a busy machine may interrupt several in a row. */
const MAX_READINGS = 5;

/** Reads both clocks again if the process was interrupted in between. */
export function consistentNow(): units.Instant {
  let instant = now();
  for (let i = 1; i < MAX_READINGS; i++) {
    if (performance.now() - instant.monotonicMs <= MAX_READING_MS) break;
    instant = now();
  }
  return instant;
}
