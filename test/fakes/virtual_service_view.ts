/** Immutable states of the fleet, and the view of a node that moves from one to the next. */
import * as configurationInForce from '../../src/common/configuration/configuration_in_force.js';
import * as fleetView from '../../src/common/control/fleet_view.js';

/** One version of configuration and members. */
export class ViewState {
  private readonly byService = new Map<string, fleetView.MemberView[]>();
  private readonly byId: ReadonlyMap<string, fleetView.MemberView>;

  constructor(
    /** Grows with each change. */
    readonly version: number,
    /** Grows with each change of the members. */
    readonly rosterOffset: number,
    readonly configuration: configurationInForce.ConfigurationInForce,
    readonly members: readonly fleetView.MemberView[],
  ) {
    this.byId = new Map(members.map(m => [m.member.nodeId, m]));
    for (const m of members) {
      const list = this.byService.get(m.member.service) ?? [];
      list.push(m);
      this.byService.set(m.member.service, list);
    }
  }

  membersOf(service: string): readonly fleetView.MemberView[] {
    return this.byService.get(service) ?? [];
  }

  member(nodeId: string): fleetView.MemberView | undefined {
    return this.byId.get(nodeId);
  }
}

/** The view of one node, which may lag behind the newest state. */
export class VirtualView implements fleetView.FleetView {
  stale = false;

  constructor(private state: ViewState) {}

  get configuration(): configurationInForce.ConfigurationInForce {
    return this.state.configuration;
  }

  get rosterOffset(): number {
    return this.state.rosterOffset;
  }

  /** Switches to `state` unless the current one is as new or newer. */
  adopt(state: ViewState): void {
    if (state.version > this.state.version) this.state = state;
  }

  membersOf(service: string): readonly fleetView.MemberView[] {
    return this.state.membersOf(service);
  }

  member(nodeId: string): fleetView.MemberView | undefined {
    return this.state.member(nodeId);
  }

  /** Always 0: confirmation is simulated by `stale` only. */
  rosterConfirmedAgeMs(): number {
    return 0;
  }
}
