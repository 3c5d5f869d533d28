/** Grants tokens of the workspaces that this node owns. */
import * as serving from '../../generated/serving.js';
import * as units from '../units.js';
import * as workspace from '../workspaces/workspace.js';
import * as quotaMembers from './quota_members.js';

/** Part of the slack by which buckets are deeper than the burst. */
const SLACK_SHARE = 0.25;

/**
 * Fewest tokens that a bucket can grant at once, those ahead included, as a part of the slack. With
 * requests at random times, 90% of the rate finds a bucket of 10 tokens empty for up to 2.5% of the
 * requests.
 */
const MIN_DEPTH_SHARE = 0.65;

/** Longest time for which a token is granted ahead; shorter than entries let a request wait. */
const MAX_AHEAD_MS: units.Millis = 100;

/** Longest time that is stated until the next token, for rates near 0. */
const MAX_WAIT_MS: units.Millis = 60_000;

/** Dependencies and settings of `TokenOwner`. */
export interface TokenOwnerOptions {
  readonly members: quotaMembers.QuotaMembers;
  /** Requests allowed beyond the quota and its overage in a window. */
  readonly slack: number;
  /** Returns the quota of a workspace by the configuration in force. */
  quotaOf(workspace: string): workspace.Quota | undefined;
}

interface Bucket {
  readonly tokens: number;
  readonly refilledMs: units.MonotonicMs;
}

/** Token buckets of the workspaces that this node owns; created when tokens are asked for. */
export class TokenOwner {
  private readonly buckets = new Map<string, Bucket>();
  private resumedMs: units.MonotonicMs = -Infinity;

  constructor(private readonly options: TokenOwnerOptions) {}

  /** Number of buckets. */
  get size(): number {
    return this.buckets.size;
  }

  /** Handles the end of a pause of the process, in which others may have granted tokens. */
  onResumed(now: units.MonotonicMs): void {
    this.resumedMs = now;
  }

  /** Removes the buckets of workspaces that have no quota any more. */
  onConfiguration(): void {
    for (const name of [...this.buckets.keys()]) {
      if (this.options.quotaOf(name) === undefined) this.buckets.delete(name);
    }
  }

  /** Returns the grants for a request for tokens. */
  onTokenRequest(
    request: serving.TokenRequest,
    now: units.MonotonicMs,
  ): serving.TokenGrant {
    const grants = request.demands.map(demand => this.grant(demand, now));
    return {number: request.number, grants};
  }

  /** Returns the grant for one workspace. */
  grant(
    demand: serving.TokenDemand,
    now: units.MonotonicMs,
  ): serving.WorkspaceGrant {
    const {members} = this.options;
    const name = demand.workspace;
    const {nodeId, sinceMs} = members.ownerOf(name);
    const none = {workspace: name, count: 0, owner: '', isPending: false};
    if (nodeId !== members.selfId) return {...none, waitMs: 0, owner: nodeId};
    if (!members.isComplete || now < sinceMs) {
      const waitMs = Math.min(sinceMs - now, quotaMembers.TAKEOVER_MS);
      return {...none, waitMs: Math.ceil(waitMs), isPending: true};
    }
    const quota = this.options.quotaOf(name) ?? {
      ratePerSecond: demand.ratePerSecond,
      burst: demand.burst,
    };
    // In a cut, other nodes grant the rest of the rate and of the burst.
    const share = members.reachedShare(now);
    const perMs = (quota.ratePerSecond * share) / units.MS_PER_SECOND;
    const depth = this.depthOf(quota, perMs, share);
    const tokens = this.refilled(name, perMs, depth, sinceMs, now);
    const nextMs = tokens >= 1 ? 0 : (1 - tokens) / perMs;
    const whole = Math.floor(tokens);
    const ahead = nextMs <= MAX_AHEAD_MS ? 1 : 0;
    const count = Math.min(demand.count, Math.max(whole, ahead));
    this.buckets.set(name, {tokens: tokens - count, refilledMs: now});
    const waitMs = Math.ceil(Math.min(nextMs, MAX_WAIT_MS));
    return {...none, count, waitMs};
  }

  private refilled(
    name: string,
    perMs: number,
    depth: number,
    sinceMs: units.MonotonicMs,
    now: units.MonotonicMs,
  ): number {
    const emptyMs = Math.max(sinceMs, this.resumedMs);
    const bucket = this.buckets.get(name);
    const isCurrent = bucket !== undefined && bucket.refilledMs >= emptyMs;
    const {tokens, refilledMs} = isCurrent
      ? bucket
      : {tokens: 0, refilledMs: emptyMs};
    return Math.min(depth, tokens + perMs * (now - refilledMs));
  }

  /** Returns the most tokens that a bucket holds when this node reaches a share of the nodes. */
  private depthOf(
    quota: workspace.Quota,
    perMs: number,
    share: number,
  ): number {
    const {slack} = this.options;
    return Math.max(
      1,
      MIN_DEPTH_SHARE * slack - perMs * MAX_AHEAD_MS,
      share * (quota.burst + SLACK_SHARE * slack),
    );
  }
}
