/** Limits the retries of requests on further backend servers. */
import * as units from '../units.js';

/** Retry budget of a service that all nodes share. */
export interface FleetRetryBudget {
  /** Retries for each request. */
  readonly ratio: number;
  /** Retries beyond the ratio in any window. */
  readonly slack: number;
}

/** Share of the slack that all nodes together use; requests are not spread evenly over them. */
const SLACK_SHARE = 0.6;

/**
 * Share of the ratio that a request adds: the fleet's budget counts only requests of external
 * callers, while an entry also sees calls between servers, and a retried run repeats its own calls.
 */
const RATIO_SHARE = 0.4;

/**
 * Time constant of the decaying count of recent requests, which determines how many retries may
 * accumulate. A third of the window in which the fleet's budget is counted, so that accumulated
 * and newly added retries together stay within the budget.
 */
const RECENT_TIME_CONSTANT_MS: units.Millis = 3_000;

/** Minimum capacity of a node in tokens, so that nodes of a large fleet can retry at all. */
const MIN_CAPACITY = 1;

/** Token bucket with the retry budget of one node for one service. */
export class RetryBudget {
  private tokens: number;
  /** Exponentially decaying count of requests. */
  private recentRequests = 0;
  private lastRequestMs: units.MonotonicMs = 0;

  constructor(
    private readonly budget: FleetRetryBudget,
    private readonly nodeCount: () => number,
  ) {
    this.tokens = this.capacity;
  }

  /** Maximum number of tokens, one for each retry. */
  get capacity(): number {
    const {slack, ratio} = this.budget;
    const share = (slack * SLACK_SHARE) / Math.max(1, this.nodeCount());
    const accrued = ratio * RATIO_SHARE * this.recentRequests;
    return Math.max(MIN_CAPACITY, share + accrued);
  }

  /** Tokens that are left. */
  get available(): number {
    return this.tokens;
  }

  /** Records a request, which adds tokens up to the capacity. */
  onRequest(now: units.MonotonicMs): void {
    const decay = Math.exp(
      (this.lastRequestMs - now) / RECENT_TIME_CONSTANT_MS,
    );
    this.recentRequests = this.recentRequests * decay + 1;
    this.lastRequestMs = now;
    this.tokens = Math.min(
      this.capacity,
      this.tokens + this.budget.ratio * RATIO_SHARE,
    );
  }

  /** Takes a token if at least `reserve` are left afterwards; returns whether it did. */
  take(reserve = 0): boolean {
    if (this.tokens < 1 + reserve) return false;
    this.tokens -= 1;
    return true;
  }
}

/** The retry budgets of one node, by service. */
export class ServiceRetryBudgets {
  private readonly budgets = new Map<string, RetryBudget>();

  constructor(
    private readonly fleetBudget: FleetRetryBudget,
    private readonly nodeCount: () => number,
  ) {}

  /** Returns the budget of a service. */
  of(service: string): RetryBudget {
    let budget = this.budgets.get(service);
    if (budget === undefined) {
      budget = new RetryBudget(this.fleetBudget, this.nodeCount);
      this.budgets.set(service, budget);
    }
    return budget;
  }
}
