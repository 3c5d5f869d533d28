/** Waits on connections that together bound the time until new intent is in force on a node. */
import * as units from '../../common/units.js';

/** Bounds that the users state on how soon the operators' intent is in force. */
export interface IntentBounds {
  /** Time after a disruption of its connections until a node must keep the other bounds. */
  readonly contactMs: units.Millis;
  /** Time from the acknowledgement of a configuration until it is in force. */
  readonly configurationMs: units.Millis;
  /** Time from the acknowledgement of an evacuation until it is in force. */
  readonly evacuationMs: units.Millis;
}

/** Time for which the answer of a waiting read may be late until the store is asked again. */
export const LATE_READ_MS: units.Millis = 300;

/** Time for the answer of the store to a read that does not wait, its connection included. */
export const READ_MS: units.Millis = 100;

/** Time in which a new record spreads from the node that has read it to all others. */
export const SPREAD_MS: units.Millis = 400;

/**
 * Time from a ping that is due until a silent link is replaced: the timers of idle and of other
 * links run late, the ping times out, and a new connection is opened.
 */
export const LINK_REPLACEMENT_MS: units.Millis = 750;

/** Pulse intervals without a frame until a node pings. */
export const PING_AFTER_INTERVALS = 1.5;

/** Longest wait of a read; shorter ones make more calls. */
const MAX_READ_WAIT_MS: units.Millis = 2_500;

/** Shortest wait of a read, whatever the bounds are. */
const MIN_READ_WAIT_MS: units.Millis = 250;

/** Shortest time without a frame until an idle link is pinged, whatever the bounds are. */
const MIN_PING_AFTER_MS: units.Millis = 250;

/**
 * Returns the time from the moment at which connections go silent until new intent must be in
 * force. The time for intent that is acknowledged later ends later.
 */
export function noticeMs(bounds: IntentBounds): units.Millis {
  const {contactMs, configurationMs, evacuationMs} = bounds;
  return Math.max(contactMs, Math.min(configurationMs, evacuationMs));
}

/**
 * Returns the longest wait of a read for the next record. Its connection may go silent just after
 * the read was sent: the wait, the lateness, a second read and the spread come one after another.
 */
export function readWaitMs(bounds: IntentBounds): units.Millis {
  const ms = noticeMs(bounds) - LATE_READ_MS - READ_MS - SPREAD_MS;
  return Math.min(MAX_READ_WAIT_MS, Math.max(MIN_READ_WAIT_MS, ms));
}

/**
 * Returns the longest time between the starts of two reads while the store does not answer. The
 * store may be back just after a read was sent that it never answers.
 */
export function retryPeriodMs(bounds: IntentBounds): units.Millis {
  return noticeMs(bounds) - READ_MS - SPREAD_MS;
}

/**
 * Returns the longest time without a frame from a node that reads the store until it is pinged. The
 * link must be replaced when that node learns of new intent, as connections to the store may have
 * gone silent together with the link.
 */
export function linkPingAfterMs(bounds: IntentBounds): units.Millis {
  const ms = noticeMs(bounds) - SPREAD_MS - LINK_REPLACEMENT_MS;
  return Math.max(MIN_PING_AFTER_MS, ms);
}

/** Returns the longest pulse interval of a node that reads the store, to nodes that do not. */
export function readerPulseMs(bounds: IntentBounds): units.Millis {
  return linkPingAfterMs(bounds) / PING_AFTER_INTERVALS;
}
