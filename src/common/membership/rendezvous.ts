/** Rendezvous hashing: every node ranks the same members alike for the same key. */
import * as hash from './hash.js';

/** Returns the weight of a member for a key; the member of the highest weight is chosen. */
export function weight(keyHash: number, nodeId: string): number {
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

/** Returns the first of the ranking, undefined if there are no members. */
export function first(
  key: string,
  nodeIds: readonly string[],
): string | undefined {
  const keyHash = hash.hashText(key);
  let best: Ranked | undefined;
  for (const nodeId of nodeIds) {
    const ranked = {nodeId, weight: weight(keyHash, nodeId)};
    if (best === undefined || compare(ranked, best) > 0) best = ranked;
  }
  return best?.nodeId;
}

/** Whether `left` ranks before `right` for a key. */
export function ranksBefore(key: string, left: string, right: string): boolean {
  return first(key, [left, right]) === left && left !== right;
}

interface Ranked {
  readonly nodeId: string;
  readonly weight: number;
}

function compare(left: Ranked, right: Ranked): number {
  if (left.weight !== right.weight) return left.weight - right.weight;
  return left.nodeId < right.nodeId ? -1 : 1;
}
