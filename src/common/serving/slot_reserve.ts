/** Reserves slots for urgent requests that long ones would block. */
import * as units from '../units.js';

/** Share of the limit that long requests leave free. */
const RESERVE_SHARE = 0.2;

/** Time for which a route counts after its latest request. */
const ROUTE_MAX_AGE_MS: units.Millis = 5_000;

interface UrgentRoute {
  readonly rank: number;
  readonly objectiveMs: units.Millis;
  readonly seenMs: units.MonotonicMs;
}

/**
 * Limits requests that take longer than the whole objective of a more urgent route. On all slots
 * they would make every request of that route late, so they leave a few slots free.
 *
 * Meant for a service that serves both long requests and short urgent calls.
 */
export class SlotReserve {
  private readonly routes = new Map<string, UrgentRoute>();

  /** Records a request of a route. */
  onRequest(
    route: string,
    rank: number,
    objectiveMs: units.Millis,
    now: units.MonotonicMs,
  ): void {
    this.routes.set(route, {rank, objectiveMs, seenMs: now});
  }

  /** Returns the slots that a request of the rank and duration must leave free. */
  reservedSlots(
    rank: number,
    serviceMs: units.Millis,
    limit: number,
    now: units.MonotonicMs,
  ): number {
    for (const [name, route] of this.routes) {
      if (now - route.seenMs > ROUTE_MAX_AGE_MS) this.routes.delete(name);
      else if (route.rank < rank && route.objectiveMs < serviceMs) {
        return Math.min(limit - 1, Math.ceil(RESERVE_SHARE * limit));
      }
    }
    return 0;
  }
}
