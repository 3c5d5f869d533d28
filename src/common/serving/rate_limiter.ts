/** Token bucket for the rate limit that a backend server names. */
import * as units from '../units.js';

/** Time in which unused starts accumulate. */
const BURST_MS: units.Millis = 250;

/** Lowest rate, so that an answer can withdraw a limit of 0. */
const MIN_PER_SECOND = 0.05;

/** Spaces the starts of runs; unlimited until a limit is set. */
export class RateLimiter {
  private limit: number | undefined;
  private tokens = 0;
  private refilledMs: units.MonotonicMs = 0;

  /** Starts per second as set, undefined without a limit. */
  get perSecond(): number | undefined {
    return this.limit;
  }

  /**
   * Sets the limit, undefined for none. The first start waits for its share of the rate, since the
   * requests before the limit are not counted.
   */
  setLimit(perSecond: number | undefined, now: units.MonotonicMs): void {
    this.refill(now);
    if (this.limit === undefined) this.tokens = 0;
    this.limit = perSecond;
    this.tokens = Math.min(this.tokens, this.maxTokens);
  }

  /** Records a start. */
  onStart(now: units.MonotonicMs): void {
    if (this.limit === undefined) return;
    this.refill(now);
    this.tokens--;
  }

  /** Returns the time at which a start after `ahead` others is within the limit. */
  startMs(ahead: number, now: units.MonotonicMs): units.MonotonicMs {
    if (this.limit === undefined) return now;
    this.refill(now);
    const missing = ahead + 1 - this.tokens;
    if (missing <= 0) return now;
    return now + (missing / this.rate) * units.MS_PER_SECOND;
  }

  private get rate(): number {
    return Math.max(this.limit ?? 0, MIN_PER_SECOND);
  }

  private get maxTokens(): number {
    return Math.max(1, (this.rate * BURST_MS) / units.MS_PER_SECOND);
  }

  private refill(now: units.MonotonicMs): void {
    const added = (this.rate * (now - this.refilledMs)) / units.MS_PER_SECOND;
    this.tokens = Math.min(this.maxTokens, this.tokens + added);
    this.refilledMs = now;
  }
}
