/** Decides which changes of a rate limit all entries are told at once. */
import * as units from '../units.js';

/** Factor by which a limit must change; smaller changes travel with answers and pulses. */
const MIN_FACTOR = 2;

/** Minimum time between two reports, as each goes to every node. */
const MIN_INTERVAL_MS: units.Millis = 1_000;

/** Remembers the limit that was reported last. */
export class RateLimitReports {
  private reported: number | undefined;
  private reportedMs: units.MonotonicMs = -Infinity;

  /** Returns whether a limit is to be reported now; it then counts as reported. */
  take(perSecond: number | undefined, now: units.MonotonicMs): boolean {
    if (now - this.reportedMs < MIN_INTERVAL_MS) return false;
    if (!differs(this.reported, perSecond)) return false;
    this.reported = perSecond;
    this.reportedMs = now;
    return true;
  }
}

function differs(a: number | undefined, b: number | undefined): boolean {
  if (a === undefined || b === undefined) return a !== b;
  return Math.max(a, b) >= MIN_FACTOR * Math.min(a, b) && a !== b;
}
