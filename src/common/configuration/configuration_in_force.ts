/** The configuration in force on a node, with the questions that entry and gate ask of it. */
import * as generated from '../../generated/configuration.js';
import * as tuning from './tuning.js';

/** Service and class of a request. */
export interface RouteMatch {
  readonly service: string;
  readonly requestClass: generated.RequestClass;
}

/** An accepted configuration; immutable. */
export class ConfigurationInForce {
  private readonly classes: ReadonlyMap<string, generated.RequestClass>;
  private readonly dataCentresOut: ReadonlySet<string>;
  private readonly serversOut: ReadonlySet<string>;
  private readonly tunings = new Map<string, tuning.Tuning>();

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

  /** Whether operators have taken the data centre out. */
  isDataCentreOut(dataCentre: string): boolean {
    return this.dataCentresOut.has(dataCentre);
  }

  /** Whether operators have taken the backend server of this node out. */
  isServerOut(nodeId: string): boolean {
    return this.serversOut.has(nodeId);
  }

  /** Returns the class of that name, if any. */
  requestClass(name: string): generated.RequestClass | undefined {
    return this.classes.get(name);
  }

  /** Returns the tuning of a service. */
  tuningOf(service: string): tuning.Tuning {
    let found = this.tunings.get(service);
    if (found === undefined) {
      found = tuning.tuningOf(this.document, service);
      this.tunings.set(service, found);
    }
    return found;
  }

  /** Finds the service and class of a request: the longest matching path prefix wins. */
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
