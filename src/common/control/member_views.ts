/** Members as seen by entry and gate: the roster with provisional members and liveness. */
import * as peer from '../../generated/peer.js';
import * as units from '../units.js';
import * as controlContract from './control_contract.js';
import * as fleetView from './fleet_view.js';
import * as gossip from './gossip.js';
import * as logState from './log_state.js';

/** Combines the roster from the log with gossip. */
export class MemberViews {
  private nowMs: units.MonotonicMs = 0;

  constructor(
    private readonly self: peer.Member,
    private readonly log: logState.LogState,
    private readonly gossip: gossip.Gossip,
  ) {}

  /** Sets the current time, which decides which provisional members have expired. */
  setTime(nowMs: units.MonotonicMs): void {
    this.nowMs = nowMs;
  }

  /** Returns the members of a service, without those that are gone. */
  membersOf(service: string): readonly fleetView.MemberView[] {
    const views = new Map(
      this.log.roster
        .entriesOf(service)
        .map(e => [e.member.nodeId, this.rosterView(e)]),
    );
    for (const item of this.gossip.provisional.all(this.nowMs)) {
      if (item.member.service !== service) continue;
      views.set(item.member.nodeId, this.gossipView(item.member, item.leaving));
    }
    return [...views.values()];
  }

  /** Returns a member, undefined if unknown or gone. */
  member(nodeId: string): fleetView.MemberView | undefined {
    const item = this.gossip.provisional.get(nodeId, this.nowMs);
    if (item !== undefined) return this.gossipView(item.member, item.leaving);
    const entry = this.log.roster.entry(nodeId);
    return entry && entry.roster !== 'gone'
      ? this.rosterView(entry)
      : undefined;
  }

  /** Returns the other members of this node's service. */
  siblings(): readonly peer.Member[] {
    return this.membersOf(this.self.service)
      .map(m => m.member)
      .filter(m => m.nodeId !== this.self.nodeId);
  }

  private rosterView(
    entry: controlContract.RosterEntryState,
  ): fleetView.MemberView {
    return {
      member: entry.member,
      roster: entry.roster === 'joined' ? 'joined' : 'leaving',
      liveness: this.gossip.table.stateOf(entry.member.nodeId),
      provisional: false,
    };
  }

  private gossipView(
    member: peer.Member,
    leaving: boolean,
  ): fleetView.MemberView {
    return {
      member,
      roster: leaving ? 'leaving' : 'joined',
      liveness: this.gossip.table.stateOf(member.nodeId),
      provisional: true,
    };
  }
}
