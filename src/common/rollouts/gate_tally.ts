/** What a gate counts during a roll-out of its service. */
import * as serving from '../../generated/serving.js';
import * as units from '../units.js';
import * as durationHistogram from './duration_histogram.js';

/** Share of the gate's limit that must be in use for a run to count as loaded. */
const LOADED_SHARE = 0.7;

/** Result of a run on the backend server. */
export interface RunResult {
  readonly route: string;
  readonly failed: boolean;
  readonly durationMs: units.Millis;
  /** Whether the backend server was in cold start; such durations are not compared. */
  readonly cold: boolean;
}

/** Counts of one route. */
class RouteCounts {
  answers = 0;
  failures = 0;
  readonly durations = durationHistogram.emptyHistogram();
}

/** Counts of one gate since the order, for one version of its backend server. */
export class GateTally {
  private readonly routes = new Map<string, RouteCounts>();
  private startedCount = 0;
  private loadedCount = 0;
  private grantedCount = 0;

  constructor(readonly version: string | undefined) {}

  /** Requests started. */
  get started(): number {
    return this.startedCount;
  }

  /** Requests that may be started, counted from the order. */
  get granted(): number {
    return this.grantedCount;
  }

  /** Raises the grant; a late message never lowers it. */
  grant(requests: number): void {
    this.grantedCount = Math.max(this.grantedCount, requests);
  }

  /** Counts a start; `running` includes it. */
  onStarted(running: number, limit: number): void {
    this.startedCount++;
    if (running >= LOADED_SHARE * limit) this.loadedCount++;
  }

  onEnded({route, failed, durationMs, cold}: RunResult): void {
    let counts = this.routes.get(route);
    if (counts === undefined) {
      counts = new RouteCounts();
      this.routes.set(route, counts);
    }
    counts.answers++;
    if (failed) counts.failures++;
    else if (!cold) counts.durations[durationHistogram.bucketOf(durationMs)]++;
  }

  /** Returns the counts for a report. */
  counts(): Pick<
    serving.GateEvidence,
    'started' | 'granted' | 'loaded' | 'routes'
  > {
    return {
      started: this.startedCount,
      granted: this.grantedCount,
      loaded: this.loadedCount,
      routes: [...this.routes].map(([route, counts]) => ({
        route,
        answers: counts.answers,
        failures: counts.failures,
        durations: withoutTrailingZeros(counts.durations),
      })),
    };
  }
}

function withoutTrailingZeros(counts: readonly number[]): number[] {
  const last = counts.findLastIndex(count => count > 0);
  return counts.slice(0, last + 1);
}
