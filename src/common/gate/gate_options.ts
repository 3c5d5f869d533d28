/** Construction options of a gate core, and helpers that read them. */
import * as configurationInForce from '../configuration/configuration_in_force.js';
import * as fleetView from '../control/fleet_view.js';
import * as counters from '../counters.js';
import * as errors from '../errors.js';
import * as invariants from '../invariants.js';
import * as randomSource from '../random_source.js';
import * as tuning from '../configuration/tuning.js';

/** Size limits of the tables of a gate. */
export interface GateBounds {
  /**
   * Maximum number of calls waiting or running at once. The number of finished, refused and
   * cancelled calls remembered is derived from it.
   */
  readonly calls: number;
}

/** Settings and dependencies of a gate core. */
export interface GateOptions {
  readonly nodeId: string;
  readonly service: string;
  readonly dataCentre: string;
  /** Incarnation of this node process; a resend of a call sent to another one is refused. */
  readonly incarnation: number;
  /** Maximum number of requests that the backend server runs concurrently. */
  readonly slots: number;
  readonly bounds: GateBounds;
  /** Rate limit of load notices to siblings, in datagrams per second; 20 by default. */
  readonly noticesPerSecond?: number;
  readonly view: fleetView.FleetView;
  readonly counters: counters.Counters;
  readonly invariants: invariants.Invariants;
  readonly random: randomSource.RandomSource;
}

/** Returns the current tuning of the gate's own service, or the defaults if there is none. */
export function currentTuning(options: GateOptions): tuning.Tuning {
  const cfg: configurationInForce.ConfigurationInForce | undefined =
    options.view.configuration;
  return cfg?.tuningOf(options.service) ?? tuning.DEFAULT_TUNING;
}

/** Returns the error site of a step of this gate, with its node id as the peer. */
export function errorSite(
  options: GateOptions,
  step: string,
): errors.ErrorSite {
  return {step, peer: options.nodeId};
}
