/** Reads of the log by this node: one at a time, with long polls and backoff. */
import * as randomSource from '../random_source.js';
import * as units from '../units.js';
import * as control from './control_contract.js';

/** Most records asked for in one read. */
export const READ_LIMIT = 500;

/** Shortest time between the starts of two reads at the tail, by the number of members. */
const READ_SPACING_MIN_MS: units.Millis = 100;
const READ_SPACING_PER_MEMBER_MS = 1;
const READ_SPACING_MAX_MS: units.Millis = 450;

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
    members: number,
    nowMs: units.MonotonicMs,
  ): control.ControlAction | undefined {
    if (this.sentMs !== undefined || nowMs < this.notBeforeMs) {
      return undefined;
    }
    if (this.atTail && nowMs - this.lastSentMs < readSpacing(members)) {
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

  /**
   * Notes an answer; returns when the read was sent if it reached the tail. `ownOffset` is where
   * this node stands, which a peer's state may have taken ahead of the answer.
   */
  noteRead(
    page: control.LogPage,
    ownOffset: number,
  ): units.MonotonicMs | undefined {
    const sentMs = this.sentMs;
    this.sentMs = undefined;
    this.failures = 0;
    const reachedTail = page.records.length < READ_LIMIT;
    this.atTail = reachedTail || page.nextOffset < ownOffset;
    return reachedTail ? sentMs : undefined;
  }

  /** Notes that a peer's state took this node ahead, close to the tail. */
  noteAdopted(): void {
    this.atTail = true;
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

/** Bounds the reads of the fleet, which has more readers and more records the larger it is. */
function readSpacing(members: number): units.Millis {
  const spacingMs = READ_SPACING_MIN_MS + READ_SPACING_PER_MEMBER_MS * members;
  return Math.min(READ_SPACING_MAX_MS, spacingMs);
}
