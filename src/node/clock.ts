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
