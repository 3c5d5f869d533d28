/** Notices that this process was paused and that its view must be confirmed again. */
import * as units from '../units.js';

/** Lateness of an event after the time asked for that shows a pause. */
export const PAUSE_MS: units.Millis = 1_000;

/** Whether the view is stale after a pause. */
export class WakeUp {
  private wokeMs: units.MonotonicMs | undefined;

  /** Whether nothing has confirmed the view since the last pause. */
  get stale(): boolean {
    return this.wokeMs !== undefined;
  }

  /** Looks at the time of an event; returns whether a pause has just ended. */
  noteEvent(
    dueMs: units.MonotonicMs | undefined,
    nowMs: units.MonotonicMs,
  ): boolean {
    if (dueMs === undefined || nowMs - dueMs <= PAUSE_MS) return false;
    this.wokeMs = nowMs;
    return true;
  }

  /** Notes that the view was confirmed as of `atMs`. */
  noteConfirmed(atMs: units.MonotonicMs): void {
    if (this.wokeMs !== undefined && atMs >= this.wokeMs) {
      this.wokeMs = undefined;
    }
  }
}
