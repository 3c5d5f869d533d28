/** Times at which requests at a gate end without a result. */
import * as invariants from '../invariants.js';
import * as units from '../units.js';
import * as gateCall from './gate_call.js';
import * as gateCapacity from './gate_capacity.js';

/** Time past the deadline after which a run is aborted; the server itself stops at the deadline. */
const RUN_GRACE_MS: units.Millis = 300;

/** Returns the time at which a request is refused or aborted if nothing happens before. */
export function dueMs(
  call: gateCall.GateCall,
  capacity: gateCapacity.GateCapacity,
): units.MonotonicMs {
  switch (call.stage.kind) {
    case 'waiting':
      return Math.min(call.linkExpiryMs, capacity.latestStartMs(call));
    case 'running':
      return Math.min(call.linkExpiryMs, call.latestDeadlineMs + RUN_GRACE_MS);
    case 'broken':
      return call.stage.untilMs;
    default:
      return invariants.assertNever(call.stage);
  }
}
