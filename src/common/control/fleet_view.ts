/** Read-only view of the fleet for entry and gate. */
import * as peer from '../../generated/peer.js';
import * as configurationInForce from '../configuration/configuration_in_force.js';
import * as units from '../units.js';

/** A member as seen by this node. */
export interface MemberView {
  readonly member: peer.Member;
  /** State from the roster in the log, or from gossip if provisional. */
  readonly roster: 'joined' | 'leaving';
  readonly liveness: peer.LivenessState;
  /** Whether the member is known only by gossip. */
  readonly provisional: boolean;
}

/** Read access to membership and configuration. */
export interface FleetView {
  /** Configuration in force, undefined before the first one. */
  readonly configuration: configurationInForce.ConfigurationInForce | undefined;

  /** Log offset up to which the roster is folded. */
  readonly rosterOffset: number;

  /** Whether the view has not been confirmed since this process was last paused. */
  readonly stale: boolean;

  /** Returns the members of a service whatever their liveness, without those that are gone. */
  membersOf(service: string): readonly MemberView[];

  /** Returns a member by node id, undefined if unknown or gone. */
  member(nodeId: string): MemberView | undefined;

  /** Age of the newest confirmation that no roster record is missing, Infinity before the first. */
  rosterConfirmedAgeMs(nowMs: units.MonotonicMs): units.Millis;
}

/** Whether an entry may send new requests to a member. */
export function canReceiveRequests(view: FleetView, m: MemberView): boolean {
  const cfg = view.configuration;
  return (
    cfg !== undefined &&
    m.roster === 'joined' &&
    m.liveness !== peer.LivenessState.DEAD &&
    !cfg.isDataCentreOut(m.member.dataCentre) &&
    !cfg.isServerOut(m.member.nodeId)
  );
}
