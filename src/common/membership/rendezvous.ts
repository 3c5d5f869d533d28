/** Rendezvous hashing: all nodes rank the same members in the same order for a key. */
import * as hash from './hash.js';

/** Returns the weight of a member for a key; the highest weight ranks first. */
function weight(keyHash: number, nodeId: string): number {
  return hash.combine(keyHash, hash.hashText(nodeId));
}

/** Returns the node ids in descending order of their weight for a key. */
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
