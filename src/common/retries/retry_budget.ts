/** Budget that limits retries, redirections and hedges per service. */
import * as tokenBucket from './token_bucket.js';

/**
 * Cost of another attempt. `none`: the refusal is unrelated to load (the member is leaving, or no
 * byte was sent to it). `redirect`: a gate had no capacity. `retry`: the attempt may have run.
 */
export type AttemptCost = 'none' | 'redirect' | 'retry';

/** Retry tokens: maximum and initial number, and number reserved for must-arrive classes. */
const MAX_RETRY_TOKENS = 10;
const INITIAL_RETRY_TOKENS = 10;
const RESERVED_RETRY_TOKENS = 2;

/** Redirection tokens: maximum and initial number. */
const MAX_REDIRECT_TOKENS = 10;
const INITIAL_REDIRECT_TOKENS = 3;

/** Redirection tokens added per call while no gate is full. */
const REDIRECT_TOKENS_PER_CALL = 0.5;

/** Full share at which calls add no more redirection tokens. */
const REDIRECT_FULL_SHARE_LIMIT = 0.35;

/** Full share at which no hedge is granted. */
const HEDGE_FULL_SHARE_LIMIT = 0.1;

/** Weight of the newest call in the full share. */
const FULL_SHARE_WEIGHT = 0.1;

/** Tokens added per call for must-arrive classes, even while gates are full. */
const MUST_ARRIVE_TOKENS_PER_CALL = 0.04;
const MAX_MUST_ARRIVE_TOKENS = 5;
const INITIAL_MUST_ARRIVE_TOKENS = 2;

/** Budget of one service at one entry; calls add tokens and further attempts take them. */
export class RetryBudget {
  private readonly retries = new tokenBucket.TokenBucket(
    MAX_RETRY_TOKENS,
    INITIAL_RETRY_TOKENS,
  );
  private readonly redirects = new tokenBucket.TokenBucket(
    MAX_REDIRECT_TOKENS,
    INITIAL_REDIRECT_TOKENS,
  );
  private readonly mustArrive = new tokenBucket.TokenBucket(
    MAX_MUST_ARRIVE_TOKENS,
    INITIAL_MUST_ARRIVE_TOKENS,
  );
  private smoothedFullShare = 0;

  /** Smoothed share of calls that found the first gate full, in [0, 1]. */
  get fullShare(): number {
    return this.smoothedFullShare;
  }

  /** Number of available retry tokens, may be fractional. */
  get retryTokens(): number {
    return this.retries.level;
  }

  /** Number of available redirection tokens, may be fractional. */
  get redirectTokens(): number {
    return this.redirects.level;
  }

  /** Adds the tokens of one received call; `retryRatio` is the configured retries per call. */
  onCall(retryRatio: number): void {
    const redirectFactor = Math.max(
      0,
      1 - this.smoothedFullShare / REDIRECT_FULL_SHARE_LIMIT,
    );
    this.retries.deposit(retryRatio);
    this.redirects.deposit(REDIRECT_TOKENS_PER_CALL * redirectFactor);
    this.mustArrive.deposit(MUST_ARRIVE_TOKENS_PER_CALL);
  }

  /** Whether at least one redirection token is available. */
  get mayRedirect(): boolean {
    return this.redirects.level >= 1;
  }

  /** Takes the cost of a hedge (a second parallel attempt); false also if gates are often full. */
  takeHedge(mustArrive: boolean): boolean {
    if (this.smoothedFullShare >= HEDGE_FULL_SHARE_LIMIT) return false;
    return this.take('retry', mustArrive);
  }

  /** Records whether a call found the first gate, or the alternative that it named, full. */
  recordGateFullness(full: boolean): void {
    this.smoothedFullShare +=
      FULL_SHARE_WEIGHT * ((full ? 1 : 0) - this.smoothedFullShare);
  }

  /** Takes the cost of another attempt; false if the budget lacks the tokens. */
  take(cost: AttemptCost, mustArrive: boolean): boolean {
    if (cost === 'none') return true;
    const isGranted =
      cost === 'redirect'
        ? this.redirects.take()
        : this.retries.take(mustArrive ? 0 : RESERVED_RETRY_TOKENS);
    return isGranted || (mustArrive && this.mustArrive.take());
  }
}
