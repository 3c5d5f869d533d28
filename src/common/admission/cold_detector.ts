/** Detects that a warm backend server has become cold without announcing it. */
import * as units from '../units.js';

/** Multiple of the baseline service time above which an answer is slow, or a run overdue. */
export const SLOW_RATIO = 4;

/** Time for which all answers must have been slow; bursts of a noisy neighbour are shorter. */
const PERIOD_MS = 150;

/** Slow answers and overdue runs, taken together, required to detect a cold server. */
const MIN_RUNS = 5;

/** Slow answers required among them: runs can also be overdue because of a dead connection. */
const MIN_ANSWERS = 2;

/** Tracks the current period in which all answers are slow, if any. */
export class ColdDetector {
  private slowAnswers = 0;
  private sinceMs: units.MonotonicMs = Infinity;

  /** Records an answer whose service time was `ratio` times the baseline. */
  onAnswer(ratio: number, startedMs: units.MonotonicMs): void {
    if (ratio <= SLOW_RATIO) return this.reset();
    this.slowAnswers++;
    this.sinceMs = Math.min(this.sinceMs, startedMs);
  }

  /** Whether answers have been slow for long enough that overdue runs need to be counted. */
  isSlowPeriod(now: units.MonotonicMs): boolean {
    return this.slowAnswers >= MIN_ANSWERS && now - this.sinceMs >= PERIOD_MS;
  }

  /** Whether the slow answers and `overdueRuns` together show that the server is cold. */
  isCold(overdueRuns: number): boolean {
    return this.slowAnswers + overdueRuns >= MIN_RUNS;
  }

  /** Ends the slow period. */
  reset(): void {
    this.slowAnswers = 0;
    this.sinceMs = Infinity;
  }
}
