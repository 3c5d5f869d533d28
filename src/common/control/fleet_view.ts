/** What entry and gate know of the fleet. */
import * as peer from '../../generated/peer.js';
import * as inForce from '../configuration/configuration_in_force.js';
import * as units from '../units.js';

/** A member as this node sees it. */
export interface MemberView {
  readonly member: peer.Member;
  /** State by the roster in the log (or gossip, if provisional). */
  readonly roster: 'joined' | 'leaving';
  readonly liveness: peer.LivenessState;
  /** Known by gossip only; takes calls but never is a key's home. */
  readonly provisional: boolean;
}

/** The home of a key. */
export interface KeyHome {
  readonly nodeId: string;
  /**
   * Since when, by this node's clock, no other member can have been the home: keys minted earlier
   * may have run elsewhere. Meant for the home itself.
   */
  readonly sinceMs: units.EpochMs;
  /** Monotonic time from which no earlier home's lease can be valid. */
  readonly takeoverAtMs: units.MonotonicMs;
}

/** Read access to membership and configuration. */
export interface FleetView {
  /** Configuration in force, undefined before the first. */
  readonly configuration: inForce.ConfigurationInForce | undefined;

  /** Log offset up to which the roster is folded. */
  readonly rosterOffset: number;

  /** Whether this node woke from a pause and its view is not confirmed yet. */
  readonly stale: boolean;

  /** Members of a service that have not gone, whatever their liveness. */
  membersOf(service: string): readonly MemberView[];

  /** Returns a member by node id, undefined if unknown or gone. */
  member(nodeId: string): MemberView | undefined;

  /** Node id of the home of `key` by the roster in the log, undefined if the service has none. */
  homeOf(service: string, key: string): string | undefined;

  /** Returns the home of `key` with what its gate needs to judge the key, if there is a home. */
  keyHome(service: string, key: string): KeyHome | undefined;

  /** Age of the newest confirmation that no roster record is missing; infinite before the first. */
  rosterConfirmedAgeMs(nowMs: units.MonotonicMs): units.Millis;

  /** Whether this node may run keyed requests of its service by its roster lease. */
  keyLeaseValid(nowMs: units.MonotonicMs): boolean;
}

/** Whether an entry may send new work to a member under the view's configuration. */
export function mayTakeWork(view: FleetView, m: MemberView): boolean {
  const cfg = view.configuration;
  return (
    cfg !== undefined &&
    m.roster === 'joined' &&
    m.liveness !== peer.LivenessState.DEAD &&
    !cfg.isDataCentreOut(m.member.dataCentre) &&
    !cfg.isServerOut(m.member.nodeId)
  );
}
