/** The nodes among which quotas are shared, and which of them this node reaches. */
import * as units from '../units.js';
import * as ownerRanking from './owner_ranking.js';

/**
 * Time after the loss of an owner until the next node in rank grants tokens. Meanwhile entries use
 * their own shares, the tokens of the former owner expire, and other nodes notice the loss.
 */
export const TAKEOVER_MS: units.Millis = 1_500;

/** Time without reach after which a few nodes count as gone. */
const FEW_GONE_MS: units.Millis = 30_000;

/**
 * Share of the known nodes that may count as gone so early. If they are cut off instead, they and
 * the others exceed a quota by this share, less than the usual overage.
 */
const FEW_SHARE = 0.05;

/** Time without reach after which any number of nodes counts as gone. */
const MANY_GONE_MS: units.Millis = 300_000;

/** Time for which the share of reached nodes is not computed again. */
const REACH_CACHE_MS: units.Millis = 50;

/** State of the links to other nodes. */
export interface NodeReach {
  /** Whether a node answers on an open link. */
  reaches(nodeId: string): boolean;
}

/** An owner as seen by one node. */
export interface Ownership {
  /** The reached node with the highest rank. */
  readonly nodeId: string;
  /** Time since which no node with a higher rank may grant tokens, takeover time included. */
  readonly sinceMs: units.MonotonicMs;
}

interface Member {
  /** Time of the last loss; that at which the node became known if it was never reached. */
  readonly lostMs: units.MonotonicMs;
  /** The node has announced its stop. */
  readonly left: boolean;
}

/** Tracks the known nodes. */
export class QuotaMembers {
  private readonly members = new Map<string, Member>();
  private readonly ranking = new ownerRanking.OwnerRanking();
  private startedMs: units.MonotonicMs | undefined;
  private reach = {share: 0, computedMs: -Infinity};

  constructor(
    readonly selfId: string,
    private readonly links: NodeReach,
  ) {
    this.setRanking();
  }

  /** Whether the list of nodes has been read from the store. */
  get isComplete(): boolean {
    return this.startedMs !== undefined;
  }

  /** Number of known nodes, this one included. */
  get size(): number {
    return this.members.size + 1;
  }

  /** Handles the end of the first read of the list of nodes. */
  onListRead(now: units.MonotonicMs): void {
    this.startedMs ??= now;
  }

  /** Adds a node that is not yet known. */
  add(nodeId: string, now: units.MonotonicMs): void {
    if (nodeId === this.selfId || this.members.has(nodeId)) return;
    this.members.set(nodeId, {lostMs: now, left: false});
    this.setRanking();
  }

  /** Removes a node. */
  remove(nodeId: string): void {
    if (this.members.delete(nodeId)) this.setRanking();
  }

  /** Handles the loss of a node, or the first sign of it. */
  onLost(nodeId: string, now: units.MonotonicMs): void {
    const member = this.members.get(nodeId);
    if (member) this.members.set(nodeId, {...member, lostMs: now});
    this.reach.computedMs = -Infinity;
  }

  /** Handles a node's report that it is stopping or not. */
  onStopping(nodeId: string, left: boolean): void {
    const member = this.members.get(nodeId);
    if (member && member.left !== left) {
      this.members.set(nodeId, {...member, left});
    }
  }

  /** Whether this node reaches a node. */
  reaches(nodeId: string): boolean {
    if (nodeId === this.selfId) return true;
    return this.members.has(nodeId) && this.links.reaches(nodeId);
  }

  /** Returns the owner of a workspace. */
  ownerOf(workspace: string): Ownership {
    let sinceMs = this.startedMs ?? Infinity;
    for (const nodeId of this.ranking.orderOf(workspace)) {
      if (this.reaches(nodeId)) return {nodeId, sinceMs};
      const lostMs = this.members.get(nodeId)?.lostMs ?? 0;
      sinceMs = Math.max(sinceMs, lostMs + TAKEOVER_MS);
    }
    return {nodeId: this.selfId, sinceMs};
  }

  /** Returns the share of the known nodes that this node reaches; nodes that are gone left out. */
  reachedShare(now: units.MonotonicMs): number {
    if (now - this.reach.computedMs >= REACH_CACHE_MS) {
      this.reach = {share: this.computeShare(now), computedMs: now};
    }
    return this.reach.share;
  }

  private computeShare(now: units.MonotonicMs): number {
    const missing = [...this.members]
      .filter(([nodeId, {left}]) => !left && !this.reaches(nodeId))
      .map(([, {lostMs}]) => now - lostMs);
    const left = [...this.members].filter(
      ([nodeId, member]) => member.left && !this.reaches(nodeId),
    ).length;
    const long = missing.filter(ms => ms >= MANY_GONE_MS).length;
    const known = this.size - left - long;
    const few = missing.filter(
      ms => ms >= FEW_GONE_MS && ms < MANY_GONE_MS,
    ).length;
    const gone = few <= FEW_SHARE * known ? few : 0;
    return (this.size - left - missing.length) / (known - gone);
  }

  private setRanking(): void {
    this.reach.computedMs = -Infinity;
    this.ranking.setNodes([this.selfId, ...this.members.keys()]);
  }
}
