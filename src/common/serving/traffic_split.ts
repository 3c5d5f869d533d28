/** Divides a route's requests among its parts by weight. */
import * as configuration from './configuration.js';

/**
 * Smooth weighted round robin: each part earns its weight with every request and the richest part
 * pays for it, so that any span of requests is close to the weights.
 */
export class TrafficSplit {
  private readonly credits = new Map<string, Map<string, number>>();

  /** Returns the part whose turn it is; undefined for a route without parts. */
  next(route: configuration.Route): configuration.RoutePart | undefined {
    const {parts} = route;
    if (parts.length <= 1) return parts.at(0);
    const credit = this.creditOf(route.name);
    let total = 0;
    let richest: configuration.RoutePart | undefined;
    for (const part of parts) {
      total += part.weight;
      credit.set(part.service, (credit.get(part.service) ?? 0) + part.weight);
      if (!richest) richest = part;
      else if (credit.get(part.service)! > credit.get(richest.service)!) {
        richest = part;
      }
    }
    if (richest) {
      credit.set(richest.service, credit.get(richest.service)! - total);
    }
    return richest;
  }

  private creditOf(routeName: string): Map<string, number> {
    let credit = this.credits.get(routeName);
    if (!credit) {
      credit = new Map();
      this.credits.set(routeName, credit);
    }
    return credit;
  }
}
