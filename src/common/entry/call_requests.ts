/** Builds the messages that carry attempts to gates. */
import * as peer from '../../generated/peer.js';
import * as fleetView from '../control/fleet_view.js';
import * as units from '../units.js';
import * as call from './call.js';
import * as chainHeaders from './chain_headers.js';

/**
 * Subtracted from the deadline that a gate gets, so that its refusal, which tells whether the
 * request ran, arrives before the caller's deadline.
 */
const RESPONSE_MARGIN_MS = 5;

/** Upper limit of the margin, as a share of the time left. */
const RESPONSE_MARGIN_SHARE = 0.1;

/** Builds the message for the first transmission or a resend of an attempt. */
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

function gateDeadlineMs(timeLeftMs: units.Millis): units.Millis {
  const marginMs = Math.min(
    RESPONSE_MARGIN_MS,
    timeLeftMs * RESPONSE_MARGIN_SHARE,
  );
  return Math.max(1, Math.floor(timeLeftMs - marginMs));
}
