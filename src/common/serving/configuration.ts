/** The fleet configuration published by operators. */
import * as units from '../units.js';
import * as workspace from '../workspaces/workspace.js';
import * as workspaceDirectory from '../workspaces/workspace_directory.js';

/** A service that takes a share of a route's requests. */
export interface RoutePart {
  readonly service: string;
  /** Share of the requests, relative to the other parts. */
  readonly weight: number;
}

/** Destination and service objectives of the requests of one host and path prefix. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Starts and ends with a slash. */
  readonly pathPrefix: string;
  /** Whether a request may run more than once. */
  readonly repeatable: boolean;
  /** Maximum time until a request gets its final answer. */
  readonly timeoutMs: units.Millis;
  /** Time within which an answer is of full use to the caller. */
  readonly objectiveMs: units.Millis;
  /** Importance; 0 is the highest. */
  readonly rank: number;
  /** Maximum number of backend servers that one request may be sent to. */
  readonly attempts: number;
  /** Whether callers need a key if the configuration has workspaces. */
  readonly requiresKey: boolean;
  readonly parts: readonly RoutePart[];
}

/** Settings of all backend servers of a service. */
export interface ServiceRules {
  readonly name: string;
  /** Path of the health check. */
  readonly healthPath: string;
  /** Maximum number of connections that a backend server accepts. */
  readonly maxConnections: number;
  /** Duration of a cold start. */
  readonly coldStartMs: units.Millis;
  /** Requests per second that a backend server tolerates in cold start. */
  readonly coldPerSecond: number;
}

/** Limits on what callers may send. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  /** Maximum time to receive the headers of a request. */
  readonly headerTimeoutMs: units.Millis;
  /** Maximum time that a connection stays idle. */
  readonly idleTimeoutMs: units.Millis;
}

/** A complete configuration document. */
export interface FleetConfiguration {
  /** Increases with each change. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly ServiceRules[];
  readonly limits: CallerLimits;
  /** Undefined if requests belong to no workspace and carry no keys. */
  readonly workspaces?: readonly workspace.Workspace[];
}

/** A configuration with indexes for lookups by entry and gate. */
export class ConfigurationInForce {
  private readonly routesByHost: ReadonlyMap<string, readonly Route[]>;
  private readonly servicesByName: ReadonlyMap<string, ServiceRules>;
  private readonly workspaces:
    workspaceDirectory.WorkspaceDirectory | undefined;

  constructor(readonly document: FleetConfiguration) {
    this.routesByHost = groupByHost(document.routes);
    this.servicesByName = new Map(document.services.map(s => [s.name, s]));
    const {workspaces} = document;
    this.workspaces =
      workspaces && new workspaceDirectory.WorkspaceDirectory(workspaces);
  }

  /** Version of the configuration. */
  get version(): number {
    return this.document.version;
  }

  /**
   * Returns the route of the host with the longest prefix of the path, undefined if none matches.
   *
   * @param host value of the `Host` header.
   * @param target path and query.
   */
  matchRoute(host: string, target: string): Route | undefined {
    const path = target.split('?', 1)[0];
    const routes = this.routesByHost.get(hostName(host)) ?? [];
    return routes.find(route => path.startsWith(route.pathPrefix));
  }

  /** Returns whom a request on a route belongs to. */
  identify(
    route: Route,
    key: workspaceDirectory.CallerKey,
  ): workspaceDirectory.Identity {
    if (this.workspaces === undefined || !route.requiresKey) {
      return {kind: 'anonymous'};
    }
    return this.workspaces.identify(key);
  }

  /** Whether requests belong to workspaces, except on routes that need no key. */
  get hasWorkspaces(): boolean {
    return this.workspaces !== undefined;
  }

  /**
   * Whether a request can be judged only by the newest configuration: it carries a key, or its
   * route needs one.
   */
  dependsOnKeys(route: Route, key: workspaceDirectory.CallerKey): boolean {
    return this.hasWorkspaces && (route.requiresKey || key.kind !== 'none');
  }

  /** Returns the rules of a service, if it is known. */
  serviceRules(name: string): ServiceRules | undefined {
    return this.servicesByName.get(name);
  }
}

/** Groups routes by host, sorted by descending prefix length. */
function groupByHost(
  routes: readonly Route[],
): ReadonlyMap<string, readonly Route[]> {
  const groups = new Map<string, Route[]>();
  for (const route of routes) {
    const host = hostName(route.host);
    const group = groups.get(host);
    if (group) group.push(route);
    else groups.set(host, [route]);
  }
  for (const group of groups.values()) {
    group.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
  }
  return groups;
}

/** Normalises a `Host` value: lower case, without the port. */
function hostName(host: string): string {
  return host.replace(/:\d+$/, '').toLowerCase();
}
