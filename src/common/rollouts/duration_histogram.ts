/** Histograms of durations with geometric buckets. */
import * as units from '../units.js';

/** Upper bound of the first bucket. */
const FIRST_BOUND_MS: units.Millis = 2;

/** Ratio of the bounds of neighbouring buckets. */
const GROWTH = 1.25;

/** Number of buckets; the last one has no upper bound and starts at about 15 s. */
export const DURATION_BUCKETS = 41;

/** Returns the bucket of a duration. */
export function bucketOf(durationMs: units.Millis): number {
  if (durationMs <= FIRST_BOUND_MS) return 0;
  const bucket = Math.ceil(
    Math.log(durationMs / FIRST_BOUND_MS) / Math.log(GROWTH),
  );
  return Math.min(DURATION_BUCKETS - 1, bucket);
}

/** Returns an empty histogram. */
export function emptyHistogram(): number[] {
  return new Array<number>(DURATION_BUCKETS).fill(0);
}

/** Returns the sum of a histogram's counts. */
export function totalOf(counts: readonly number[]): number {
  return counts.reduce((sum, count) => sum + count, 0);
}
