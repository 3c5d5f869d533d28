/** Views of the fleet that nodes hold: immutable states, each in force on a node after a delay. */
import * as inForce from '../../src/common/configuration/configuration_in_force.js';
import * as fleetView from '../../src/common/control/fleet_view.js';
import * as units from '../../src/common/units.js';

/** A member that stopped being the home of its keys, or lost its memory of them. */
export interface Departure {
  readonly nodeId: string;
  readonly service: string;
  readonly at: units.Instant;
}

/** What a node that is up to date knows of the fleet. */
export class ViewState {
  private readonly byService = new Map<string, fleetView.MemberView[]>();
  private readonly byId: ReadonlyMap<string, fleetView.MemberView>;

  constructor(
    /** Grows with each change. */
    readonly version: number,
    /** Grows with each change of the members. */
    readonly rosterOffset: number,
    readonly configuration: inForce.ConfigurationInForce,
    readonly members: readonly fleetView.MemberView[],
    readonly departures: readonly Departure[],
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

function weightOf(nodeId: string, key: string): number {
  return hash(`${key}@${nodeId}`);
}

function heaviest(names: readonly string[], key: string): string | undefined {
  let best: string | undefined;
  for (const name of names) {
    if (best === undefined || weightOf(name, key) > weightOf(best, key)) {
      best = name;
    }
  }
  return best;
}

/** The view of one node; `adopt` brings it up to a newer state. */
export class VirtualView implements fleetView.FleetView {
  stale = false;

  constructor(private state: ViewState) {}

  get configuration(): inForce.ConfigurationInForce {
    return this.state.configuration;
  }

  get rosterOffset(): number {
    return this.state.rosterOffset;
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
    return this.keyHome(service, key)?.nodeId;
  }

  keyHome(service: string, key: string): fleetView.KeyHome | undefined {
    const members = this.membersOf(service);
    const holders = members.filter(
      m => m.roster === 'joined' && !m.provisional,
    );
    const names = holders.map(m => m.member.nodeId);
    const nodeId = heaviest(names, key);
    if (nodeId === undefined) return undefined;
    return {nodeId, ...this.heldSince(service, nodeId, key)};
  }

  keyLeaseValid(): boolean {
    return true;
  }

  /** Time of the newest departure of a member that was the key's home before. */
  private heldSince(
    service: string,
    nodeId: string,
    key: string,
  ): {
    readonly sinceMs: units.EpochMs;
    readonly takeoverAtMs: units.MonotonicMs;
  } {
    const weight = weightOf(nodeId, key);
    const earlier = this.state.departures.filter(
      d => d.service === service && weightOf(d.nodeId, key) >= weight,
    );
    const last = earlier[earlier.length - 1]?.at;
    return {sinceMs: last?.epochMs ?? 0, takeoverAtMs: last?.monotonicMs ?? 0};
  }

  rosterConfirmedAgeMs(): number {
    return 0;
  }
}
