/** Keys of requests at a gate; unique in the fleet, also across restarts of an entry. */

/** Parts of a key. */
export interface CallKey {
  /** Id of the entry's process, `node id@start time`. */
  readonly entryProcess: string;
  /** Number of the request at its entry; later requests have greater ones. */
  readonly call: number;
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
