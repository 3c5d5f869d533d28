/** Requests that must not start at a gate. */
import * as serving from '../../generated/serving.js';
import * as units from '../units.js';
import * as gateCall from './gate_call.js';
import * as gateOptions from './gate_options.js';

/** Returns why a request must not start whatever the capacity, undefined if it may. */
export function barredReason(
  call: gateCall.GateCall,
  {suspects, rollouts}: Pick<gateOptions.GateOptions, 'suspects' | 'rollouts'>,
  now: units.MonotonicMs,
): serving.Reason | undefined {
  if (call.deadlineMs <= now) return serving.Reason.NO_TIME;
  if (rollouts?.mayStart(now) === false) return serving.Reason.CLOSED;
  const isBarred = suspects.isQuarantined(call.dispatch.fingerprint, now);
  return isBarred ? serving.Reason.QUARANTINED : undefined;
}
