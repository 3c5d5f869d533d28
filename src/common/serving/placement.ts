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
  /** Whether it has been silent to a question, and may be out of reach. */
  readonly doubtful: boolean;
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

/**
 * Part of the slack of a request's objective by which another data centre must be faster to be
 * chosen: bytes between data centres are dear, and a request with time to spare can wait.
 */
const DATA_CENTRE_SLACK_SHARE = 0.8;

/** Time that a stall is expected to last on: half a spell of 300 ms, and a third of the next. */
const STALLED_MS: units.Millis = 250;

/** Age up to which a report of a stall counts; on average half a spell is over when it is told. */
const STALL_LIFE_MS: units.Millis = 150;

/** Multiple of the mean run time that a gate at which all runs fail adds. */
const FAILING_SHARE = 4;

/** Multiple of the mean run time that a cold server adds. */
const COLD_SHARE = 1;

/** Time that a request is expected to lose at a gate that may be out of reach. */
const DOUBTFUL_MS: units.Millis = 5_000;

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

/** Whether a gate is believed to have a slot free. */
export function hasRoom({gate, estimate}: RankedGate): boolean {
  return !gate.doubtful && estimate.outstanding < estimate.load.limit;
}

/** Ranks gates by the time that a request is expected to take there. */
export class Placement {
  constructor(private readonly options: PlacementOptions) {}

  /**
   * Returns the open gates of a service that are not passed over, the best first.
   *
   * @param passedOver gates that have refused the request.
   * @param slackMs time to spare of the request's objective.
   */
  rank(
    service: string,
    passedOver: ReadonlySet<string>,
    slackMs: units.Millis,
    now: units.MonotonicMs,
  ): readonly RankedGate[] {
    const {directory, reports} = this.options;
    const usable = directory
      .gatesOf(service)
      .filter(gate => gate.reachable && !passedOver.has(gate.nodeId))
      .map(gate => ({gate, estimate: reports.estimate(gate.nodeId, now)}))
      .filter(({estimate}) => estimate.load.closure === serving.Closure.OPEN);
    const typicalMs = typicalOf(usable.map(u => u.estimate.load.meanMs));
    const awayMs = DATA_CENTRE_SLACK_SHARE * Math.max(0, slackMs);
    const costOf = (u: (typeof usable)[number]): units.Millis =>
      this.costMs(u.estimate, typicalMs) +
      (this.isNear(u.gate) ? 0 : awayMs) +
      (u.gate.doubtful ? DOUBTFUL_MS : 0);
    return usable
      .map(u => ({...u, costMs: costOf(u)}))
      .sort((a, b) => a.costMs - b.costMs);
  }

  /** Whether a gate is in this node's data centre. */
  isNear(gate: KnownGate): boolean {
    return gate.dataCentre === this.options.dataCentre;
  }

  private costMs(
    {load, ageMs, outstanding}: gateReports.GateEstimate,
    typicalMs: units.Millis,
  ): units.Millis {
    const limit = Math.max(1, load.limit);
    const use = outstanding / limit;
    const queueing = Math.max(0, use - 1 + 1 / limit);
    const runMs = load.meanMs * (1 + CROWDING_SHARE * use + queueing);
    const isStalled =
      load.pacePercent > serverPace.STALLED_PERCENT && ageMs <= STALL_LIFE_MS;
    const penalty =
      (load.cold ? COLD_SHARE : 0) +
      (FAILING_SHARE * load.failingPercent) / PERCENT;
    const jitter = 1 + JITTER_SHARE * this.options.random.next();
    const stalledMs = isStalled ? STALLED_MS : 0;
    return (runMs + penalty * typicalMs + stalledMs) * jitter;
  }
}

/** Median, so that one slow server does not move the measure. */
function typicalOf(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted.at(sorted.length >> 1) ?? 0;
}
