/** Reasons for which a gate accepts no new requests. */
import * as serving from '../../generated/serving.js';
import * as gateOptions from './gate_options.js';
import * as serverAvailability from './server_availability.js';

/** Returns why a gate accepts no new requests, or `OPEN`. */
export function closureOf(
  {
    intent,
    dataCentre,
    rollouts,
  }: Pick<gateOptions.GateOptions, 'intent' | 'dataCentre' | 'rollouts'>,
  server: serverAvailability.ServerAvailability,
  stopping: boolean,
): serving.Closure {
  if (stopping) return serving.Closure.NODE_STOPPING;
  if (!intent.isKnown) return serving.Closure.UNCONFIGURED;
  if (intent.dataCentresOut.has(dataCentre)) {
    return serving.Closure.DATA_CENTRE_OUT;
  }
  if (server.tracker.state === 'leaving') {
    return serving.Closure.SERVER_LEAVING;
  }
  if (!server.isPresent) return serving.Closure.SERVER_ABSENT;
  if (rollouts?.isGateClosed === true) return serving.Closure.VERSION_CLOSED;
  return serving.Closure.OPEN;
}
