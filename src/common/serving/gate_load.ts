/** Load that a gate reports to entries. */
import * as serving from '../../generated/serving.js';
import * as units from '../units.js';
import * as gateCapacity from './gate_capacity.js';
import * as serverAvailability from './server_availability.js';

const PERCENT = 100;

/** Returns the load of a gate. */
export function loadOf(
  capacity: gateCapacity.GateCapacity,
  {tracker}: serverAvailability.ServerAvailability,
  closure: serving.Closure,
  now: units.MonotonicMs,
): serving.Load {
  const {running, queue, pace, times} = capacity;
  return {
    running,
    waiting: queue.size,
    limit: capacity.sustainedLimit(now),
    pacePercent: Math.round(pace.percentAt(now)),
    meanMs: Math.round(times.meanMs),
    failingPercent: Math.round(PERCENT * times.failureShare(now)),
    cold: tracker.isCold(now),
    closure,
    startWaitMs: Math.ceil(capacity.startWaitMs(now)),
    notice: tracker.notice(),
  };
}
