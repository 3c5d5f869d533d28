/** Divides the descriptors of the process among its ports. */
import * as fs from 'node:fs';

/** Descriptors that are reserved for files. */
const FILE_DESCRIPTORS = 200;

/** Fewest descriptors that are divided. */
const MIN_SOCKETS = 64;

/** Shares of what is left; the rest is for backend servers, other nodes and the store. */
const CALLERS_SHARE = 1 / 2;
const GREETINGS_SHARE = 1 / 8;
const LOCAL_SHARE = 1 / 16;

/** Most connections to a port that only local clients use. */
const MAX_LOCAL_CONNECTIONS = 128;

/** Most connections at a time, by port. */
export interface ConnectionBounds {
  readonly callers: number;
  /** Connections to the peers port before their greeting. */
  readonly greetings: number;
  /** Each of the ports for readiness, announcements and metrics. */
  readonly local: number;
}

/**
 * Returns the bounds for this process.
 *
 * @param maxDescriptors descriptors that it may use; the limit of the system applies too.
 */
export function connectionBounds(maxDescriptors = Infinity): ConnectionBounds {
  return divide(Math.min(maxDescriptors, systemLimit()));
}

/** Divides a number of descriptors. */
export function divide(descriptors: number): ConnectionBounds {
  const sockets = Math.max(MIN_SOCKETS, descriptors - FILE_DESCRIPTORS);
  const share = (part: number): number => Math.floor(sockets * part);
  return {
    callers: share(CALLERS_SHARE),
    greetings: share(GREETINGS_SHARE),
    local: Math.min(MAX_LOCAL_CONNECTIONS, share(LOCAL_SHARE)),
  };
}

/** Returns the soft limit of descriptors in the text of /proc/PID/limits; infinity without one. */
export function parseLimit(text: string): number {
  const [, soft] = /^Max open files +(\d+)/m.exec(text) ?? [];
  return soft === undefined ? Infinity : Number(soft);
}

function systemLimit(): number {
  try {
    return parseLimit(fs.readFileSync('/proc/self/limits', 'utf8'));
  } catch {
    return Infinity;
  }
}
