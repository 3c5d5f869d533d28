/** Messages that carry an attempt to a gate. */
import * as peer from '../../generated/peer.js';
import * as fleetView from '../control/fleet_view.js';
import * as units from '../units.js';
import * as call from './call.js';

/** Builds the message of an attempt, sent for the first time or again. */
export function callRequest(
  c: call.Call,
  attempt: call.Attempt,
  view: fleetView.FleetView,
  nowMs: units.MonotonicMs,
): peer.CallRequest {
  const req = c.request;
  return {
    callId: attempt.callId,
    service: req.service,
    className: req.requestClass.name,
    method: req.method,
    path: req.path,
    headers: req.headers,
    body: req.body,
    deadlineMs: Math.max(1, Math.floor(c.deadlineAtMs - nowMs)),
    idempotencyKey: req.idempotencyKey,
    attempt: attempt.number,
    resend: attempt.resends > 0,
    gateIncarnation: attempt.gateIncarnation,
    configurationRevision: view.configuration?.revision ?? 0,
    rosterOffset: view.rosterOffset,
    depth: req.depth,
    delegated: false,
    fingerprint: req.fingerprint,
  };
}
