/** The members of a service that an attempt may go to, and why others may not. */
import * as peer from '../../generated/peer.js';
import * as fleetView from '../control/fleet_view.js';
import * as units from '../units.js';
import * as failureMemory from './failure_memory.js';

/** Why a member is passed over. */
export type Exclusion =
  'leaving' | 'dead' | 'data-centre-out' | 'server-out' | 'no-configuration';

/** Why a member is used only when no other is left. */
export type Reservation = 'tried' | 'suspect' | 'failed-lately';

/** Members that may take an attempt now. */
export interface Candidates {
  readonly members: readonly peer.Member[];
  /** Whether the request has not been tried at these members. */
  readonly fresh: boolean;
}

/** Returns why a member may take no work at all, undefined if it may. */
export function exclusionOf(
  view: fleetView.FleetView,
  m: fleetView.MemberView,
): Exclusion | undefined {
  if (fleetView.mayTakeWork(view, m)) return undefined;
  const cfg = view.configuration;
  if (cfg === undefined) return 'no-configuration';
  if (m.roster === 'leaving') return 'leaving';
  if (cfg.isDataCentreOut(m.member.dataCentre)) return 'data-centre-out';
  if (cfg.isServerOut(m.member.nodeId)) return 'server-out';
  return 'dead';
}

/** Returns why a member that may take work is better spared, undefined if it is not. */
export function reservationOf(
  m: fleetView.MemberView,
  tried: ReadonlySet<string>,
  failures: failureMemory.FailureMemory,
  nowMs: units.MonotonicMs,
): Reservation | undefined {
  const {nodeId} = m.member;
  if (tried.has(nodeId)) return 'tried';
  if (m.liveness === peer.LivenessState.SUSPECT) return 'suspect';
  const avoided = failures.avoidedUntilMs(nodeId, nowMs) !== undefined;
  return avoided ? 'failed-lately' : undefined;
}

/** Returns the best group of members left: unreserved, then untried, then any. */
export function candidates(
  view: fleetView.FleetView,
  service: string,
  tried: ReadonlySet<string>,
  failures: failureMemory.FailureMemory,
  nowMs: units.MonotonicMs,
): Candidates {
  const members = view
    .membersOf(service)
    .filter(m => fleetView.mayTakeWork(view, m));
  const untried = members.filter(m => !tried.has(m.member.nodeId));
  const unreserved = untried.filter(
    m => reservationOf(m, tried, failures, nowMs) === undefined,
  );
  const best = [unreserved, untried].find(group => group.length > 0);
  return {
    members: (best ?? members).map(m => m.member),
    fresh: best !== undefined,
  };
}
