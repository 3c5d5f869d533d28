/** A timer that runs at the earliest of the times asked for. */
import * as units from '../../common/units.js';

/** Dependencies of `WakeTimer`. */
export interface WakeTimerOptions {
  nowMs(): units.MonotonicMs;
  onWake(): void;
}

/** Wakes its owner once for all times scheduled since the last wake. */
export class WakeTimer implements Disposable {
  private timer: NodeJS.Timeout | undefined;
  private dueMs = Infinity;

  constructor(private readonly options: WakeTimerOptions) {}

  /** Wakes at `dueMs` at the latest; an earlier time scheduled before stays. */
  schedule(dueMs: units.MonotonicMs): void {
    if (dueMs >= this.dueMs) return;
    clearTimeout(this.timer);
    this.dueMs = dueMs;
    const waitMs = Math.max(1, Math.ceil(dueMs - this.options.nowMs()));
    this.timer = setTimeout(() => {
      this.dueMs = Infinity;
      this.options.onWake();
    }, waitMs);
  }

  /** Ends the timer for good. */
  [Symbol.dispose](): void {
    clearTimeout(this.timer);
    this.dueMs = -Infinity;
  }
}
