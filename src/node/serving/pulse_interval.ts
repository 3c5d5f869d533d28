/** How often gates tell entries their load unasked. */
import * as units from '../../common/units.js';

/** Shortest interval for an entry that sends no requests. */
const MIN_IDLE_MS: units.Millis = 4_000;

/** Longest interval; sessions without a frame are ended after 60 s. */
const MAX_IDLE_MS: units.Millis = 30_000;

/** Added for each node: up to 375 nodes, each sends and takes twelve idle pulses a second. */
const IDLE_MS_PER_NODE: units.Millis = 80;

/** Silence after which an entry asks, as a multiple of the interval. */
const SILENCE_INTERVALS = 1.5;

/** Returns the interval at which an entry that sends no requests is told the load. */
export function idlePulseMs(nodes: number): units.Millis {
  const ms = Math.max(MIN_IDLE_MS, nodes * IDLE_MS_PER_NODE);
  return Math.min(MAX_IDLE_MS, ms);
}

/** Returns the silence after which an entry without requests asks a gate for a sign of life. */
export function idleSilenceMs(nodes: number): units.Millis {
  return SILENCE_INTERVALS * idlePulseMs(nodes);
}
