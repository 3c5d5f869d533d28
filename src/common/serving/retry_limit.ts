/** What forbids a further run of a request whose earlier ones have failed or may have. */
import * as units from '../units.js';
import * as entryCall from './entry_call.js';

/** The rule that forbids a retry. */
export type RetryLimit =
  /** The request may have run and must not run twice. */
  | 'kind'
  /** It has run on as many servers as its route allows. */
  | 'attempts'
  /** A run would not end in time. */
  | 'time';

/**
 * Returns what forbids a retry, undefined if only the retry budget can.
 *
 * @param routeMeanMs mean time that a request of the route takes.
 */
export function retryLimitOf(
  call: entryCall.EntryCall,
  routeMeanMs: units.Millis,
  now: units.MonotonicMs,
): RetryLimit | undefined {
  const {route, mayHaveRun, servers, endMs} = call;
  if (mayHaveRun && !route.repeatable) return 'kind';
  if (servers >= route.attempts) return 'attempts';
  return endMs - now < routeMeanMs ? 'time' : undefined;
}
