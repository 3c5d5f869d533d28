/** Messages by which an entry sends requests to gates. */
import * as serving from '../../generated/serving.js';
import * as units from '../units.js';
import * as entryCall from './entry_call.js';
import * as placement from './placement.js';

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

/** Returns the message to the gate for an attempt. */
export function dispatchOf(
  call: entryCall.EntryCall,
  number: number,
  redirectable: boolean,
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
  };
}
