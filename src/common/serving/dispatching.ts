/** Messages by which an entry sends requests to gates. */
import * as serving from '../../generated/serving.js';
import * as units from '../units.js';
import * as decision from './decision.js';
import * as entryCall from './entry_call.js';
import * as placement from './placement.js';

/** Limit of the age of a load in the log; older ones tell no more. */
const MAX_LOGGED_AGE_MS: units.Millis = 1_000_000;

/**
 * Whether the chosen gate may redirect a request: to a gate with a free slot, or back to one that
 * has redirected it.
 *
 * @param ranked the gates in order of their costs, of which the first is chosen.
 */
export function isRedirectable(
  ranked: readonly placement.RankedGate[],
  redirects: number,
): boolean {
  return redirects > 0 || ranked.slice(1).some(placement.hasFreeSlot);
}

/** Returns why a gate was chosen, for the log. */
export function factsOf({
  gate,
  costMs,
  estimate,
}: placement.RankedGate): decision.Facts {
  const {load, ageMs, outstanding} = estimate;
  return {
    nodeId: gate.nodeId,
    costMs: Math.round(costMs),
    outstanding,
    limit: load.limit,
    pacePercent: load.pacePercent,
    loadAgeMs: Math.round(Math.min(ageMs, MAX_LOGGED_AGE_MS)),
  };
}

/** An attempt at a request. */
export interface Attempt {
  readonly number: number;
  /** Whether the gate may refuse the request in favour of other gates. */
  readonly redirectable: boolean;
  /** Time by which the run must begin, infinity without a limit. */
  readonly startByMs: units.MonotonicMs;
}

/** Returns the message to the gate for an attempt. */
export function dispatchOf(
  call: entryCall.EntryCall,
  {number, redirectable, startByMs}: Attempt,
  now: units.MonotonicMs,
): serving.Dispatch {
  const {request, route, service} = call;
  const objectiveAtMs = call.arrivedMs + route.objectiveMs;
  return {
    call: number,
    service,
    route: route.name,
    requestId: request.requestId,
    method: request.method,
    target: request.target,
    headers: request.headers,
    body: request.body,
    timeLeftMs: Math.max(1, Math.floor(call.endMs - now)),
    objectiveLeftMs: Math.max(0, Math.floor(objectiveAtMs - now)),
    rank: request.workspace?.rank ?? route.rank,
    workspace: request.workspace?.name ?? '',
    repeatable: route.repeatable,
    redirectable,
    fingerprint: request.fingerprint,
    notice: undefined,
    startLeftMs:
      startByMs === Infinity
        ? undefined
        : Math.max(0, Math.floor(startByMs - now)),
  };
}
