/** Second runs of idempotent calls whose first run is silent, under a budget. */
import * as units from '../units.js';
import * as record from './call_record.js';

/** Second runs allowed as a share of first runs. */
const SECOND_RUN_RATIO = 0.1;

/** Second runs that may be saved up. */
const SECOND_RUN_SAVING = 20;

/** A run is silent after so many times the recent service time, if the timeout is shorter. */
const SILENT_SERVICE_TIMES = 4;

/** Runs of one call, the first included. */
const RUNS_BOUND = 2;

/** Decides which calls get a second run. */
export class SecondRuns {
  private saved = SECOND_RUN_SAVING;

  /** Takes note of a first run, which adds to the budget. */
  onFirstRun(): void {
    this.saved = Math.min(SECOND_RUN_SAVING, this.saved + SECOND_RUN_RATIO);
  }

  /** Takes one second run from the budget, or returns false if it is used up. */
  tryTake(): boolean {
    if (this.saved < 1) return false;
    this.saved--;
    return true;
  }

  /** Time at which the call's only run counts as silent, undefined if it gets no second one. */
  dueMs(
    rec: record.CallRecord,
    progressTimeoutMs: units.Millis,
    recentMs: units.Millis,
  ): units.MonotonicMs | undefined {
    const [only] = rec.runs;
    if (!only || !rec.idempotent || rec.runsStarted >= RUNS_BOUND) {
      return undefined;
    }
    const silentMs = Math.max(
      progressTimeoutMs,
      recentMs * SILENT_SERVICE_TIMES,
    );
    return only.startedMs + silentMs;
  }
}
