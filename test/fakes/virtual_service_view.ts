/** Views of the fleet that nodes hold: immutable states, each in force on a node after a delay. */
import * as inForce from '../../src/common/configuration/configuration_in_force.js';
import * as fleetView from '../../src/common/control/fleet_view.js';

/** What a node that is up to date knows of the fleet. */
export class ViewState {
  private readonly byService = new Map<string, fleetView.MemberView[]>();
  private readonly byId: ReadonlyMap<string, fleetView.MemberView>;

  constructor(
    /** Grows with each change; stands for the log's offset. */
    readonly version: number,
    readonly configuration: inForce.ConfigurationInForce,
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

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

function hash(text: string): number {
  let h = FNV_OFFSET;
  for (let i = 0; i < text.length; i++) {
    h = Math.imul(h ^ text.charCodeAt(i), FNV_PRIME);
  }
  h ^= h >>> 15;
  h = Math.imul(h, 0x2c1b3c6d);
  return (h ^ (h >>> 13)) >>> 0;
}

/** The view of one node; `adopt` brings it up to a newer state. */
export class VirtualView implements fleetView.FleetView {
  stale = false;

  constructor(private state: ViewState) {}

  get configuration(): inForce.ConfigurationInForce {
    return this.state.configuration;
  }

  get rosterOffset(): number {
    return this.state.version;
  }

  /** Takes over `state` unless the node already knows a newer one. */
  adopt(state: ViewState): void {
    if (state.version > this.state.version) this.state = state;
  }

  membersOf(service: string): readonly fleetView.MemberView[] {
    return this.state.membersOf(service);
  }

  member(nodeId: string): fleetView.MemberView | undefined {
    return this.state.member(nodeId);
  }

  homeOf(service: string, key: string): string | undefined {
    let best: {readonly nodeId: string; readonly weight: number} | undefined;
    for (const m of this.membersOf(service)) {
      const nodeId = m.member.nodeId;
      const weight = hash(`${key}@${nodeId}`);
      if (best === undefined || weight > best.weight) best = {nodeId, weight};
    }
    return best?.nodeId;
  }

  rosterConfirmedAgeMs(): number {
    return 0;
  }
}
