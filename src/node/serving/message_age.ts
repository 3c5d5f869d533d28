/** How long messages may have waited unread, and pauses of the process. */
import * as units from '../../common/units.js';
import * as clock from '../clock.js';
import * as loopMeter from './loop_meter.js';
import * as pauseMeter from './pause_meter.js';

/** Dependencies of `MessageAge`. */
export type MessageAgeOptions = Pick<
  pauseMeter.PauseMeterOptions,
  'intervalMs' | 'onResumed'
>;

/** Combines pauses of the process with turns of the event loop that take long. */
export class MessageAge {
  private readonly pauses: pauseMeter.PauseMeter;
  private readonly loop: loopMeter.LoopMeter;

  constructor(options: MessageAgeOptions) {
    const afterPoll = (callback: () => void): void =>
      void setImmediate(callback);
    const now = clock.monotonicMs();
    this.pauses = new pauseMeter.PauseMeter({...options, afterPoll}, now);
    this.loop = new loopMeter.LoopMeter({afterPoll, nowMs: clock.monotonicMs});
  }

  /** Whether messages that arrived during the last pause may not have been read yet. */
  get hasUnread(): boolean {
    return this.pauses.hasUnread;
  }

  /** Records that the event loop runs. */
  observe(now: units.MonotonicMs): void {
    this.pauses.observe(now);
    this.loop.observe();
  }

  /** Returns the longest time for which a message that is read now may have waited. */
  waitedMs(): units.Millis {
    const pausedMs = this.pauses.waitedMs(clock.monotonicMs());
    return Math.max(pausedMs, this.loop.waitedMs());
  }
}
