/** Ranks the gates that a request can be sent to. */
import * as serving from '../../generated/serving.js';
import * as randomSource from '../random_source.js';
import * as units from '../units.js';
import * as gateReports from './gate_reports.js';
import * as serverPace from './server_pace.js';

/** A gate known to an entry. */
export interface KnownGate {
  readonly nodeId: string;
  readonly dataCentre: string;
  readonly service: string;
  /** Whether a link is up over which requests can be sent. */
  readonly reachable: boolean;
  /** Whether a probe went unanswered, so that the gate may be unreachable. */
  readonly maybeUnreachable: boolean;
}

/** Lookup of the gates known to an entry. */
export interface GateDirectory {
  gatesOf(service: string): readonly KnownGate[];
}

/** A gate with the figures that determine its rank. */
export interface RankedGate {
  readonly gate: KnownGate;
  readonly estimate: gateReports.GateEstimate;
  /** Expected duration of the request at this gate, with penalties. */
  readonly costMs: units.Millis;
}

/** Cost of full utilisation, as a share of the mean run time; spreads load before queues form. */
const UTILISATION_COST_SHARE = 0.5;

/**
 * Share of the slack of a request's objective by which another data centre must be faster to be
 * chosen: traffic between data centres is expensive, and a request with slack can wait.
 */
const DATA_CENTRE_SLACK_SHARE = 0.8;

/** Expected remaining time of a stall: half of a 300 ms stall, and a third of the next one. */
const STALL_PENALTY_MS: units.Millis = 250;

/** Maximum age of a stall report; on average a stall is half over when it is reported. */
const STALL_REPORT_MAX_AGE_MS: units.Millis = 150;

/** Cost of a gate at which all runs fail, in typical mean run times. */
const FAILURE_PENALTY_RUNS = 4;

/** Cost of a cold start, in typical mean run times. */
const COLD_START_PENALTY_RUNS = 1;

/** Expected delay of a request at a gate that may be unreachable. */
const UNREACHABLE_PENALTY_MS: units.Millis = 5_000;

/** Random share of the cost, so that entries with the same reports choose different gates. */
const JITTER_SHARE = 0.05;

const PERCENT = 100;

/** Dependencies of `Placement`. */
export interface PlacementOptions {
  readonly dataCentre: string;
  readonly directory: GateDirectory;
  readonly reports: gateReports.GateReports;
  readonly random: randomSource.RandomSource;
}

/** Whether a gate is estimated to start a request at once. */
export function hasFreeSlot({gate, estimate}: RankedGate): boolean {
  const {load, outstanding, startWaitMs} = estimate;
  return (
    !gate.maybeUnreachable && outstanding < load.limit && startWaitMs === 0
  );
}

/** Ranks gates by the expected duration of a request there. */
export class Placement {
  constructor(private readonly options: PlacementOptions) {}

  /**
   * Returns the reachable, open gates of a service in ascending order of cost.
   *
   * @param excluded nodes whose gates have refused the request.
   * @param slackMs time that the request can wait and still meet its objective.
   */
  rank(
    service: string,
    excluded: ReadonlySet<string>,
    slackMs: units.Millis,
    now: units.MonotonicMs,
  ): readonly RankedGate[] {
    const usable = this.usableGates(service, excluded, now);
    const typicalMeanMs = medianOf(usable.map(u => u.estimate.load.meanMs));
    const remotePenaltyMs = DATA_CENTRE_SLACK_SHARE * Math.max(0, slackMs);
    const costOf = (u: (typeof usable)[number]): units.Millis =>
      this.costMs(u.estimate, typicalMeanMs) +
      (this.isNear(u.gate) ? 0 : remotePenaltyMs) +
      (u.gate.maybeUnreachable ? UNREACHABLE_PENALTY_MS : 0);
    return usable
      .map(u => ({...u, costMs: costOf(u)}))
      .sort((a, b) => a.costMs - b.costMs);
  }

  /** Whether a gate of a service is reachable, open and not excluded. */
  hasGate(
    service: string,
    excluded: ReadonlySet<string>,
    now: units.MonotonicMs,
  ): boolean {
    return this.usableGates(service, excluded, now).length > 0;
  }

  private usableGates(
    service: string,
    excluded: ReadonlySet<string>,
    now: units.MonotonicMs,
  ): readonly Omit<RankedGate, 'costMs'>[] {
    const {directory, reports} = this.options;
    return directory
      .gatesOf(service)
      .filter(gate => gate.reachable && !excluded.has(gate.nodeId))
      .map(gate => ({gate, estimate: reports.estimate(gate.nodeId, now)}))
      .filter(({estimate}) => estimate.load.closure === serving.Closure.OPEN);
  }

  /** Whether a gate is in this node's data centre. */
  isNear(gate: KnownGate): boolean {
    return gate.dataCentre === this.options.dataCentre;
  }

  private costMs(
    {load, ageMs, outstanding, startWaitMs}: gateReports.GateEstimate,
    typicalMeanMs: units.Millis,
  ): units.Millis {
    const limit = Math.max(1, load.limit);
    const utilisation = outstanding / limit;
    const queueing = Math.max(0, utilisation - 1 + 1 / limit);
    const runMs =
      load.meanMs * (1 + UTILISATION_COST_SHARE * utilisation + queueing);
    const isStalled =
      load.pacePercent > serverPace.STALLED_PERCENT &&
      ageMs <= STALL_REPORT_MAX_AGE_MS;
    const penalty =
      (load.cold ? COLD_START_PENALTY_RUNS : 0) +
      (FAILURE_PENALTY_RUNS * load.failingPercent) / PERCENT;
    const jitter = 1 + JITTER_SHARE * this.options.random.next();
    const stallPenaltyMs = isStalled ? STALL_PENALTY_MS : 0;
    const waitMs = startWaitMs + stallPenaltyMs;
    return (runMs + penalty * typicalMeanMs + waitMs) * jitter;
  }
}

/** Returns the median, which one slow server does not distort; 0 for an empty list. */
function medianOf(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted.at(sorted.length >> 1) ?? 0;
}
