/** Grants of requests to the gates of an unproven version. */
import * as serving from '../../generated/serving.js';
import * as fleetEvidence from './fleet_evidence.js';

/** Bounds on what an unproven version may get during a roll-out. */
export interface ExposureBounds {
  /** Share of the service's requests since the order. */
  readonly exposeShare: number;
  /** Requests beyond the share. */
  readonly exposeSlack: number;
}

/**
 * Part of the bounds that is granted. The rest covers retries, which gates count as requests of the
 * service, and grants by two deciders at the same time.
 */
const GRANTED_SHARE = 0.88;
const GRANTED_SLACK_SHARE = 0.6;

/**
 * Unused grant of one gate, as a multiple of its limit. A gate uses it up with its limit in use
 * before the next gate gets a grant, so that few servers run under load and not many idle.
 */
const UNUSED_LIMITS = 4;

/** Windows after which the gates get their grants in another order. */
const ROTATION_WINDOWS = 4;

/** Returns how many requests gates of the target version may start over the fleet. */
export function allowedRequests(
  bounds: ExposureBounds,
  requests: number,
): number {
  return Math.floor(
    GRANTED_SHARE * bounds.exposeShare * requests +
      GRANTED_SLACK_SHARE * bounds.exposeSlack,
  );
}

/** Returns the raised grants of the gates of the target version. */
export function raiseGrants(
  evidence: fleetEvidence.FleetEvidence,
  bounds: ExposureBounds,
  window: number,
): readonly serving.RolloutGrant[] {
  let free = allowedRequests(bounds, evidence.requests) - evidence.committed;
  const gates = evidence.gates
    .filter(gate => evidence.isTarget(gate.evidence) && gate.evidence.isOpen)
    .sort((a, b) => (a.nodeId < b.nodeId ? -1 : 1));
  const first =
    Math.floor(window / ROTATION_WINDOWS) % Math.max(1, gates.length);
  const inOrder = [...gates.slice(first), ...gates.slice(0, first)];
  return inOrder.map(({nodeId, evidence: gate}) => {
    const {started, granted, limit, processStartedMs} = gate;
    const unused = Math.max(0, granted - started);
    const wanted = Math.max(0, UNUSED_LIMITS * limit - unused);
    const raise = Math.max(0, Math.min(free, wanted));
    free -= raise;
    const requests = Math.max(granted, started) + raise;
    return {nodeId, processStartedMs, requests};
  });
}
