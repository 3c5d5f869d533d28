/** Detects pauses of this process, after which its view must be confirmed again. */
import * as units from '../units.js';

/** Delay of an event past its due time that counts as a pause. */
export const PAUSE_MS: units.Millis = 1_000;

/** Whether the view is stale after a pause. */
export class PauseDetector {
  private resumedMs: units.MonotonicMs | undefined;

  /** Whether nothing has confirmed the view since the last pause. */
  get stale(): boolean {
    return this.resumedMs !== undefined;
  }

  /** Compares an event's time with its due time; returns whether a pause has just ended. */
  noteEvent(
    dueMs: units.MonotonicMs | undefined,
    nowMs: units.MonotonicMs,
  ): boolean {
    if (dueMs === undefined || nowMs - dueMs <= PAUSE_MS) return false;
    this.resumedMs = nowMs;
    return true;
  }

  /** Notes that the view was confirmed as of `atMs`. */
  noteConfirmed(atMs: units.MonotonicMs): void {
    if (this.resumedMs !== undefined && atMs >= this.resumedMs) {
      this.resumedMs = undefined;
    }
  }
}
