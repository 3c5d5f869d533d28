/** When a request gets a second attempt beside an unanswered one, and where. */
import * as units from '../units.js';
import * as entryCall from './entry_call.js';
import * as placement from './placement.js';

/** Share of the latency objective after which an unanswered request is hedged. */
const OBJECTIVE_SHARE = 0.6;

/** Multiple of the gate's mean run time that must have passed before a hedge as well. */
const MEAN_RUNS = 2.5;

/** Utilisation of the other gate above which no hedge is sent. */
const MAX_UTILISATION = 0.6;

/** Retries that a hedge must leave in the budget for failed requests. */
export const RETRY_RESERVE = 1;

/** Returns the time at which a request that is sent now is hedged. */
export function hedgeAtMs(
  {arrivedMs, route}: entryCall.EntryCall,
  meanRunMs: units.Millis,
  now: units.MonotonicMs,
): units.MonotonicMs {
  return Math.max(
    now + MEAN_RUNS * meanRunMs,
    arrivedMs + OBJECTIVE_SHARE * route.objectiveMs,
  );
}

/** Whether a gate has room for a hedge. */
export function hasRoom(ranked: placement.RankedGate): boolean {
  const {load, outstanding} = ranked.estimate;
  const isBusy = outstanding + 1 > MAX_UTILISATION * load.limit;
  return placement.hasFreeSlot(ranked) && !isBusy;
}
