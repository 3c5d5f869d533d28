/** The configuration in force on a node, with the lookups used by entry and gate. */
import * as generated from '../../generated/configuration.js';
import * as tuning from './tuning.js';

/** Service and class of a request. */
export interface RouteMatch {
  readonly service: string;
  readonly requestClass: generated.RequestClass;
}

/** An accepted configuration. Immutable. */
export class ConfigurationInForce {
  private readonly classes: ReadonlyMap<string, generated.RequestClass>;
  private readonly dataCentresOut: ReadonlySet<string>;
  private readonly serversOut: ReadonlySet<string>;
  private readonly tuningByService = new Map<string, tuning.Tuning>();

  constructor(
    /** Number of accepted changes. */
    readonly revision: number,
    readonly document: generated.Configuration,
  ) {
    this.classes = new Map(document.classes.map(c => [c.name, c]));
    this.dataCentresOut = new Set(
      document.exceptions.flatMap(e =>
        e.kind === 'data-centre-out' ? [e.dataCentre] : [],
      ),
    );
    this.serversOut = new Set(
      document.exceptions.flatMap(e =>
        e.kind === 'server-out' ? [e.server] : [],
      ),
    );
  }

  /** Whether an exception takes the data centre out of service. */
  isDataCentreOut(dataCentre: string): boolean {
    return this.dataCentresOut.has(dataCentre);
  }

  /** Whether an exception takes the node's backend server out of service. */
  isServerOut(nodeId: string): boolean {
    return this.serversOut.has(nodeId);
  }

  /** Returns the request class with this name, undefined if there is none. */
  requestClass(name: string): generated.RequestClass | undefined {
    return this.classes.get(name);
  }

  /** Returns the tuning of a service, computed once per service. */
  tuningOf(service: string): tuning.Tuning {
    let found = this.tuningByService.get(service);
    if (found === undefined) {
      found = tuning.tuningOf(this.document, service);
      this.tuningByService.set(service, found);
    }
    return found;
  }

  /** Finds the service and class of a request. The longest matching path prefix wins. */
  matchRoute(method: string, path: string): RouteMatch | undefined {
    let best:
      {readonly service: string; readonly route: generated.Route} | undefined;
    for (const service of this.document.services) {
      for (const route of service.routes) {
        if (route.method !== method || !path.startsWith(route.pathPrefix)) {
          continue;
        }
        if (best && best.route.pathPrefix.length >= route.pathPrefix.length) {
          continue;
        }
        best = {service: service.name, route};
      }
    }
    const requestClass = best && this.classes.get(best.route.class);
    return best && requestClass && {service: best.service, requestClass};
  }
}
