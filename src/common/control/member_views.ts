/** Members as entry and gate see them: the roster, what gossip adds to it, and liveness. */
import * as peer from '../../generated/peer.js';
import * as units from '../units.js';
import * as control from './control_contract.js';
import * as fleetView from './fleet_view.js';
import * as gossip from './gossip.js';
import * as logState from './log_state.js';

/** Combines the log's roster with gossip. */
export class MemberViews {
  private nowMs: units.MonotonicMs = 0;

  constructor(
    private readonly self: peer.Member,
    private readonly log: logState.LogState,
    private readonly news: gossip.Gossip,
  ) {}

  /** Sets the time as of which the views are. */
  noteTime(nowMs: units.MonotonicMs): void {
    this.nowMs = nowMs;
  }

  /** Members of a service that have not gone. */
  membersOf(service: string): readonly fleetView.MemberView[] {
    const views = new Map(
      this.log.roster
        .entriesOf(service)
        .map(e => [e.member.nodeId, this.ofEntry(e)]),
    );
    for (const told of this.news.provisional.all(this.nowMs)) {
      if (told.member.service !== service) continue;
      views.set(told.member.nodeId, this.ofGossip(told.member, told.leaving));
    }
    return [...views.values()];
  }

  /** Returns a member, undefined if unknown or gone. */
  member(nodeId: string): fleetView.MemberView | undefined {
    const told = this.news.provisional.get(nodeId, this.nowMs);
    if (told !== undefined) return this.ofGossip(told.member, told.leaving);
    const entry = this.log.roster.entry(nodeId);
    return entry && entry.roster !== 'gone' ? this.ofEntry(entry) : undefined;
  }

  /** Members of this node's service, itself left out. */
  siblings(): readonly peer.Member[] {
    return this.membersOf(this.self.service)
      .map(m => m.member)
      .filter(m => m.nodeId !== this.self.nodeId);
  }

  private ofEntry(entry: control.RosterEntryState): fleetView.MemberView {
    return {
      member: entry.member,
      roster: entry.roster === 'joined' ? 'joined' : 'leaving',
      liveness: this.news.table.stateOf(entry.member.nodeId),
      provisional: false,
    };
  }

  private ofGossip(
    member: peer.Member,
    leaving: boolean,
  ): fleetView.MemberView {
    return {
      member,
      roster: leaving ? 'leaving' : 'joined',
      liveness: this.news.table.stateOf(member.nodeId),
      provisional: true,
    };
  }
}
