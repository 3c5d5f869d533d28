/** Follows the log with one read at a time, using long polls at the tail and backoff on errors. */
import * as randomSource from '../random_source.js';
import * as units from '../units.js';
import * as controlContract from './control_contract.js';

/** Maximum number of records per read. */
export const READ_LIMIT = 500;

/** Minimum time between the starts of two reads at the tail; grows with the member count. */
const READ_SPACING_MIN_MS: units.Millis = 100;
const READ_SPACING_PER_MEMBER_MS = 1;
const READ_SPACING_MAX_MS: units.Millis = 450;

/** Minimum delay after the first failed read, and maximum delay after repeated failures. */
const RETRY_MIN_MS: units.Millis = 200;
const RETRY_MAX_MS: units.Millis = 3_000;

/** Schedules log reads and tracks the one in progress. */
export class LogFollower {
  private sentMs: units.MonotonicMs | undefined;
  private lastSentMs = Number.NEGATIVE_INFINITY;
  private retryAtMs = Number.NEGATIVE_INFINITY;
  private failures = 0;
  private atTail = false;

  constructor(private readonly random: randomSource.RandomSource) {}

  /** Whether the last read failed. */
  get failing(): boolean {
    return this.failures > 0;
  }

  /** Whether reading has started but has not reached the tail yet. */
  get catchingUp(): boolean {
    return !this.atTail && this.lastSentMs !== Number.NEGATIVE_INFINITY;
  }

  /** Returns the read to start now, if any; `waitMs` is the long-poll timeout at the tail. */
  nextRead(
    from: number,
    waitMs: units.Millis,
    members: number,
    nowMs: units.MonotonicMs,
  ): controlContract.ControlAction | undefined {
    if (this.sentMs !== undefined || nowMs < this.retryAtMs) {
      return undefined;
    }
    if (this.atTail && nowMs - this.lastSentMs < readSpacingMs(members)) {
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
   * Records the result of a read; returns the time the read was sent if it reached the tail.
   * `ownOffset` is this node's current offset, which may be past the page if a peer's state was
   * adopted while the read was in progress.
   */
  noteRead(
    page: controlContract.LogPage,
    ownOffset: number,
  ): units.MonotonicMs | undefined {
    const sentMs = this.sentMs;
    this.sentMs = undefined;
    this.failures = 0;
    const reachedTail = page.records.length < READ_LIMIT;
    this.atTail = reachedTail || page.nextOffset < ownOffset;
    return reachedTail ? sentMs : undefined;
  }

  /** Records that adopting a peer's state moved this node's offset close to the tail. */
  notePeerStateAdopted(): void {
    this.atTail = true;
  }

  /** Records a failed read and schedules the retry. */
  noteFailed(nowMs: units.MonotonicMs): void {
    this.sentMs = undefined;
    this.failures++;
    const backoffMs = RETRY_MIN_MS * 2 ** Math.min(this.failures, 10);
    const cappedMs = Math.min(RETRY_MAX_MS, backoffMs);
    this.retryAtMs = nowMs + cappedMs / 2 + this.random.nextInt(cappedMs / 2);
  }
}

/** Limits the read load of the fleet: a larger fleet has more readers and more records. */
function readSpacingMs(members: number): units.Millis {
  const spacingMs = READ_SPACING_MIN_MS + READ_SPACING_PER_MEMBER_MS * members;
  return Math.min(READ_SPACING_MAX_MS, spacingMs);
}
