/** Rendezvous hashing: the order of nodes in which they may grant a workspace's tokens. */

/** Workspaces whose order is kept; further ones are computed again when they are used. */
const MAX_CACHED_ORDERS = 1_000;

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Orders the known nodes for each workspace, equally on all nodes that know the same ones. */
export class OwnerRanking {
  private nodeIds: readonly string[] = [];
  private readonly orders = new Map<string, readonly string[]>();

  /** Sets the known nodes; the orders are computed again when they are used next. */
  setNodes(nodeIds: readonly string[]): void {
    this.nodeIds = nodeIds;
    this.orders.clear();
  }

  /** Returns the known nodes, that with the highest rank for the workspace first. */
  orderOf(workspace: string): readonly string[] {
    const cached = this.orders.get(workspace);
    if (cached !== undefined) return cached;
    const order = rank(workspace, this.nodeIds);
    if (this.orders.size >= MAX_CACHED_ORDERS) this.evictOldest();
    this.orders.set(workspace, order);
    return order;
  }

  private evictOldest(): void {
    const [oldest] = this.orders.keys();
    this.orders.delete(oldest);
  }
}

function rank(
  workspace: string,
  nodeIds: readonly string[],
): readonly string[] {
  const scored = nodeIds.map(nodeId => ({
    nodeId,
    score: hash(`${workspace}\n${nodeId}`),
  }));
  scored.sort((a, b) => b.score - a.score || (a.nodeId < b.nodeId ? -1 : 1));
  return scored.map(({nodeId}) => nodeId);
}

/** FNV-1a with the final mixing of MurmurHash3, since node ids often differ in one digit only. */
function hash(text: string): number {
  let h = FNV_OFFSET;
  for (let i = 0; i < text.length; i++) {
    h = Math.imul(h ^ text.charCodeAt(i), FNV_PRIME);
  }
  h = Math.imul(h ^ (h >>> 16), 0x85ebca6b);
  h = Math.imul(h ^ (h >>> 13), 0xc2b2ae35);
  return (h ^ (h >>> 16)) >>> 0;
}
