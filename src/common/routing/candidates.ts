/** Selects the members of a service that an attempt may be sent to. */
import * as peer from '../../generated/peer.js';
import * as fleetView from '../control/fleet_view.js';
import * as units from '../units.js';
import * as failureMemory from './failure_memory.js';

/** Why a member gets no requests at all. */
export type ExclusionReason =
  'leaving' | 'dead' | 'data-centre-out' | 'server-out' | 'no-configuration';

/** Why a member gets requests only when no better one is left. */
export type LastResortReason = 'tried' | 'suspect' | 'failed-lately';

/** Members that an attempt may be sent to now. */
export interface Candidates {
  readonly members: readonly peer.Member[];
  /** Whether the request has not been tried at these members. */
  readonly untried: boolean;
}

/** Returns why a member gets no requests at all, undefined if it may get some. */
export function exclusionReasonOf(
  view: fleetView.FleetView,
  m: fleetView.MemberView,
): ExclusionReason | undefined {
  if (fleetView.canReceiveRequests(view, m)) return undefined;
  const cfg = view.configuration;
  if (cfg === undefined) return 'no-configuration';
  if (m.roster === 'leaving') return 'leaving';
  if (cfg.isDataCentreOut(m.member.dataCentre)) return 'data-centre-out';
  if (cfg.isServerOut(m.member.nodeId)) return 'server-out';
  return 'dead';
}

/** Returns why a usable member is a last resort for this request, undefined if it is not. */
export function lastResortReasonOf(
  m: fleetView.MemberView,
  tried: ReadonlySet<string>,
  failures: failureMemory.FailureMemory,
  nowMs: units.MonotonicMs,
): LastResortReason | undefined {
  const {nodeId} = m.member;
  if (tried.has(nodeId)) return 'tried';
  if (m.liveness === peer.LivenessState.SUSPECT) return 'suspect';
  const isAvoided = failures.avoidedUntilMs(nodeId, nowMs) !== undefined;
  return isAvoided ? 'failed-lately' : undefined;
}

/** Returns the best non-empty group of members: preferred, else untried, else all usable ones. */
export function candidates(
  view: fleetView.FleetView,
  service: string,
  tried: ReadonlySet<string>,
  failures: failureMemory.FailureMemory,
  nowMs: units.MonotonicMs,
): Candidates {
  const members = view
    .membersOf(service)
    .filter(m => fleetView.canReceiveRequests(view, m));
  const untried = members.filter(m => !tried.has(m.member.nodeId));
  const preferred = untried.filter(
    m => lastResortReasonOf(m, tried, failures, nowMs) === undefined,
  );
  const best = [preferred, untried].find(group => group.length > 0);
  return {
    members: (best ?? members).map(m => m.member),
    untried: best !== undefined,
  };
}
