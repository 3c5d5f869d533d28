/** Joins and leavings known by gossip before they are in the log. */
import * as peer from '../../generated/peer.js';
import * as units from '../units.js';
import * as roster from './roster.js';
import * as gossipBuffer from './gossip_buffer.js';

/** Time for which gossip about a member is kept after it was last updated. */
const GOSSIP_TTL_MS: units.Millis = 60_000;

/** State of a member known by gossip. */
interface ProvisionalState {
  readonly member: peer.Member;
  readonly leaving: boolean;
}

/** Joins and leavings that the roster folded from the log does not contain yet. */
export class ProvisionalMembers {
  private readonly known = new gossipBuffer.GossipBuffer<ProvisionalState>();

  constructor(
    private readonly self: peer.Member,
    private readonly log: roster.Roster,
  ) {}

  /** Spreads the state of this node. */
  announce(leaving: boolean, nowMs: units.MonotonicMs): void {
    const item = {member: this.self, leaving};
    this.known.put(this.self.nodeId, item, nowMs + GOSSIP_TTL_MS);
  }

  /** Handles gossip from a peer; returns whether it was newer than what was known. */
  applyUpdate(
    update: peer.ProvisionalMember,
    nowMs: units.MonotonicMs,
  ): boolean {
    const {member, leaving} = update;
    if (member === undefined || member.nodeId === this.self.nodeId) {
      return false;
    }
    if (!this.isNewerThanLog(member, leaving)) return false;
    const current = this.known.get(member.nodeId, nowMs);
    if (current !== undefined && !isNewer({member, leaving}, current)) {
      return false;
    }
    this.known.put(member.nodeId, {member, leaving}, nowMs + GOSSIP_TTL_MS);
    return true;
  }

  /** Returns the state of a node by gossip, undefined if the log is as recent. */
  get(nodeId: string, nowMs: units.MonotonicMs): ProvisionalState | undefined {
    const found = this.known.get(nodeId, nowMs);
    if (found && this.isNewerThanLog(found.member, found.leaving)) return found;
    this.known.delete(nodeId);
    return undefined;
  }

  /** Returns all states that the log does not contain yet. */
  all(nowMs: units.MonotonicMs): readonly ProvisionalState[] {
    return this.known
      .live(nowMs)
      .map(r => r.item)
      .filter(p => this.isNewerThanLog(p.member, p.leaving));
  }

  /** Returns up to `count` states to send to peers and counts them as sent. */
  takeUpdates(
    count: number,
    nowMs: units.MonotonicMs,
  ): readonly peer.ProvisionalMember[] {
    return this.known
      .take(count, nowMs)
      .map(r => r.item)
      .filter(p => this.isNewerThanLog(p.member, p.leaving));
  }

  /** Whether the state is newer than the roster folded from the log. */
  private isNewerThanLog(member: peer.Member, leaving: boolean): boolean {
    const entry = this.log.entry(member.nodeId);
    if (entry === undefined) return !leaving;
    if (entry.member.incarnation !== member.incarnation) {
      return entry.member.incarnation < member.incarnation;
    }
    return leaving && entry.roster === 'joined';
  }
}

function isNewer(update: ProvisionalState, known: ProvisionalState): boolean {
  if (update.member.incarnation !== known.member.incarnation) {
    return update.member.incarnation > known.member.incarnation;
  }
  return update.leaving && !known.leaving;
}
