/** Queue of requests that wait at a gate for a slot. */
import * as units from '../units.js';

/** Properties that determine the order of waiting requests. */
export interface WaitingRequest {
  readonly rank: number;
  /** Time until which an answer is of full use to the caller. */
  readonly objectiveAtMs: units.MonotonicMs;
}

/** Added to the order key for each lower rank; older requests of low rank still get to run. */
const RANK_PENALTY_MS: units.Millis = 300;

/**
 * Orders requests that can still meet their objective by the end of the objective and by rank.
 * Late requests come after all others, so that they do not make another request miss its objective.
 *
 * Meant for an overloaded service that gets both short urgent requests and long tolerant ones.
 */
export class RunQueue<T extends WaitingRequest> {
  private readonly items: T[] = [];

  /** Number of waiting requests. */
  get size(): number {
    return this.items.length;
  }

  /** The waiting requests, in order of arrival. */
  get waiting(): readonly T[] {
    return this.items;
  }

  /** Appends a request. */
  add(item: T): void {
    this.items.push(item);
  }

  /** Removes a request; false if it is not in the queue. */
  remove(item: T): boolean {
    const i = this.items.indexOf(item);
    if (i >= 0) this.items.splice(i, 1);
    return i >= 0;
  }

  /** Removes and returns the first request in order that may start. */
  take(
    mayStart: (item: T) => boolean,
    serviceMs: (item: T) => units.Millis,
    now: units.MonotonicMs,
  ): T | undefined {
    let best: T | undefined;
    let bestKey = Infinity;
    for (const item of this.items) {
      if (!mayStart(item)) continue;
      const key = orderKey(item, serviceMs(item), now);
      if (best === undefined || key < bestKey) [best, bestKey] = [item, key];
    }
    if (best !== undefined) this.remove(best);
    return best;
  }

  /** Returns the waiting requests in the order in which they would start. */
  inOrder(
    serviceMs: (item: T) => units.Millis,
    now: units.MonotonicMs,
  ): readonly T[] {
    const keyOf = (item: T): number => orderKey(item, serviceMs(item), now);
    return [...this.items].sort((a, b) => keyOf(a) - keyOf(b));
  }

  /** Returns the number of waiting requests that would start before a new one. */
  countAhead(
    item: T,
    serviceMs: (item: T) => units.Millis,
    now: units.MonotonicMs,
  ): number {
    const key = orderKey(item, serviceMs(item), now);
    let ahead = 0;
    for (const other of this.items) {
      if (orderKey(other, serviceMs(other), now) <= key) ahead++;
    }
    return ahead;
  }
}

/** Added to the key of a request that cannot meet its objective, to order it after all others. */
const LATE_KEY_OFFSET_MS = 1e12;

function orderKey(
  item: WaitingRequest,
  serviceMs: units.Millis,
  now: units.MonotonicMs,
): number {
  const late = now + serviceMs > item.objectiveAtMs;
  const key = item.objectiveAtMs + item.rank * RANK_PENALTY_MS;
  return late ? key + LATE_KEY_OFFSET_MS : key;
}
