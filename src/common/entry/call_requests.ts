/** Messages that carry an attempt to a gate. */
import * as peer from '../../generated/peer.js';
import * as fleetView from '../control/fleet_view.js';
import * as units from '../units.js';
import * as call from './call.js';
import * as chainHeaders from './chain_headers.js';

/**
 * Kept back from the deadline given to a gate, so that its refusal, which knows whether the
 * request ran, arrives before the caller's deadline.
 */
const RETURN_ALLOWANCE_MS = 5;
const RETURN_ALLOWANCE_SHARE = 0.1;

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
    headers: chainHeaders.withRetriesLeft(req.headers, c.retriesLeft),
    body: req.body,
    deadlineMs: gateDeadlineMs(c.deadlineAtMs - nowMs),
    attempt: attempt.number,
    resend: attempt.resends > 0,
    gateIncarnation: attempt.gateIncarnation,
    configurationRevision: view.configuration?.revision ?? 0,
    rosterOffset: view.rosterOffset,
    depth: req.depth,
    fingerprint: req.fingerprint,
    deaths: c.deaths > 0 ? c.deaths : undefined,
  };
}

function gateDeadlineMs(leftMs: units.Millis): units.Millis {
  const allowanceMs = Math.min(
    RETURN_ALLOWANCE_MS,
    leftMs * RETURN_ALLOWANCE_SHARE,
  );
  return Math.max(1, Math.floor(leftMs - allowanceMs));
}
