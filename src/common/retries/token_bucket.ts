/** Token bucket that is filled by events instead of time. */

/** Token bucket with at most `capacity` tokens, which may be fractional. */
export class TokenBucket {
  constructor(
    private readonly capacity: number,
    private tokens: number,
  ) {}

  /** Number of available tokens. */
  get level(): number {
    return this.tokens;
  }

  /** Adds tokens, up to the capacity. */
  deposit(amount: number): void {
    this.tokens = Math.min(this.capacity, this.tokens + amount);
  }

  /** Takes one token if at least `reserved` tokens are left; returns whether it did. */
  take(reserved = 0): boolean {
    if (this.tokens < 1 + reserved) return false;
    this.tokens -= 1;
    return true;
  }
}
