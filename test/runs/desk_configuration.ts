/** Configuration of the fleets in virtual time. */
import * as configuration from '../../src/common/serving/configuration.js';

/** Returns a route to one service. */
export function route(
  name: string,
  service: string,
  overrides: Partial<configuration.Route> = {},
): configuration.Route {
  return {
    name,
    host: 'desk.example',
    pathPrefix: `/${name}/`,
    repeatable: true,
    timeoutMs: 10_000,
    objectiveMs: 600,
    rank: 2,
    attempts: 2,
    requiresKey: false,
    parts: [{service, weight: 1}],
    ...overrides,
  };
}

/** Returns a configuration with the routes, to services with the given time of a cold start. */
export function document(
  routes: readonly configuration.Route[],
  services: readonly string[],
  coldStartMs: number,
): configuration.FleetConfiguration {
  return {
    version: 1,
    routes,
    services: services.map(name => ({
      name,
      healthPath: '/healthz',
      maxConnections: 1_200,
      coldStartMs,
      coldPerSecond: 9,
    })),
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 1_000_000,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
  };
}
