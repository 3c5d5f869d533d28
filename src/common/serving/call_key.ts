/** Keys of requests at a gate; unique in the fleet, also across restarts of an entry. */
import * as units from '../units.js';

/** Parts of a key. */
export interface CallKey {
  /** Id of the entry's process, see `processOf`. */
  readonly entryProcess: string;
  /** Number of the request at its entry; later requests have greater ones. */
  readonly call: number;
}

/** Returns the id of a process. */
export function processOf(nodeId: string, startedMs: units.EpochMs): string {
  return `${nodeId}@${startedMs}`;
}

/** Returns the key of a request. */
export function format(entryProcess: string, call: number): string {
  return `${entryProcess}/${call}`;
}

/** Returns the parts of a key. */
export function parse(key: string): CallKey {
  const end = key.lastIndexOf('/');
  return {entryProcess: key.slice(0, end), call: Number(key.slice(end + 1))};
}

/** Returns the node of a process. */
export function nodeOf(process: string): string {
  return process.slice(0, process.lastIndexOf('@'));
}

/**
 * Whether a process has ended, as a later one of its node has started. One that seems to have
 * started earlier shows nothing: its messages may have been read late, or the clock was set back.
 */
export function isSucceeded(
  process: string,
  nodeId: string,
  startedMs: units.EpochMs,
): boolean {
  if (nodeOf(process) !== nodeId) return false;
  return Number(process.slice(nodeId.length + 1)) < startedMs;
}
