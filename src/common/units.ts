/** Type aliases and factors for units of time. */

/** A duration in milliseconds. */
export type Millis = number;

/** A time on the monotonic clock of this process, in milliseconds. */
export type MonotonicMs = number;

/** A time since the Unix epoch, in milliseconds. */
export type EpochMs = number;

/** The time on both clocks, read once per event. */
export interface Instant {
  readonly monotonicMs: MonotonicMs;
  readonly epochMs: EpochMs;
}

/** Microseconds in a millisecond. */
export const MICROS_PER_MS = 1_000;

/** Milliseconds in a second. */
export const MS_PER_SECOND = 1_000;
