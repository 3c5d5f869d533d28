/** Limits the requests of an entry whose process stops to those that it can still answer. */
import * as units from '../units.js';
import * as entryCall from './entry_call.js';
import * as runTimes from './run_times.js';

/**
 * Knows when the process of an entry ends. Until then callers still come who have not noticed the
 * stop, and a request that is taken too late would be broken off while its server is at work.
 */
export class StopLimit {
  /** Time at which the process ends, infinity unless it stops. */
  endsMs: units.MonotonicMs = Infinity;

  /** @param times times until requests were answered. */
  constructor(private readonly times: runTimes.RunTimes) {}

  /**
   * Returns when the run of a request must begin at the latest to be answered before the process
   * ends, infinity for one that times out before.
   */
  latestStartMs({
    giveUpAtMs,
    route,
  }: Pick<entryCall.EntryCall, 'giveUpAtMs' | 'route'>): units.MonotonicMs {
    if (giveUpAtMs <= this.endsMs) return Infinity;
    return this.endsMs - (this.times.likelyMs(route.name) ?? Infinity);
  }
}
