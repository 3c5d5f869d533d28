/** Splits a route's requests among its services by weight. */
import * as randomSource from '../random_source.js';
import * as configuration from './configuration.js';

/** Number of requests from which the random position of a route's start is drawn. */
const START_POSITIONS = 100;

/** Credits of a route's parts, valid for one set of weights. */
interface RouteCredits {
  readonly weights: string;
  readonly byService: Map<string, number>;
}

/**
 * Smooth weighted round robin: every request adds each part's weight to its credit, and the part
 * with the highest credit is chosen and pays the total. Any span of requests is close to the
 * weights. Each entry starts at a random position of the sequence, as entries that start together
 * would otherwise send all their first requests to the same part.
 */
export class TrafficSplit {
  private readonly credits = new Map<string, RouteCredits>();

  constructor(private readonly random: randomSource.RandomSource) {}

  /** Returns the part that takes the next request; undefined for a route without parts. */
  next(route: configuration.Route): configuration.RoutePart | undefined {
    const {parts} = route;
    if (parts.length <= 1) return parts.at(0);
    return chargeNext(parts, this.creditsOf(route));
  }

  private creditsOf({name, parts}: configuration.Route): Map<string, number> {
    const weights = parts.map(p => `${p.service}=${p.weight}`).join(',');
    const known = this.credits.get(name);
    if (known?.weights === weights) return known.byService;
    const byService = new Map<string, number>();
    const skipped = this.random.nextInt(START_POSITIONS);
    for (let i = 0; i < skipped; i++) chargeNext(parts, byService);
    this.credits.set(name, {weights, byService});
    return byService;
  }
}

/** Adds each part's weight to its credit; returns the part that takes the request. */
function chargeNext(
  parts: readonly configuration.RoutePart[],
  credits: Map<string, number>,
): configuration.RoutePart {
  let total = 0;
  let next = parts[0];
  let highest = -Infinity;
  for (const part of parts) {
    const credit = (credits.get(part.service) ?? 0) + part.weight;
    credits.set(part.service, credit);
    total += part.weight;
    if (credit <= highest) continue;
    highest = credit;
    next = part;
  }
  credits.set(next.service, highest - total);
  return next;
}
