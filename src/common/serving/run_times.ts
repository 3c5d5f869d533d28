/** How long runs take on one backend server, and how many of them fail. */
import * as units from '../units.js';

/** Weight of the newest run in the mean time of a route. */
const TIME_WEIGHT = 0.1;

/** Weight of the newest run in the share of failures. */
const FAILURE_WEIGHT = 0.15;

/** Time after which the share of failures has halved without runs. */
const FAILURE_HALF_LIFE_MS: units.Millis = 3_000;

/** Time assumed before the first run. */
const UNKNOWN_MS: units.Millis = 100;

/** Learns from runs as they end. */
export class RunTimes {
  private readonly byRoute = new Map<string, number>();
  private overallMs: number | undefined;
  private failures = 0;
  private failuresAtMs: units.MonotonicMs = 0;

  /** Notes a complete answer. */
  onAnswered(
    route: string,
    durationMs: units.Millis,
    now: units.MonotonicMs,
  ): void {
    const known = this.byRoute.get(route);
    this.byRoute.set(route, moved(known, durationMs));
    this.overallMs = moved(this.overallMs, durationMs);
    this.noteFailure(0, now);
  }

  /** Notes a run that failed. */
  onFailed(now: units.MonotonicMs): void {
    this.noteFailure(1, now);
  }

  /** Forgets what was learnt of a former incarnation. */
  reset(): void {
    this.byRoute.clear();
    this.overallMs = undefined;
    this.failures = 0;
  }

  /** Mean time of recent runs of all routes. */
  get meanMs(): units.Millis {
    return this.overallMs ?? UNKNOWN_MS;
  }

  /** Mean time of recent runs of a route. */
  meanOfMs(route: string): units.Millis {
    return this.byRoute.get(route) ?? this.meanMs;
  }

  /** Share of recent runs that failed, in [0, 1]. */
  failureShare(now: units.MonotonicMs): number {
    const ageMs = Math.max(0, now - this.failuresAtMs);
    return this.failures * 0.5 ** (ageMs / FAILURE_HALF_LIFE_MS);
  }

  private noteFailure(failed: 0 | 1, now: units.MonotonicMs): void {
    const share = this.failureShare(now);
    this.failures = share + FAILURE_WEIGHT * (failed - share);
    this.failuresAtMs = now;
  }
}

function moved(mean: number | undefined, sample: number): number {
  return mean === undefined ? sample : mean + TIME_WEIGHT * (sample - mean);
}
