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

/** Maximum age of a sample; stalls by neighbours last a few hundred milliseconds. */
const SAMPLE_MAX_AGE_MS: units.Millis = 150;

/** Mean duration of a stall assumed before one has been seen to end. */
const DEFAULT_STALL_MS: units.Millis = 300;

/** Weight of the newest stall in the mean duration. */
const STALL_WEIGHT = 0.1;

/** Age of a stall, in mean durations, from which the server counts as slow for good. */
const LASTING_STALLS = 3;

/** Normal pace, in percent. */
export const NORMAL_PERCENT = 100;

/** Latest sample of the backend server's pace: processing time in percent of the normal one. */
export class ServerPace {
  private percent = NORMAL_PERCENT;
  private sampledMs: units.MonotonicMs = -Infinity;
  private full = false;
  /** Time of the first sample of the present stall. */
  private stalledSinceMs: units.MonotonicMs | undefined;
  private meanStallMs = DEFAULT_STALL_MS;

  /**
   * Records a load report; it may contain no pace.
   *
   * @returns the duration of the stall that the report shows to be over; undefined if there was
   *     none, or if the previous sample is too old to tell when it ended.
   */
  onLoad(load: ServerLoad, now: units.MonotonicMs): units.Millis | undefined {
    this.full = load.running >= load.slots;
    if (load.pacePercent === undefined) return undefined;
    // Between samples too far apart one stall may have ended and another begun.
    if (this.ageMs(now) > SAMPLE_MAX_AGE_MS) this.stalledSinceMs = undefined;
    this.percent = load.pacePercent;
    this.sampledMs = now;
    if (this.percent > STALLED_PERCENT) {
      this.stalledSinceMs ??= now;
      return undefined;
    }
    const sinceMs = this.stalledSinceMs;
    this.stalledSinceMs = undefined;
    if (sinceMs === undefined) return undefined;
    const stallMs = now - sinceMs;
    this.learnStall(stallMs);
    return stallMs;
  }

  /**
   * Returns how long a run is expected to wait for the end of a stall, 0 if it had better start.
   *
   * A run keeps the pace of its start. Started in a stall, a long one takes longer than the rest
   * of the stall and the run at normal pace together, and uses its slot all that time. A server
   * that is slow for much longer than its stalls gets requests as it is.
   *
   * @param runMs duration of the run at normal pace.
   */
  expectedHoldMs(runMs: units.Millis, now: units.MonotonicMs): units.Millis {
    if (!this.isStalled(now) || this.isLasting(now)) return 0;
    const extraMs = runMs * (this.percent / NORMAL_PERCENT - 1);
    return extraMs > this.meanStallMs ? this.meanStallMs : 0;
  }

  /** Updates the mean duration; a server that was slow for long counts as one long stall. */
  private learnStall(stallMs: units.Millis): void {
    const sampleMs = Math.min(stallMs, LASTING_STALLS * this.meanStallMs);
    this.meanStallMs += STALL_WEIGHT * (sampleMs - this.meanStallMs);
  }

  private isLasting(now: units.MonotonicMs): boolean {
    const ageMs = now - (this.stalledSinceMs ?? now);
    return ageMs > LASTING_STALLS * this.meanStallMs;
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

  /** Whether the server has reported its pace. */
  get isReported(): boolean {
    return this.sampledMs > -Infinity;
  }

  /** Time of the latest sample, minus infinity if there is none. */
  get sampledAtMs(): units.MonotonicMs {
    return this.sampledMs;
  }

  /** Returns the age of the latest sample, infinity if there is none. */
  ageMs(now: units.MonotonicMs): units.Millis {
    return now - this.sampledMs;
  }
}
