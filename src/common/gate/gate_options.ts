/** What a gate core is built with. */
import * as inForce from '../configuration/configuration_in_force.js';
import * as fleet from '../control/fleet_view.js';
import * as counters from '../counters.js';
import * as errors from '../errors.js';
import * as invariants from '../invariants.js';
import * as randomSource from '../random_source.js';
import * as tuning from '../configuration/tuning.js';

/** Bounds of the tables of a gate. */
export interface GateBounds {
  /** Most calls waiting or running at once, and most remembered after their end. */
  readonly calls: number;
}

/** Settings and surroundings of a gate core. */
export interface GateOptions {
  readonly nodeId: string;
  readonly service: string;
  readonly dataCentre: string;
  /** Incarnation of this node process. */
  readonly incarnation: number;
  /** Requests that the backend server can run at the same time. */
  readonly slots: number;
  readonly bounds: GateBounds;
  /** Load notices to siblings, in datagrams a second; a default without it. */
  readonly noticesPerSecond?: number;
  readonly view: fleet.FleetView;
  readonly counters: counters.Counters;
  readonly invariants: invariants.Invariants;
  readonly random: randomSource.RandomSource;
}

/** Returns the tuning in force for the gate's own service. */
export function tuningInForce(options: GateOptions): tuning.Tuning {
  const cfg: inForce.ConfigurationInForce | undefined =
    options.view.configuration;
  return cfg?.tuningOf(options.service) ?? tuning.DEFAULT_TUNING;
}

/** Returns the site of an error of this gate. */
export function siteOf(options: GateOptions, step: string): errors.ErrorSite {
  return {step, peer: options.nodeId};
}
