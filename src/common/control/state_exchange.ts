/** State exchange between nodes: pushes of version numbers and pulls of state. */
import * as peer from '../../generated/peer.js';
import * as units from '../units.js';
import * as controlContract from './control_contract.js';

/** Number of peers notified of a new configuration, and of other log changes. */
const REVISION_FANOUT = 4;
const ROSTER_FANOUT = 2;

/** Minimum time between pushes that carry no new configuration. */
const ROSTER_PUSH_SPACING_MS: units.Millis = 500;

/** Minimum time between two pulls; grows with the member count if only the roster is behind. */
const PULL_SPACING_MS: units.Millis = 100;
const PULL_SPACING_PER_MEMBER_MS = 0.8;
const PULL_SPACING_MAX_MS: units.Millis = 2_000;

/** Configuration revision and log offset of a node. */
export interface Versions {
  readonly revision: number;
  readonly offset: number;
}

/** Decides when to push and when to pull. Only one pull is in progress at a time. */
export class StateExchange {
  private lastPushed: Versions = {revision: 0, offset: 0};
  private lastPushMs = Number.NEGATIVE_INFINITY;
  private pullSentMs: units.MonotonicMs | undefined;
  private lastPullMs = Number.NEGATIVE_INFINITY;
  private peerAhead:
    {readonly member: peer.Member; readonly versions: Versions} | undefined;

  /** Records the versions of a peer. */
  noteVersions(member: peer.Member, versions: Versions, own: Versions): void {
    if (!isAhead(versions, own)) return;
    const known = this.peerAhead?.versions;
    if (known && !isAhead(versions, known) && isAhead(known, own)) return;
    this.peerAhead = {member, versions};
  }

  /** Returns the number of peers to notify of this node's versions now. */
  pushFanout(own: Versions, nowMs: units.MonotonicMs): number {
    if (own.revision > this.lastPushed.revision) {
      this.notePushed(own, nowMs);
      return REVISION_FANOUT;
    }
    if (own.offset <= this.lastPushed.offset) return 0;
    if (nowMs - this.lastPushMs < ROSTER_PUSH_SPACING_MS) return 0;
    this.notePushed(own, nowMs);
    return ROSTER_FANOUT;
  }

  /** Returns the pull to start now; `fallback` picks the peer if none is known to be ahead. */
  nextPull(
    own: Versions,
    complete: boolean,
    members: number,
    fallback: () => peer.Member | undefined,
    nowMs: units.MonotonicMs,
  ): controlContract.ControlAction | undefined {
    if (this.pullSentMs !== undefined) return undefined;
    if (this.peerAhead && !isAhead(this.peerAhead.versions, own)) {
      this.peerAhead = undefined;
    }
    const revisionBehind =
      (this.peerAhead?.versions.revision ?? 0) > own.revision;
    const spacingMs = revisionBehind
      ? PULL_SPACING_MS
      : rosterPullSpacingMs(members);
    if (nowMs - this.lastPullMs < spacingMs) return undefined;
    const member = this.peerAhead?.member ?? fallback();
    if (member === undefined) return undefined;
    this.pullSentMs = nowMs;
    this.lastPullMs = nowMs;
    const fromOffset = complete ? own.offset : undefined;
    return {kind: 'pull-state', member, fromOffset};
  }

  /** Records that the pull succeeded; returns the time it was sent. */
  notePullAnswered(): units.MonotonicMs | undefined {
    const sentMs = this.pullSentMs;
    this.pullSentMs = undefined;
    return sentMs;
  }

  /** Records a failed pull, so that the next one uses another peer. */
  notePullFailed(): void {
    this.pullSentMs = undefined;
    this.peerAhead = undefined;
  }

  private notePushed(own: Versions, nowMs: units.MonotonicMs): void {
    this.lastPushed = own;
    this.lastPushMs = nowMs;
  }
}

function rosterPullSpacingMs(members: number): units.Millis {
  const spacingMs = PULL_SPACING_MS + PULL_SPACING_PER_MEMBER_MS * members;
  return Math.min(PULL_SPACING_MAX_MS, spacingMs);
}

function isAhead(versions: Versions, own: Versions): boolean {
  return versions.revision > own.revision || versions.offset > own.offset;
}
