/** Budget and timing of second runs of idempotent calls whose first run has no response. */
import * as units from '../units.js';
import * as callRecord from './call_record.js';

/** Second runs allowed per first run. */
const SECOND_RUN_RATIO = 0.1;

/** Maximum number of unused second runs that accumulate. */
const MAX_SECOND_RUN_TOKENS = 20;

/**
 * Multiple of the recent service time after which a second run is due, unless the progress timeout
 * is longer.
 */
const SERVICE_TIME_MULTIPLE = 4;

/** Maximum number of runs of a call, including the first. */
const MAX_RUNS_PER_CALL = 2;

/** Token bucket of second runs, filled by first runs. */
export class SecondRuns {
  private tokens = MAX_SECOND_RUN_TOKENS;

  /** Adds the share of one first run to the budget. */
  onFirstRun(): void {
    this.tokens = Math.min(
      MAX_SECOND_RUN_TOKENS,
      this.tokens + SECOND_RUN_RATIO,
    );
  }

  /** Takes one second run from the budget; returns false if the budget is used up. */
  tryTake(): boolean {
    if (this.tokens < 1) return false;
    this.tokens--;
    return true;
  }

  /** Time at which a second run of the call is due, undefined if it gets none. */
  dueMs(
    rec: callRecord.CallRecord,
    progressTimeoutMs: units.Millis,
    recentServiceMs: units.Millis,
  ): units.MonotonicMs | undefined {
    const [onlyRun] = rec.runs;
    if (!onlyRun || !rec.idempotent || rec.runsStarted >= MAX_RUNS_PER_CALL) {
      return undefined;
    }
    const delayMs = Math.max(
      progressTimeoutMs,
      recentServiceMs * SERVICE_TIME_MULTIPLE,
    );
    return onlyRun.startedMs + delayMs;
  }
}
