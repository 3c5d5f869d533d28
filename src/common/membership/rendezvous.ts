/** Rendezvous hashing: every node ranks the same members alike for the same key. */
import * as hash from './hash.js';

/** Returns the weight of a member for a key; the member of the highest weight is chosen. */
function weight(keyHash: number, nodeId: string): number {
  return hash.combine(keyHash, hash.hashText(nodeId));
}

/** Returns the node ids by falling weight for a key. */
export function rank(
  key: string,
  nodeIds: readonly string[],
): readonly string[] {
  const keyHash = hash.hashText(key);
  return nodeIds
    .map(nodeId => ({nodeId, weight: weight(keyHash, nodeId)}))
    .sort((a, b) => compare(b, a))
    .map(ranked => ranked.nodeId);
}

interface Ranked {
  readonly nodeId: string;
  readonly weight: number;
}

function compare(left: Ranked, right: Ranked): number {
  if (left.weight !== right.weight) return left.weight - right.weight;
  return left.nodeId < right.nodeId ? -1 : 1;
}
