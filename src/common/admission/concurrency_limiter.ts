/** Concurrency limit that follows the gradient of the service times and the share of failures. */
import * as units from '../units.js';

/** Weight of a new answer in the recent slowness; its window outlasts bursts of 50 ms. */
const SLOWNESS_WEIGHT = 0.02;

/** Slowness, in usual service times, above which the limit falls. */
const SLOWNESS_TOLERANCE = 2;

/** Slowness, in usual service times, from which the server counts as slow. */
const SLOW_FROM = 1.5;

/** Share of the limit below which slow answers say nothing of too much concurrency. */
const USED_SHARE_MIN = 0.5;

/** Least factor by which the gradient asks to lower the limit. */
const GRADIENT_MIN = 0.5;

/** Weight of a newly computed limit. */
const LIMIT_WEIGHT = 0.2;

/** Weight of a new result in the share of failures. */
const FAILURE_WEIGHT = 0.1;

/** Factor applied to the limit when the backend server sheds. */
const SHED_FACTOR = 0.9;

/** Limit on requests in flight, between 1 and the slots. */
export class ConcurrencyLimiter {
  private limit = Infinity;
  private slowness = 1;
  private failures = 0;
  private nextShedMs: units.MonotonicMs = 0;

  /** Share of recent results that were failures, from 0 to 1. */
  get failureShare(): number {
    return this.failures;
  }

  /** Whether answers have taken clearly longer than usual for a while. */
  get isSlow(): boolean {
    return this.slowness > SLOW_FROM;
  }

  /** Returns the limit, a whole number. */
  limitFor(slots: number): number {
    const limit = Math.min(this.limit, slots);
    return Math.min(
      slots,
      Math.max(1, Math.floor(limit * (1 - this.failures))),
    );
  }

  /**
   * Takes a complete answer that took `ratio` usual service times, with `inFlight` others. The
   * limit falls only while it is used: below that, fewer requests would not be faster.
   */
  onAnswer(ratio: number, slots: number, inFlight: number): void {
    this.failures -= this.failures * FAILURE_WEIGHT;
    this.slowness += (ratio - this.slowness) * SLOWNESS_WEIGHT;
    const limit = Math.min(this.limit, slots);
    const gradient = clamp(SLOWNESS_TOLERANCE / this.slowness, GRADIENT_MIN, 1);
    const wanted = limit * gradient + Math.sqrt(limit);
    if (wanted < limit && inFlight < limit * USED_SHARE_MIN) return;
    this.limit = clamp(limit + (wanted - limit) * LIMIT_WEIGHT, 1, slots);
  }

  /** Takes a failure: it says nothing of the service time. */
  onFailure(): void {
    this.failures += (1 - this.failures) * FAILURE_WEIGHT;
  }

  /** Takes a request shed by the backend server; lowers the limit once in `intervalMs`. */
  onShed(
    slots: number,
    now: units.MonotonicMs,
    intervalMs: units.Millis,
  ): void {
    if (now < this.nextShedMs) return;
    this.nextShedMs = now + intervalMs;
    this.limit = Math.max(1, Math.min(this.limit, slots) * SHED_FACTOR);
  }

  /** Forgets what was learned of an earlier life of the backend server. */
  reset(): void {
    this.limit = Infinity;
    this.slowness = 1;
    this.failures = 0;
  }
}

function clamp(value: number, min: number, max: number): number {
  return Math.min(max, Math.max(min, value));
}
