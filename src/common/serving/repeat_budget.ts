/** Bounds how often requests are sent to a further backend server. */

/** What all nodes together may spend on repetitions of a service's requests. */
export interface FleetRepeatBudget {
  /** Repetitions for each request. */
  readonly ratio: number;
  /** Repetitions beyond the ratio in any window. */
  readonly slack: number;
}

/**
 * Share of the fleet's budget that the nodes use: a repeated run repeats its own calls to other
 * services, and requests are not spread evenly over the nodes.
 */
const USED_SHARE = 0.5;

/** Fewest tokens that a node can hold, so that a large fleet can still repeat at all. */
const MIN_CAPACITY = 1;

/** Budget of one node for one service. */
export class RepeatBudget {
  private tokens: number;

  constructor(
    private readonly budget: FleetRepeatBudget,
    private readonly nodeCount: () => number,
  ) {
    this.tokens = this.capacity;
  }

  /** Repetitions that may be made at once. */
  get capacity(): number {
    const share = this.budget.slack / Math.max(1, this.nodeCount());
    return Math.max(MIN_CAPACITY, share * USED_SHARE);
  }

  /** Repetitions that may be made now. */
  get level(): number {
    return this.tokens;
  }

  /** Notes a request. */
  onRequest(): void {
    this.tokens = Math.min(
      this.capacity,
      this.tokens + this.budget.ratio * USED_SHARE,
    );
  }

  /** Takes one repetition, leaving at least `reserve`; false if there is none. */
  take(reserve = 0): boolean {
    if (this.tokens < 1 + reserve) return false;
    this.tokens -= 1;
    return true;
  }
}
