/** Rate limit for a backend server in cold start. */
import * as units from '../units.js';

/** Length of the sliding window. */
export const WINDOW_MS: units.Millis = 1_000;

/** Sliding-window rate limiter. Counts while warm too, as a cold start may begin unannounced. */
export class ColdStartLimiter {
  private readonly startedMs: units.MonotonicMs[] = [];
  private historyUnknownUntilMs: units.MonotonicMs;

  /**
   * @param nowMs start of the process. Requests that a previous process sent are unknown, so that
   *     a cold server gets none during the first window.
   */
  constructor(nowMs: units.MonotonicMs) {
    this.historyUnknownUntilMs = nowMs + WINDOW_MS;
  }

  /** Lifts the initial wait: the server started after this process, so all requests are known. */
  onServerStart(): void {
    this.historyUnknownUntilMs = -Infinity;
  }

  /** Records a request sent. */
  onStart(now: units.MonotonicMs): void {
    this.startedMs.push(now);
    this.discardOld(now);
  }

  /** Whether one more request stays within `perSecond`. */
  mayStart(perSecond: number, now: units.MonotonicMs): boolean {
    return this.nextStartMs(perSecond, now) <= now;
  }

  /** Returns the time from which one more request stays within `perSecond`. */
  nextStartMs(perSecond: number, now: units.MonotonicMs): units.MonotonicMs {
    this.discardOld(now);
    const maxStarts = Math.max(1, Math.floor(perSecond));
    const excess = this.startedMs.length - maxStarts;
    const freedMs = excess < 0 ? now : this.startedMs[excess] + WINDOW_MS;
    return Math.max(freedMs, this.historyUnknownUntilMs);
  }

  private discardOld(now: units.MonotonicMs): void {
    let oldCount = 0;
    while (
      oldCount < this.startedMs.length &&
      this.startedMs[oldCount] <= now - WINDOW_MS
    ) {
      oldCount++;
    }
    if (oldCount > 0) this.startedMs.splice(0, oldCount);
  }
}
