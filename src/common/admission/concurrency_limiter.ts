/** Gradient concurrency limit, reduced by the share of failures. */
import * as units from '../units.js';

/** Weight of a new answer in the slowness; the averaging window is longer than 50 ms bursts. */
const SLOWNESS_WEIGHT = 0.02;

/** Slowness, as a multiple of the baseline service time, above which the limit falls. */
const SLOWNESS_TOLERANCE = 2;

/** Slowness, as a multiple of the baseline service time, above which the server is slow. */
const SLOW_THRESHOLD = 1.5;

/** Share of the limit in use below which slow answers are not caused by concurrency. */
const MIN_USED_SHARE = 0.5;

/** Lower bound of the gradient, the factor applied to the limit. */
const MIN_GRADIENT = 0.5;

/** Weight of a newly computed limit. */
const LIMIT_WEIGHT = 0.2;

/** Weight of a new result in the failure share. */
const FAILURE_WEIGHT = 0.1;

/** Factor applied to the limit when the backend server sheds a request. */
const SHED_FACTOR = 0.9;

/** Limits the requests in flight to between 1 and the number of slots. */
export class ConcurrencyLimiter {
  private limit = Infinity;
  private slowness = 1;
  private smoothedFailureShare = 0;
  private nextShedMs: units.MonotonicMs = 0;

  /** Smoothed share of failures among results, in [0, 1]. */
  get failureShare(): number {
    return this.smoothedFailureShare;
  }

  /** Whether the smoothed service time is clearly above the baseline. */
  get isSlow(): boolean {
    return this.slowness > SLOW_THRESHOLD;
  }

  /** Returns the limit in requests, an integer. */
  limitFor(slots: number): number {
    const limit = Math.min(this.limit, slots);
    return Math.min(
      slots,
      Math.max(1, Math.floor(limit * (1 - this.smoothedFailureShare))),
    );
  }

  /**
   * Records a complete answer whose service time was `ratio` times the baseline while `inFlight`
   * requests were in flight. The limit falls only if at least half of it is in use: otherwise a
   * lower limit would not make answers faster.
   */
  onAnswer(ratio: number, slots: number, inFlight: number): void {
    this.smoothedFailureShare -= this.smoothedFailureShare * FAILURE_WEIGHT;
    this.slowness += (ratio - this.slowness) * SLOWNESS_WEIGHT;
    const limit = Math.min(this.limit, slots);
    const gradient = clamp(SLOWNESS_TOLERANCE / this.slowness, MIN_GRADIENT, 1);
    const target = limit * gradient + Math.sqrt(limit);
    if (target < limit && inFlight < limit * MIN_USED_SHARE) return;
    this.limit = clamp(limit + (target - limit) * LIMIT_WEIGHT, 1, slots);
  }

  /** Records a failure. Its service time is ignored, since it does not reflect the load. */
  onFailure(): void {
    this.smoothedFailureShare +=
      (1 - this.smoothedFailureShare) * FAILURE_WEIGHT;
  }

  /** Records a shed request; lowers the limit at most once every `intervalMs`. */
  onShed(
    slots: number,
    now: units.MonotonicMs,
    intervalMs: units.Millis,
  ): void {
    if (now < this.nextShedMs) return;
    this.nextShedMs = now + intervalMs;
    this.limit = Math.max(1, Math.min(this.limit, slots) * SHED_FACTOR);
  }

  /** Resets the state after a restart of the backend server. */
  reset(): void {
    this.limit = Infinity;
    this.slowness = 1;
    this.smoothedFailureShare = 0;
  }
}

function clamp(value: number, min: number, max: number): number {
  return Math.min(max, Math.max(min, value));
}
