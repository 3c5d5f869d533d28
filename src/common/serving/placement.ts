/** Chooses the gate that a request is sent to. */
import * as serving from '../../generated/serving.js';
import * as randomSource from '../random_source.js';
import * as units from '../units.js';
import * as gateReports from './gate_reports.js';
import * as serverPace from './server_pace.js';

/** A gate as it is known to an entry. */
export interface KnownGate {
  readonly nodeId: string;
  readonly dataCentre: string;
  readonly service: string;
  /** Whether requests can be sent there now. */
  readonly reachable: boolean;
}

/** The gates that an entry knows. */
export interface GateDirectory {
  gatesOf(service: string): readonly KnownGate[];
}

/** A gate with the reasons for its place. */
export interface RankedGate {
  readonly gate: KnownGate;
  readonly estimate: gateReports.GateEstimate;
  /** Expected time of a request there, with penalties. */
  readonly costMs: units.Millis;
}

/** Part of the mean run time that a fully used gate adds, so that work spreads before it queues. */
const CROWDING_SHARE = 0.5;

/** Part of the mean run time for which another data centre must be faster to be chosen. */
const DATA_CENTRE_SHARE = 0.3;

/** Part of the mean run time that neighbours of a stalled server cost. */
const STALLED_SHARE = 1;

/** Age up to which a report of a stall counts; spells last a fraction of 300 ms. */
const STALL_LIFE_MS: units.Millis = 100;

/** Multiple of the mean run time that a gate at which all runs fail adds. */
const FAILING_SHARE = 4;

/** Multiple of the mean run time that a cold server adds. */
const COLD_SHARE = 1;

/** Part of the cost that is random, so that entries with the same view do not choose alike. */
const JITTER_SHARE = 0.05;

const PERCENT = 100;

/** What a placement is made with. */
export interface PlacementOptions {
  readonly dataCentre: string;
  readonly directory: GateDirectory;
  readonly reports: gateReports.GateReports;
  readonly random: randomSource.RandomSource;
}

/** Ranks gates by the time that a request is expected to take there. */
export class Placement {
  constructor(private readonly options: PlacementOptions) {}

  /**
   * Returns the open gates of a service that are not passed over, the best first.
   *
   * @param passedOver gates that have refused the request.
   */
  rank(
    service: string,
    passedOver: ReadonlySet<string>,
    now: units.MonotonicMs,
  ): readonly RankedGate[] {
    const {directory, reports} = this.options;
    const usable = directory
      .gatesOf(service)
      .filter(gate => gate.reachable && !passedOver.has(gate.nodeId))
      .map(gate => ({gate, estimate: reports.estimate(gate.nodeId, now)}))
      .filter(({estimate}) => estimate.load.closure === serving.Closure.OPEN);
    const typicalMs = typicalOf(usable.map(u => u.estimate.load.meanMs));
    return usable
      .map(u => ({...u, costMs: this.costMs(u.gate, u.estimate, typicalMs)}))
      .sort((a, b) => a.costMs - b.costMs);
  }

  private costMs(
    gate: KnownGate,
    {load, ageMs, outstanding}: gateReports.GateEstimate,
    typicalMs: units.Millis,
  ): units.Millis {
    const limit = Math.max(1, load.limit);
    const use = outstanding / limit;
    const queueing = Math.max(0, use - 1 + 1 / limit);
    const runMs = load.meanMs * (1 + CROWDING_SHARE * use + queueing);
    const isStalled =
      load.pacePercent > serverPace.STALLED_PERCENT && ageMs <= STALL_LIFE_MS;
    const isAway = gate.dataCentre !== this.options.dataCentre;
    const penalty =
      (isAway ? DATA_CENTRE_SHARE : 0) +
      (isStalled ? STALLED_SHARE : 0) +
      (load.cold ? COLD_SHARE : 0) +
      (FAILING_SHARE * load.failingPercent) / PERCENT;
    const jitter = 1 + JITTER_SHARE * this.options.random.next();
    return (runMs + penalty * typicalMs) * jitter;
  }
}

/** Median, so that one slow server does not move the measure. */
function typicalOf(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted.at(sorted.length >> 1) ?? 0;
}
