/** Members and leavings known by gossip while the log does not tell of them. */
import * as peer from '../../generated/peer.js';
import * as units from '../units.js';
import * as roster from './roster.js';
import * as rumours from './rumours.js';

/** Time for which a member stays known by gossip after it was last heard of. */
const KEPT_MS: units.Millis = 60_000;

/** Known by gossip. */
interface Provisional {
  readonly member: peer.Member;
  readonly leaving: boolean;
}

/** Joins and leavings that the roster in the log does not hold yet. */
export class ProvisionalMembers {
  private readonly known = new rumours.Rumours<Provisional>();

  constructor(
    private readonly self: peer.Member,
    private readonly log: roster.Roster,
  ) {}

  /** Announces this node itself. */
  announce(leaving: boolean, nowMs: units.MonotonicMs): void {
    const item = {member: this.self, leaving};
    this.known.put(this.self.nodeId, item, nowMs + KEPT_MS);
  }

  /** Takes what a peer passed on; returns whether it was news. */
  take(told: peer.ProvisionalMember, nowMs: units.MonotonicMs): boolean {
    const {member, leaving} = told;
    if (member === undefined || member.nodeId === this.self.nodeId) {
      return false;
    }
    if (!this.addsToLog(member, leaving)) return false;
    const before = this.known.get(member.nodeId, nowMs);
    if (before !== undefined && !isNews({member, leaving}, before)) {
      return false;
    }
    this.known.put(member.nodeId, {member, leaving}, nowMs + KEPT_MS);
    return true;
  }

  /** Returns what is known of a node beyond the log. */
  get(nodeId: string, nowMs: units.MonotonicMs): Provisional | undefined {
    const found = this.known.get(nodeId, nowMs);
    if (found && this.addsToLog(found.member, found.leaving)) return found;
    this.known.delete(nodeId);
    return undefined;
  }

  /** All that is known beyond the log. */
  all(nowMs: units.MonotonicMs): readonly Provisional[] {
    return this.known
      .live(nowMs)
      .map(r => r.item)
      .filter(p => this.addsToLog(p.member, p.leaving));
  }

  /** Returns up to `count` members to pass on. */
  takeUpdates(
    count: number,
    nowMs: units.MonotonicMs,
  ): readonly peer.ProvisionalMember[] {
    return this.known
      .take(count, nowMs)
      .map(r => r.item)
      .filter(p => this.addsToLog(p.member, p.leaving));
  }

  /** Whether the roster in the log lacks this. */
  private addsToLog(member: peer.Member, leaving: boolean): boolean {
    const entry = this.log.entry(member.nodeId);
    if (entry === undefined) return !leaving;
    if (entry.member.incarnation !== member.incarnation) {
      return entry.member.incarnation < member.incarnation;
    }
    return leaving && entry.roster === 'joined';
  }
}

function isNews(told: Provisional, known: Provisional): boolean {
  if (told.member.incarnation !== known.member.incarnation) {
    return told.member.incarnation > known.member.incarnation;
  }
  return told.leaving && !known.leaving;
}
