/** Keeps slots free for urgent requests where longer ones would block them. */
import * as units from '../units.js';

/** Share of the limit that long requests leave free. */
const RESERVE_SHARE = 0.2;

/** Time for which an urgent route counts after its newest request. */
const ROUTE_LIFE_MS: units.Millis = 5_000;

interface UrgentRoute {
  readonly rank: number;
  readonly objectiveMs: units.Millis;
  readonly seenMs: units.MonotonicMs;
}

/**
 * A request that takes longer than the whole objective of a more urgent route would, with its like
 * on all slots, make every request of that route late. Such requests leave a few slots free.
 *
 * Load pattern: long patient requests fill the slots of a service that also answers short calls.
 */
export class SlotReserve {
  private readonly routes = new Map<string, UrgentRoute>();

  /** Notes a request of a route. */
  onRequest(
    route: string,
    rank: number,
    objectiveMs: units.Millis,
    now: units.MonotonicMs,
  ): void {
    this.routes.set(route, {rank, objectiveMs, seenMs: now});
  }

  /** Slots that a request of the rank and duration leaves free. */
  reserved(
    rank: number,
    serviceMs: units.Millis,
    limit: number,
    now: units.MonotonicMs,
  ): number {
    for (const [name, route] of this.routes) {
      if (now - route.seenMs > ROUTE_LIFE_MS) this.routes.delete(name);
      else if (route.rank < rank && route.objectiveMs < serviceMs) {
        return Math.min(limit - 1, Math.ceil(RESERVE_SHARE * limit));
      }
    }
    return 0;
  }
}
