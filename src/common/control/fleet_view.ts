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
  /** Known by gossip only. */
  readonly provisional: boolean;
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

  /** Age of the newest confirmation that no roster record is missing; infinite before the first. */
  rosterConfirmedAgeMs(nowMs: units.MonotonicMs): units.Millis;
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
