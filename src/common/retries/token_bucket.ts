/** A bounded store of tokens. */

/** Tokens that are paid in by events and taken by work; holds at most `capacity`. */
export class TokenBucket {
  constructor(
    private readonly capacity: number,
    private tokens: number,
  ) {}

  /** Tokens held. */
  get level(): number {
    return this.tokens;
  }

  /** Pays in, up to the capacity. */
  deposit(amount: number): void {
    this.tokens = Math.min(this.capacity, this.tokens + amount);
  }

  /** Takes one token if at least that one and `keep` others are held. */
  take(keep = 0): boolean {
    if (this.tokens < 1 + keep) return false;
    this.tokens -= 1;
    return true;
  }
}
