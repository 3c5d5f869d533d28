/** Measures how long messages may have waited while the event loop handled others. */
import * as units from '../../common/units.js';

/** Shortest wait that is reported; a request may reach its server half a second late. */
const MIN_WAIT_MS: units.Millis = 500;

/** Longest time between two turns of an event loop that does not wait for messages. */
const MAX_GAP_MS: units.Millis = 50;

/** Dependencies of `LoopMeter`. */
export interface LoopMeterOptions {
  nowMs(): units.MonotonicMs;
  /** Calls back once after the event loop has polled all sockets. */
  afterPoll(callback: () => void): void;
}

/**
 * Follows the turns of the event loop. A turn handles all messages that had arrived at its start,
 * so one that is read now arrived during this turn or the last one. No single callback needs to be
 * long for that: hundreds of short ones in a turn make the last message wait for seconds.
 */
export class LoopMeter {
  private turnStartMs: units.MonotonicMs | undefined;
  private lastTurnMs: units.Millis = 0;
  private lastEndMs: units.MonotonicMs = -Infinity;

  constructor(private readonly options: LoopMeterOptions) {}

  /** Records that the event loop handles something. */
  observe(): void {
    if (this.turnStartMs !== undefined) return;
    const now = this.options.nowMs();
    // Messages that come while the loop waits are read at once.
    if (now - this.lastEndMs > MAX_GAP_MS) this.lastTurnMs = 0;
    this.turnStartMs = now;
    this.options.afterPoll(() => this.endTurn(now));
  }

  /** Returns the longest time for which a message that is read now may have waited. */
  waitedMs(): units.Millis {
    this.observe();
    const now = this.options.nowMs();
    const thisTurnMs = now - (this.turnStartMs ?? now);
    const waitedMs = this.lastTurnMs + thisTurnMs;
    return waitedMs < MIN_WAIT_MS ? 0 : waitedMs;
  }

  private endTurn(startMs: units.MonotonicMs): void {
    this.lastEndMs = this.options.nowMs();
    this.lastTurnMs = this.lastEndMs - startMs;
    this.turnStartMs = undefined;
  }
}
