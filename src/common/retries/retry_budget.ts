/** How many further attempts the calls of one service may cause. */
import * as tokenBucket from './token_bucket.js';

/**
 * What a further attempt costs: nothing, when the refusal says nothing about load (the member is
 * leaving, or no byte left for it); a redirection, when a gate had no room; a retry, when the
 * attempt may have run.
 */
export type Price = 'none' | 'redirect' | 'retry';

/** Retry tokens held at most, and reserved for classes that must arrive. */
const RETRY_CAPACITY = 10;
const RETRY_INITIAL = 10;
const RETRY_RESERVED = 2;

/** Redirection tokens held at most. */
const REDIRECT_CAPACITY = 10;
const REDIRECT_INITIAL = 3;

/** Redirections earned by one call when no gate is full. */
const REDIRECT_RATIO = 0.5;

/** Share of calls that found no room at which a call earns no redirection. */
const FULL_SHARE_LIMIT = 0.35;

/** Share of calls that found no room at which no second attempt is made beside a slow one. */
const HEDGE_FULL_SHARE_LIMIT = 0.1;

/** Weight of the newest call in the share of calls that found no room. */
const FULL_SHARE_WEIGHT = 0.1;

/** Further attempts that one call earns for classes that must arrive, also when gates are full. */
const MUST_ARRIVE_RATIO = 0.04;
const MUST_ARRIVE_CAPACITY = 5;
const MUST_ARRIVE_INITIAL = 2;

/** Budget of one service at one entry. */
export class RetryBudget {
  private readonly retries = new tokenBucket.TokenBucket(
    RETRY_CAPACITY,
    RETRY_INITIAL,
  );
  private readonly redirects = new tokenBucket.TokenBucket(
    REDIRECT_CAPACITY,
    REDIRECT_INITIAL,
  );
  private readonly mustArrive = new tokenBucket.TokenBucket(
    MUST_ARRIVE_CAPACITY,
    MUST_ARRIVE_INITIAL,
  );
  private share = 0;

  /** Share of recent calls that found no room where they looked first, in [0, 1]. */
  get fullShare(): number {
    return this.share;
  }

  /** Retry tokens held. */
  get retryTokens(): number {
    return this.retries.level;
  }

  /** Redirection tokens held. */
  get redirectTokens(): number {
    return this.redirects.level;
  }

  /** Notes a call received; `retryRatio` is the service's configured share of retries. */
  onCall(retryRatio: number): void {
    const calm = Math.max(0, 1 - this.share / FULL_SHARE_LIMIT);
    this.retries.deposit(retryRatio);
    this.redirects.deposit(REDIRECT_RATIO * calm);
    this.mustArrive.deposit(MUST_ARRIVE_RATIO);
  }

  /** Whether a call may be redirected now. */
  get mayRedirect(): boolean {
    return this.redirects.level >= 1;
  }

  /** Takes what an attempt beside a slow one costs; false also when gates are often full. */
  takeHedge(mustArrive: boolean): boolean {
    if (this.share >= HEDGE_FULL_SHARE_LIMIT) return false;
    return this.take('retry', mustArrive);
  }

  /** Notes whether a call found no room at the first gate, or at the sibling that it named. */
  onRoomSought(full: boolean): void {
    this.share += FULL_SHARE_WEIGHT * ((full ? 1 : 0) - this.share);
  }

  /** Takes what a further attempt costs; false if the budget does not hold it. */
  take(price: Price, mustArrive: boolean): boolean {
    if (price === 'none') return true;
    const paid =
      price === 'redirect'
        ? this.redirects.take()
        : this.retries.take(mustArrive ? 0 : RETRY_RESERVED);
    return paid || (mustArrive && this.mustArrive.take());
  }
}
