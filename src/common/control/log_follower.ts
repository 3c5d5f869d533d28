/** Reads of the log by this node: one at a time, with long polls and backoff. */
import * as randomSource from '../random_source.js';
import * as units from '../units.js';
import * as control from './control_contract.js';

/** Most records asked for in one read. */
export const READ_LIMIT = 500;

/** Shortest time between the starts of two reads at the tail. */
const READ_SPACING_MS: units.Millis = 100;

/** First and longest wait after a failed read. */
const RETRY_MIN_MS: units.Millis = 200;
const RETRY_MAX_MS: units.Millis = 3_000;

/** Keeps track of the read in progress. */
export class LogFollower {
  private sentMs: units.MonotonicMs | undefined;
  private lastSentMs = Number.NEGATIVE_INFINITY;
  private notBeforeMs = Number.NEGATIVE_INFINITY;
  private failures = 0;
  private atTail = false;

  constructor(private readonly random: randomSource.RandomSource) {}

  /** Whether the last read failed. */
  get failing(): boolean {
    return this.failures > 0;
  }

  /** Whether reads have begun and not reached the tail yet. */
  get catchingUp(): boolean {
    return !this.atTail && this.lastSentMs !== Number.NEGATIVE_INFINITY;
  }

  /** Returns the read to start now, if any; `waitMs` is how long the log may hold it. */
  step(
    from: number,
    waitMs: units.Millis,
    nowMs: units.MonotonicMs,
  ): control.ControlAction | undefined {
    if (this.sentMs !== undefined || nowMs < this.notBeforeMs) {
      return undefined;
    }
    if (this.atTail && nowMs - this.lastSentMs < READ_SPACING_MS) {
      return undefined;
    }
    this.sentMs = nowMs;
    this.lastSentMs = nowMs;
    return {
      kind: 'read-log',
      from,
      limit: READ_LIMIT,
      waitMs: this.atTail ? waitMs : 0,
    };
  }

  /** Notes an answer; returns when the read was sent if it reached the tail. */
  noteRead(page: control.LogPage): units.MonotonicMs | undefined {
    const sentMs = this.sentMs;
    this.sentMs = undefined;
    this.failures = 0;
    this.atTail = page.records.length < READ_LIMIT;
    return this.atTail ? sentMs : undefined;
  }

  /** Notes that the read failed. */
  noteFailed(nowMs: units.MonotonicMs): void {
    this.sentMs = undefined;
    this.failures++;
    const longest = RETRY_MIN_MS * 2 ** Math.min(this.failures, 10);
    const bound = Math.min(RETRY_MAX_MS, longest);
    this.notBeforeMs = nowMs + bound / 2 + this.random.nextInt(bound / 2);
  }
}
