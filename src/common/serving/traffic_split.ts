/** Splits a route's requests among its services by weight. */
import * as configuration from './configuration.js';

/**
 * Smooth weighted round robin: every request adds each part's weight to its credit, and the part
 * with the highest credit is chosen and pays the total. Any span of requests is close to the
 * weights.
 */
export class TrafficSplit {
  private readonly credits = new Map<string, Map<string, number>>();

  /** Returns the part that takes the next request; undefined for a route without parts. */
  next(route: configuration.Route): configuration.RoutePart | undefined {
    const {parts} = route;
    if (parts.length <= 1) return parts.at(0);
    const credits = this.creditsOf(route.name);
    let total = 0;
    let highest: configuration.RoutePart | undefined;
    for (const part of parts) {
      total += part.weight;
      credits.set(part.service, (credits.get(part.service) ?? 0) + part.weight);
      if (!highest) highest = part;
      else if (credits.get(part.service)! > credits.get(highest.service)!) {
        highest = part;
      }
    }
    if (highest) {
      credits.set(highest.service, credits.get(highest.service)! - total);
    }
    return highest;
  }

  private creditsOf(routeName: string): Map<string, number> {
    let routeCredits = this.credits.get(routeName);
    if (!routeCredits) {
      routeCredits = new Map();
      this.credits.set(routeName, routeCredits);
    }
    return routeCredits;
  }
}
