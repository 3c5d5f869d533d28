/** Limits the requests that a backend server in cold start is sent. */
import * as units from '../units.js';

/** Span over which requests are counted. */
const WINDOW_MS: units.Millis = 1_000;

/** Counts starts in the last second, also while warm, as a cold start may begin unannounced. */
export class ColdRate {
  private readonly startedMs: units.MonotonicMs[] = [];
  private unknownUntilMs: units.MonotonicMs;

  /**
   * @param nowMs start of the process: what was sent in the second before is not known, so that
   *     nothing is sent to a cold server until it is over.
   */
  constructor(nowMs: units.MonotonicMs) {
    this.unknownUntilMs = nowMs + WINDOW_MS;
  }

  /** The server began after this process: nothing unknown was sent to it. */
  onFreshServer(): void {
    this.unknownUntilMs = -Infinity;
  }

  /** Notes a request sent. */
  onStart(now: units.MonotonicMs): void {
    this.startedMs.push(now);
    this.forget(now);
  }

  /** Whether one more request keeps within `perSecond`. */
  hasRoom(perSecond: number, now: units.MonotonicMs): boolean {
    return this.nextRoomMs(perSecond, now) <= now;
  }

  /** Returns the time from which one more request keeps within `perSecond`. */
  nextRoomMs(perSecond: number, now: units.MonotonicMs): units.MonotonicMs {
    this.forget(now);
    const bound = Math.max(1, Math.floor(perSecond));
    const excess = this.startedMs.length - bound;
    const freedMs = excess < 0 ? now : this.startedMs[excess] + WINDOW_MS;
    return Math.max(freedMs, this.unknownUntilMs);
  }

  private forget(now: units.MonotonicMs): void {
    let old = 0;
    while (
      old < this.startedMs.length &&
      this.startedMs[old] <= now - WINDOW_MS
    ) {
      old++;
    }
    if (old > 0) this.startedMs.splice(0, old);
  }
}
