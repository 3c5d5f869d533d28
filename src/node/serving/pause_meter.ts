/** Detects that the process was paused, and how long messages may have waited unread. */
import * as units from '../../common/units.js';

/** Shortest pause that is reported; a busy event loop is late by less. */
const MIN_PAUSE_MS: units.Millis = 250;

/**
 * Time after a pause, and polls of all sockets after it, in which messages that arrived during the
 * pause are still being read. On a busy machine the time alone can pass before the first poll.
 */
const CATCH_UP_MS: units.Millis = 50;
const CATCH_UP_POLLS = 2;

/** Dependencies of `PauseMeter`. */
export interface PauseMeterOptions {
  /** Longest time between two calls of `waitedMs` or `observe` in a process that runs. */
  readonly intervalMs: units.Millis;
  /** Calls back once after the event loop has polled all sockets. */
  afterPoll(callback: () => void): void;
  /** Called once after each pause, before any message is handled. */
  onResumed(pausedMs: units.Millis): void;
}

/**
 * Compares the times at which the event loop runs. Time limits in messages count from the moment at
 * which they are sent; the receiver of a message that waited unread has less time than it states.
 */
export class PauseMeter {
  private observedMs: units.MonotonicMs;
  private pausedMs: units.Millis = 0;
  private caughtUpMs: units.MonotonicMs = -Infinity;
  private pollsLeft = 0;

  constructor(
    private readonly options: PauseMeterOptions,
    now: units.MonotonicMs,
  ) {
    this.observedMs = now;
  }

  /** Records that the event loop runs. */
  observe(now: units.MonotonicMs): void {
    const {intervalMs, onResumed} = this.options;
    const pausedMs = now - this.observedMs - intervalMs;
    this.observedMs = now;
    if (pausedMs < MIN_PAUSE_MS) return;
    this.pausedMs = pausedMs;
    this.caughtUpMs = now + CATCH_UP_MS;
    if (this.pollsLeft === 0) this.countPolls();
    this.pollsLeft = CATCH_UP_POLLS;
    onResumed(pausedMs);
  }

  /** Returns the longest time for which a message that is read now may have waited. */
  waitedMs(now: units.MonotonicMs): units.Millis {
    this.observe(now);
    const isCatchingUp = this.pollsLeft > 0 || now < this.caughtUpMs;
    return isCatchingUp ? this.pausedMs : 0;
  }

  /** Whether messages that arrived during the last pause may not have been read yet. */
  get hasUnread(): boolean {
    return this.pollsLeft > 0;
  }

  private countPolls(): void {
    this.options.afterPoll(() => {
      this.pollsLeft--;
      if (this.pollsLeft > 0) this.countPolls();
    });
  }
}
