/** Moving averages of run times and failures. */
import * as units from '../units.js';

/** Weight of the newest run in the mean run time. */
const RUN_TIME_WEIGHT = 0.1;

/** Mean deviations from the mean below which nearly all runs end. */
const LIKELY_DEVIATIONS = 3;

/** Weight of the newest run in the failure share. */
const FAILURE_WEIGHT = 0.15;

/** Half-life of the failure share while there are no runs. */
const FAILURE_HALF_LIFE_MS: units.Millis = 3_000;

/** Mean run time assumed before the first run. */
const DEFAULT_MEAN_MS: units.Millis = 100;

/** Tracks the mean time of runs by route and the share that fails. */
export class RunTimes {
  private readonly meanByRouteMs = new Map<string, number>();
  private readonly deviationByRouteMs = new Map<string, number>();
  private overallMs: number | undefined;
  private failures = 0;
  private failuresAtMs: units.MonotonicMs = 0;

  /** Records a complete answer. */
  onAnswered(
    route: string,
    durationMs: units.Millis,
    now: units.MonotonicMs,
  ): void {
    const known = this.meanByRouteMs.get(route);
    this.meanByRouteMs.set(route, movingAverage(known, durationMs));
    const offMs = known === undefined ? 0 : Math.abs(durationMs - known);
    const deviationMs = this.deviationByRouteMs.get(route);
    this.deviationByRouteMs.set(route, movingAverage(deviationMs, offMs));
    this.overallMs = movingAverage(this.overallMs, durationMs);
    this.updateFailureShare(0, now);
  }

  /** Records a failed run. */
  onFailed(now: units.MonotonicMs): void {
    this.updateFailureShare(1, now);
  }

  /** Discards the averages of a former incarnation. */
  reset(): void {
    this.meanByRouteMs.clear();
    this.deviationByRouteMs.clear();
    this.overallMs = undefined;
    this.failures = 0;
  }

  /** Mean time of recent runs of all routes. */
  get meanMs(): units.Millis {
    return this.overallMs ?? DEFAULT_MEAN_MS;
  }

  /** Returns the mean time of recent runs of a route, or of all routes if it had none. */
  routeMeanMs(route: string): units.Millis {
    return this.meanByRouteMs.get(route) ?? this.meanMs;
  }

  /** Returns the time within which nearly all runs of a route end, undefined if it had none. */
  likelyMs(route: string): units.Millis | undefined {
    const meanMs = this.meanByRouteMs.get(route);
    const deviationMs = this.deviationByRouteMs.get(route) ?? 0;
    return meanMs === undefined
      ? undefined
      : meanMs + LIKELY_DEVIATIONS * deviationMs;
  }

  /** Returns the share of recent runs that failed, in [0, 1]. */
  failureShare(now: units.MonotonicMs): number {
    const ageMs = Math.max(0, now - this.failuresAtMs);
    return this.failures * 0.5 ** (ageMs / FAILURE_HALF_LIFE_MS);
  }

  private updateFailureShare(failed: 0 | 1, now: units.MonotonicMs): void {
    const share = this.failureShare(now);
    this.failures = share + FAILURE_WEIGHT * (failed - share);
    this.failuresAtMs = now;
  }
}

function movingAverage(mean: number | undefined, sample: number): number {
  return mean === undefined ? sample : mean + RUN_TIME_WEIGHT * (sample - mean);
}
