/** Requests that wait at a gate for a slot. */
import * as units from '../units.js';

/** What the order of waiting requests depends on. */
export interface WaitingRequest {
  readonly rank: number;
  /** Until then an answer is of full use. */
  readonly objectiveAtMs: units.MonotonicMs;
}

/** Head start of a rank over the next lower one; an older request of lower rank gets its turn. */
const RANK_HEAD_START_MS: units.Millis = 300;

/**
 * Orders requests so that those go first whose answer can still be in time, among them by the end
 * of their objective and by rank. Late ones run when nothing else waits, so that they cost no other
 * request its objective.
 *
 * Load pattern: short urgent requests beside long patient ones on a service that is overloaded.
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

  /** Adds a request. */
  add(item: T): void {
    this.items.push(item);
  }

  /** Removes a request; false if it does not wait. */
  remove(item: T): boolean {
    const i = this.items.indexOf(item);
    if (i >= 0) this.items.splice(i, 1);
    return i >= 0;
  }

  /** Removes and returns the request whose turn it is among those that may start. */
  take(
    mayStart: (item: T) => boolean,
    serviceMs: (item: T) => units.Millis,
    now: units.MonotonicMs,
  ): T | undefined {
    let best: T | undefined;
    let bestKey = Infinity;
    for (const item of this.items) {
      if (!mayStart(item)) continue;
      const key = turnKey(item, serviceMs(item), now);
      if (best === undefined || key < bestKey) [best, bestKey] = [item, key];
    }
    if (best !== undefined) this.remove(best);
    return best;
  }

  /** Number of waiting requests that go before a new one. */
  countAhead(
    item: T,
    serviceMs: (item: T) => units.Millis,
    now: units.MonotonicMs,
  ): number {
    const key = turnKey(item, serviceMs(item), now);
    let ahead = 0;
    for (const other of this.items) {
      if (turnKey(other, serviceMs(other), now) <= key) ahead++;
    }
    return ahead;
  }
}

/** Added to the key of a request that cannot be in time, so that it goes after all others. */
const LATE_KEY = 1e12;

function turnKey(
  item: WaitingRequest,
  serviceMs: units.Millis,
  now: units.MonotonicMs,
): number {
  const late = now + serviceMs > item.objectiveAtMs;
  const key = item.objectiveAtMs + item.rank * RANK_HEAD_START_MS;
  return late ? key + LATE_KEY : key;
}
