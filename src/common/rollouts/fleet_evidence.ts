/** Evidence of all gates of a service, summed from their cumulative reports. */
import * as serving from '../../generated/serving.js';
import * as units from '../units.js';
import * as durationHistogram from './duration_histogram.js';

/** Counts of one version group on one route in one data centre. */
export class Counts {
  answers = 0;
  failures = 0;
  readonly durations = durationHistogram.emptyHistogram();
}

/** Counts of the target version and of all others since the last window. */
export interface Comparison {
  readonly dataCentre: string;
  readonly route: string;
  readonly target: Counts;
  readonly others: Counts;
}

/** The latest report of a gate. */
export interface GateView {
  readonly nodeId: string;
  readonly phase: serving.RolloutPhase;
  readonly evidence: serving.GateEvidence;
  readonly heardMs: units.MonotonicMs;
}

const NO_ROUTE: serving.RouteEvidence = {
  route: '',
  answers: 0,
  failures: 0,
  durations: [],
};

/** Sums over the fleet since the order. */
export class FleetEvidence {
  private readonly views = new Map<string, GateView>();
  private window = new Map<string, Comparison>();
  /** Requests started at gates of all versions. */
  requests = 0;
  /** Requests started at gates of the target version. */
  exposed = 0;
  /** Answers, failures and loaded runs of the target version. */
  targetAnswers = 0;
  targetFailures = 0;
  targetLoaded = 0;
  othersAnswers = 0;
  othersFailures = 0;
  /** Grants of processes of gates that have ended. */
  private endedGrants = 0;

  constructor(private readonly targetVersion: string) {}

  /** The latest report of each gate. */
  get gates(): readonly GateView[] {
    return [...this.views.values()];
  }

  /** Requests that gates of the target version have started or may start. */
  get committed(): number {
    const live = this.gates
      .filter(({evidence}) => this.isTarget(evidence))
      .reduce(
        (sum, {evidence}) => sum + Math.max(evidence.started, evidence.granted),
        0,
      );
    return live + this.endedGrants;
  }

  /** Whether a report is of a gate of the target version. */
  isTarget({version}: serving.GateEvidence): boolean {
    return version === this.targetVersion;
  }

  /** Adds what a report counts beyond the gate's previous one. */
  onReport(
    nodeId: string,
    phase: serving.RolloutPhase,
    evidence: serving.GateEvidence,
    now: units.MonotonicMs,
  ): void {
    const known = this.views.get(nodeId)?.evidence;
    const isSame =
      known !== undefined &&
      known.processStartedMs === evidence.processStartedMs &&
      known.version === evidence.version;
    // Reports can overtake each other when a link is replaced.
    if (isSame && evidence.started < known.started) return;
    if (known && !isSame && this.isTarget(known)) {
      this.endedGrants += Math.max(known.started, known.granted);
    }
    const before = isSame ? known : undefined;
    this.views.set(nodeId, {nodeId, phase, evidence, heardMs: now});
    const started = evidence.started - (before?.started ?? 0);
    this.requests += started;
    if (this.isTarget(evidence)) {
      this.exposed += started;
      this.targetLoaded += evidence.loaded - (before?.loaded ?? 0);
    }
    for (const route of evidence.routes) {
      const previous = before?.routes.find(r => r.route === route.route);
      this.add(evidence, route, previous ?? NO_ROUTE);
    }
  }

  /** Returns and forgets what was counted since the last call. */
  takeWindow(): readonly Comparison[] {
    const window = [...this.window.values()];
    this.window = new Map();
    return window;
  }

  private add(
    evidence: serving.GateEvidence,
    {route, answers, failures, durations}: serving.RouteEvidence,
    before: serving.RouteEvidence,
  ): void {
    const isTarget = this.isTarget(evidence);
    const comparison = this.comparison(evidence.dataCentre, route);
    const counts = isTarget ? comparison.target : comparison.others;
    const newAnswers = Math.max(0, answers - before.answers);
    const newFailures = Math.max(0, failures - before.failures);
    counts.answers += newAnswers;
    counts.failures += newFailures;
    durations.forEach((count, i) => {
      if (i >= counts.durations.length) return;
      counts.durations[i] += Math.max(0, count - (before.durations[i] ?? 0));
    });
    if (isTarget) {
      this.targetAnswers += newAnswers;
      this.targetFailures += newFailures;
    } else {
      this.othersAnswers += newAnswers;
      this.othersFailures += newFailures;
    }
  }

  private comparison(dataCentre: string, route: string): Comparison {
    const key = `${dataCentre}\n${route}`;
    let comparison = this.window.get(key);
    if (comparison === undefined) {
      comparison = {
        dataCentre,
        route,
        target: new Counts(),
        others: new Counts(),
      };
      this.window.set(key, comparison);
    }
    return comparison;
  }
}
