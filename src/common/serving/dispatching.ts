/** Messages by which an entry sends requests to gates. */
import * as serving from '../../generated/serving.js';
import * as units from '../units.js';
import * as entryCall from './entry_call.js';
import * as placement from './placement.js';

/** Whether other gates can take a request if the chosen gate redirects it. */
export type Alternatives = Pick<
  serving.Dispatch,
  'redirectable' | 'siblingNear'
>;

/** For a gate that must take the request or end it. */
export const NO_ALTERNATIVES: Alternatives = {
  redirectable: false,
  siblingNear: false,
};

/** Returns whether a gate may redirect: to gates with a free slot, or back to earlier ones. */
export function alternativesOf(
  ranked: readonly placement.RankedGate[],
  redirects: number,
): Alternatives {
  const [first, ...others] = ranked;
  const better = others.filter(placement.hasFreeSlot);
  return {
    redirectable: better.length + redirects > 0,
    siblingNear: better.some(o => o.gate.dataCentre === first.gate.dataCentre),
  };
}

/** Returns the message to the gate for an attempt. */
export function dispatchOf(
  call: entryCall.EntryCall,
  number: number,
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
    redirectable: false,
    siblingNear: false,
    fingerprint: request.fingerprint,
    notice: undefined,
  };
}
