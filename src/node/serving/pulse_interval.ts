/** Interval of the pulses by which gates report their load to entries. */
import * as units from '../../common/units.js';
import * as intentWaits from './intent_waits.js';

/** Shortest interval to an entry that sends no requests. */
const MIN_IDLE_INTERVAL_MS: units.Millis = 4_000;

/** Longest interval; gates close sessions after 60 s without a frame. */
const MAX_IDLE_INTERVAL_MS: units.Millis = 30_000;

/** Per node of the fleet; up to 375 nodes, each sends and receives 12 idle pulses a second. */
const IDLE_INTERVAL_MS_PER_NODE: units.Millis = 80;

/** Interval to an entry that sends requests. */
const ACTIVE_INTERVAL_MS: units.Millis = 1_000;

/** Time after a request during which an entry counts as sending requests. */
const ACTIVE_AFTER_DISPATCH_MS: units.Millis = 3_000;

/** Returns the pulse interval to an entry that sends no requests, for a fleet of `nodes`. */
export function idlePulseIntervalMs(nodes: number): units.Millis {
  const ms = Math.max(MIN_IDLE_INTERVAL_MS, nodes * IDLE_INTERVAL_MS_PER_NODE);
  return Math.min(MAX_IDLE_INTERVAL_MS, ms);
}

/** Returns the pulse interval to an entry whose latest request came `sinceDispatchMs` ago. */
export function pulseIntervalMs(
  sinceDispatchMs: units.Millis,
  nodes: number,
): units.Millis {
  const isActive = sinceDispatchMs < ACTIVE_AFTER_DISPATCH_MS;
  return isActive ? ACTIVE_INTERVAL_MS : idlePulseIntervalMs(nodes);
}

/** Returns the time without a frame until an entry without pending requests pings a gate. */
export function idlePingAfterMs(nodes: number): units.Millis {
  return intentWaits.PING_AFTER_INTERVALS * idlePulseIntervalMs(nodes);
}
