/** Limits the requests of an entry whose process stops to those that it can still answer. */
import * as units from '../units.js';
import * as entryCall from './entry_call.js';
import * as runTimes from './run_times.js';

/** End of a process that stops. */
export interface ProcessEnd {
  readonly endsMs: units.MonotonicMs;
  /**
   * Time by which callers have noticed the stop. Later requests are taken only if they time out
   * before the end, as an estimate of their time can be wrong.
   */
  readonly noticedMs: units.MonotonicMs;
}

type StoppableCall = Pick<
  entryCall.EntryCall,
  'arrivedMs' | 'giveUpAtMs' | 'route'
>;

/**
 * Knows when the process of an entry ends. Until then callers still come who have not noticed the
 * stop, and a request that is taken too late would be broken off while its server is at work.
 */
export class StopLimit {
  private end: ProcessEnd = {endsMs: Infinity, noticedMs: Infinity};

  /** @param times times until requests were answered. */
  constructor(private readonly times: runTimes.RunTimes) {}

  /** Sets when the process ends. */
  stopAt(end: ProcessEnd): void {
    this.end = end;
  }

  /**
   * Returns when the run of a request must begin at the latest to be answered before the process
   * ends, infinity for one that times out before.
   */
  latestStartMs({
    arrivedMs,
    giveUpAtMs,
    route,
  }: StoppableCall): units.MonotonicMs {
    const {endsMs, noticedMs} = this.end;
    if (giveUpAtMs <= endsMs) return Infinity;
    if (arrivedMs > noticedMs) return -Infinity;
    return endsMs - (this.times.likelyMs(route.name) ?? Infinity);
  }
}
