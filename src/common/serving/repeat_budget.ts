/** Bounds how often requests are sent to a further backend server. */
import * as units from '../units.js';

/** What all nodes together may spend on repetitions of a service's requests. */
export interface FleetRepeatBudget {
  /** Repetitions for each request. */
  readonly ratio: number;
  /** Repetitions beyond the ratio in any window. */
  readonly slack: number;
}

/** Share of the slack that the nodes use together; requests are not spread evenly over them. */
const SLACK_SHARE = 0.6;

/**
 * Share of the ratio that is earned with a request: the budget counts what clients sent, while an
 * entry sees calls of servers as well, and a repeated run repeats its own calls.
 */
const RATIO_SHARE = 0.4;

/**
 * Time whose requests' repetitions may be saved up: a third of the window in which the fleet's
 * budget is counted, so that what is saved and what is earned stay below it together.
 */
const SAVED_MS: units.Millis = 3_000;

/** Fewest tokens that a node can hold, so that a large fleet can still repeat at all. */
const MIN_CAPACITY = 1;

/** Budget of one node for one service. */
export class RepeatBudget {
  private tokens: number;
  /** Requests of the recent past, older ones by a falling weight. */
  private recent = 0;
  private requestedMs: units.MonotonicMs = 0;

  constructor(
    private readonly budget: FleetRepeatBudget,
    private readonly nodeCount: () => number,
  ) {
    this.tokens = this.capacity;
  }

  /** Repetitions that may be made at once. */
  get capacity(): number {
    const {slack, ratio} = this.budget;
    const share = (slack * SLACK_SHARE) / Math.max(1, this.nodeCount());
    const saved = ratio * RATIO_SHARE * this.recent;
    return Math.max(MIN_CAPACITY, share + saved);
  }

  /** Repetitions that may be made now. */
  get level(): number {
    return this.tokens;
  }

  /** Notes a request. */
  onRequest(now: units.MonotonicMs): void {
    const weight = Math.exp((this.requestedMs - now) / SAVED_MS);
    this.recent = this.recent * weight + 1;
    this.requestedMs = now;
    this.tokens = Math.min(
      this.capacity,
      this.tokens + this.budget.ratio * RATIO_SHARE,
    );
  }

  /** Takes one repetition, leaving at least `reserve`; false if there is none. */
  take(reserve = 0): boolean {
    if (this.tokens < 1 + reserve) return false;
    this.tokens -= 1;
    return true;
  }
}
