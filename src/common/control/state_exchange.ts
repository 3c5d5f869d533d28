/** Spread of the log's news between nodes: pushes of versions, pulls of state. */
import * as peer from '../../generated/peer.js';
import * as units from '../units.js';
import * as control from './control_contract.js';

/** Peers told of a new configuration, and of other news. */
const REVISION_FANOUT = 4;
const ROSTER_FANOUT = 2;

/** Shortest time between pushes of news that is not a configuration. */
const ROSTER_PUSH_SPACING_MS: units.Millis = 500;

/** Shortest time between two pulls, and what each member adds if only the roster is behind. */
const PULL_SPACING_MS: units.Millis = 100;
const PULL_SPACING_PER_MEMBER_MS = 0.8;
const PULL_SPACING_MAX_MS: units.Millis = 2_000;

/** Versions that a node has. */
export interface Versions {
  readonly revision: number;
  readonly offset: number;
}

/** Decides when to push and when to pull; one pull at a time. */
export class StateExchange {
  private pushed: Versions = {revision: 0, offset: 0};
  private lastPushMs = Number.NEGATIVE_INFINITY;
  private inFlightMs: units.MonotonicMs | undefined;
  private lastPullMs = Number.NEGATIVE_INFINITY;
  private ahead:
    {readonly member: peer.Member; readonly versions: Versions} | undefined;

  /** Notes the versions that a peer named. */
  noteVersions(member: peer.Member, versions: Versions, own: Versions): void {
    if (!isAhead(versions, own)) return;
    const known = this.ahead?.versions;
    if (known && !isAhead(versions, known) && isAhead(known, own)) return;
    this.ahead = {member, versions};
  }

  /** Returns how many peers to tell of this node's versions now. */
  fanout(own: Versions, nowMs: units.MonotonicMs): number {
    if (own.revision > this.pushed.revision) {
      this.notePushed(own, nowMs);
      return REVISION_FANOUT;
    }
    if (own.offset <= this.pushed.offset) return 0;
    if (nowMs - this.lastPushMs < ROSTER_PUSH_SPACING_MS) return 0;
    this.notePushed(own, nowMs);
    return ROSTER_FANOUT;
  }

  /** Returns the pull to start now; `fallback` is asked if nobody ahead is known. */
  step(
    own: Versions,
    complete: boolean,
    members: number,
    fallback: () => peer.Member | undefined,
    nowMs: units.MonotonicMs,
  ): control.ControlAction | undefined {
    if (this.inFlightMs !== undefined) return undefined;
    if (this.ahead && !isAhead(this.ahead.versions, own)) {
      this.ahead = undefined;
    }
    const revisionBehind = (this.ahead?.versions.revision ?? 0) > own.revision;
    const spacingMs = revisionBehind ? PULL_SPACING_MS : rosterSpacing(members);
    if (nowMs - this.lastPullMs < spacingMs) return undefined;
    const member = this.ahead?.member ?? fallback();
    if (member === undefined) return undefined;
    this.inFlightMs = nowMs;
    this.lastPullMs = nowMs;
    const fromOffset = complete ? own.offset : undefined;
    return {kind: 'pull-state', member, fromOffset};
  }

  /** Notes an answer; returns when it was asked for. */
  noteAnswer(): units.MonotonicMs | undefined {
    const sentMs = this.inFlightMs;
    this.inFlightMs = undefined;
    return sentMs;
  }

  /** Notes that a pull failed; another peer is to be asked. */
  noteFailure(): void {
    this.inFlightMs = undefined;
    this.ahead = undefined;
  }

  private notePushed(own: Versions, nowMs: units.MonotonicMs): void {
    this.pushed = own;
    this.lastPushMs = nowMs;
  }
}

function rosterSpacing(members: number): units.Millis {
  const spacingMs = PULL_SPACING_MS + PULL_SPACING_PER_MEMBER_MS * members;
  return Math.min(PULL_SPACING_MAX_MS, spacingMs);
}

function isAhead(versions: Versions, own: Versions): boolean {
  return versions.revision > own.revision || versions.offset > own.offset;
}
