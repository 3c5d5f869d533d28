/** Detects that a warm backend server has turned cold without a signal. */
import * as units from '../units.js';

/** Usual service times after which an answer is slow, or a run overdue. */
export const SLOW_RATIO = 4;

/** Length of a spell without any answer at speed; bursts of a noisy neighbour end before it. */
const SPELL_MS = 150;

/** Slow answers and overdue runs that make a spell. */
const SPELL_RUNS = 5;

/** Slow answers among them: runs alone may be overdue because their connections are silent. */
const SPELL_ANSWERS = 2;

/** Follows the spell of slow answers that is under way, if any. */
export class ColdDetector {
  private slowAnswers = 0;
  private sinceMs: units.MonotonicMs = Infinity;

  /** Takes an answer that took `ratio` usual service times. */
  onAnswer(ratio: number, startedMs: units.MonotonicMs): void {
    if (ratio <= SLOW_RATIO) return this.reset();
    this.slowAnswers++;
    this.sinceMs = Math.min(this.sinceMs, startedMs);
  }

  /** Whether a spell of slow answers has lasted, so that overdue runs are worth counting. */
  isSpell(now: units.MonotonicMs): boolean {
    return this.slowAnswers >= SPELL_ANSWERS && now - this.sinceMs >= SPELL_MS;
  }

  /** Whether a spell, with so many runs overdue, shows that the backend server is cold. */
  isCold(overdueRuns: number): boolean {
    return this.slowAnswers + overdueRuns >= SPELL_RUNS;
  }

  /** Ends the spell. */
  reset(): void {
    this.slowAnswers = 0;
    this.sinceMs = Infinity;
  }
}
