/** Time for which the messages of a peer are held up on their way. */
import * as units from '../units.js';

/** Time after which the shortest delay is measured anew, as clocks drift and links change. */
const WINDOW_MS: units.Millis = 15_000;

/**
 * Compares the clock of the sender, as its messages state it, with that of the receiver. The
 * offset of the clocks is unknown, so the message that was fastest lately counts as not held up.
 *
 * Meant for senders, receivers and links that are overloaded for seconds: a request that waits in
 * their buffers cannot tell how much of its time is left, and its caller may be gone.
 */
export class MessageDelay {
  private windowStartMs: units.MonotonicMs = -Infinity;
  private shortestMs = Infinity;
  private formerShortestMs = Infinity;

  /**
   * Returns the time for which a message was held up.
   *
   * @param sentMs time by the sender's monotonic clock.
   */
  onMessage(sentMs: number, now: units.MonotonicMs): units.Millis {
    if (now - this.windowStartMs >= WINDOW_MS) {
      this.windowStartMs = now;
      this.formerShortestMs = this.shortestMs;
      this.shortestMs = Infinity;
    }
    const delayMs = now - sentMs;
    this.shortestMs = Math.min(this.shortestMs, delayMs);
    return delayMs - Math.min(this.shortestMs, this.formerShortestMs);
  }
}
