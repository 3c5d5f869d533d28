/** Documents in the format that operators of the platform write. */

/** Host of all routes. */
export const HOST = 'shop.example';

function route(name: string, overrides: object): object {
  return {
    name,
    host: HOST,
    path_prefix: `/${name}/`,
    route_kind: 'safe',
    timeout_s: 1.5,
    target_latency_s: 0.6,
    priority: 2,
    service: 'orders',
    attempts: 2,
    ...overrides,
  };
}

/** A backend service with the given name. */
export function service(name: string): object {
  return {
    name,
    health_path: '/healthz',
    max_conns: 200,
    protocol: 'h1',
    tls_mode: false,
    cold_start_s: 3,
    cold_per_s: 10,
  };
}

/** Configuration with a safe and an unsafe route; `overrides` replaces top-level fields. */
export function configuration(version: number, overrides: object = {}): object {
  return {
    version,
    routes: [
      route('history', {}),
      route('place', {route_kind: 'unsafe', priority: 1, timeout_s: 1.2}),
    ],
    services: [service('orders')],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 100_000,
      header_timeout_s: 3,
      idle_timeout_s: 15,
    },
    ...overrides,
  };
}

/** Safe route with path prefix `/NAME/`; `overrides` replaces its fields. */
export function addedRoute(name: string, overrides: object = {}): object {
  return route(name, overrides);
}
