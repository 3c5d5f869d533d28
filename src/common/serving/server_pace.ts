/** Current speed of the backend server's instance. */
import * as units from '../units.js';

/** Load that a backend server reports with an answer. */
export interface ServerLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** Current processing time in percent of the normal one; undefined if not reported. */
  readonly pacePercent: number | undefined;
}

/** Pace above which the server counts as stalled by its neighbours, in percent. */
export const STALLED_PERCENT = 200;

/** Maximum age of a sample; stalls by neighbours last a fraction of 300 ms. */
const SAMPLE_MAX_AGE_MS: units.Millis = 150;

/** Normal pace, in percent. */
export const NORMAL_PERCENT = 100;

/** Latest sample of the backend server's pace: processing time in percent of the normal one. */
export class ServerPace {
  private percent = NORMAL_PERCENT;
  private sampledMs: units.MonotonicMs = -Infinity;
  private full = false;
  /** Time of the first sample of the present stall. */
  private stalledSinceMs: units.MonotonicMs | undefined;

  /**
   * Records a load report; it may contain no pace.
   *
   * @returns the duration of the stall that the report shows to be over, if any.
   */
  onLoad(load: ServerLoad, now: units.MonotonicMs): units.Millis | undefined {
    this.full = load.running >= load.slots;
    if (load.pacePercent === undefined) return undefined;
    this.percent = load.pacePercent;
    this.sampledMs = now;
    if (this.percent > STALLED_PERCENT) {
      this.stalledSinceMs ??= now;
      return undefined;
    }
    const sinceMs = this.stalledSinceMs;
    this.stalledSinceMs = undefined;
    return sinceMs === undefined ? undefined : now - sinceMs;
  }

  /** Returns the latest pace in percent, the normal one if the sample is too old. */
  percentAt(now: units.MonotonicMs): number {
    return this.ageMs(now) <= SAMPLE_MAX_AGE_MS ? this.percent : NORMAL_PERCENT;
  }

  /** Whether the server is stalled by its neighbours. */
  isStalled(now: units.MonotonicMs): boolean {
    return this.percentAt(now) > STALLED_PERCENT;
  }

  /** Whether the latest load report shows no free slot. */
  get isFull(): boolean {
    return this.full;
  }

  /** Returns the age of the latest sample, infinity if there is none. */
  ageMs(now: units.MonotonicMs): units.Millis {
    return now - this.sampledMs;
  }
}
