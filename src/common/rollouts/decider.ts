/** Which node decides on roll-outs. */

/** What a node knows of the nodes that may decide. */
export interface Candidates {
  /** Ids of the nodes that it reaches. */
  readonly peers: readonly string[];
  /** Those of them that read the store. */
  readonly readers: readonly string[];
  /** Whether the node itself reads the store. */
  readonly readsStore: boolean;
}

/**
 * Whether a node decides: the first by id of those that read the store, or of all that it reaches
 * if none does.
 */
export function isDecider(
  nodeId: string,
  {peers, readers, readsStore}: Candidates,
): boolean {
  if (!readsStore && readers.length > 0) return false;
  const rivals = readsStore ? readers : peers;
  return rivals.every(rival => nodeId < rival);
}
