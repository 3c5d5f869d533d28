/** Whether this gate may run a request with an idempotency key, and what it knows of the key. */
import * as peer from '../../generated/peer.js';
import * as fleet from '../control/fleet_view.js';
import * as record from '../gate/call_record.js';
import * as invariants from '../invariants.js';
import * as rosterLease from '../membership/roster_lease.js';
import * as units from '../units.js';
import * as keyMemory from './key_memory.js';
import * as keyTime from './key_time.js';

/**
 * Time after a change of homes within which a former home may have run a key minted meanwhile:
 * its lease, and the difference of clocks.
 */
const KEY_FENCE_MS = rosterLease.TAKEOVER_MS + keyMemory.CLOCK_SKEW_MS;

/** Time after which a refusal for a stale roster is worth a retry. */
const STALE_ROSTER_RETRY_MS = 50;

/** What is to be done with a call that carries a key. */
export type KeyVerdict =
  | {readonly kind: 'run'}
  /** Wait for the call that accounts for the key. */
  | {readonly kind: 'join'; readonly ownerCallId: string}
  | {readonly kind: 'replay'; readonly answer: record.ServerAnswer}
  | {readonly kind: 'refuse'; readonly detail: record.RefusalDetail};

/** This gate as a home of keys. */
export class KeyHome {
  constructor(
    private readonly nodeId: string,
    private readonly view: fleet.FleetView,
    readonly memory: keyMemory.KeyMemory,
  ) {}

  /** Judges a call on its arrival; what is remembered goes before everything else. */
  judge(call: peer.CallRequest, now: units.Instant): KeyVerdict {
    const known = this.memory.get(call.idempotencyKey);
    if (known) return judgeKnown(known, call);
    const detail = this.refusal(call, now);
    return detail ? {kind: 'refuse', detail} : {kind: 'run'};
  }

  /** Returns why a key that has not run here must not run now, undefined if it may. */
  refusal(
    call: peer.CallRequest,
    now: units.Instant,
  ): record.RefusalDetail | undefined {
    const home = this.view.keyHome(call.service, call.idempotencyKey);
    if (!home || call.rosterOffset > this.view.rosterOffset) {
      return staleRoster(STALE_ROSTER_RETRY_MS);
    }
    if (home.nodeId !== this.nodeId) return wrongHome(home.nodeId);
    const leaseValid = this.view.keyLeaseValid(now.monotonicMs);
    if (!leaseValid) return staleRoster(STALE_ROSTER_RETRY_MS);
    if (now.monotonicMs < home.takeoverAtMs) {
      return staleRoster(home.takeoverAtMs - now.monotonicMs);
    }
    return unaccounted(call.idempotencyKey, home, now.epochMs);
  }
}

function judgeKnown(
  known: keyMemory.KeyRecord,
  call: peer.CallRequest,
): KeyVerdict {
  if (known.fingerprint !== call.fingerprint) {
    return refuse(peer.RefusalReason.KEY_REUSED, peer.Outcome.NOT_RUN);
  }
  switch (known.state.kind) {
    case 'running':
      return {kind: 'join', ownerCallId: known.state.callId};
    case 'finished':
      return {kind: 'replay', answer: {...known.state.answer, replayed: true}};
    case 'ran':
      return refuse(peer.RefusalReason.KEY_UNACCOUNTED, peer.Outcome.RAN);
    case 'unknown':
      return refuse(peer.RefusalReason.KEY_UNACCOUNTED, peer.Outcome.UNKNOWN);
    default:
      return invariants.assertNever(known.state);
  }
}

/**
 * Refuses a key that may have run before this memory, or longer ago than it reaches back. A key
 * without a time is taken to be as old as the window allows.
 */
function unaccounted(
  key: string,
  home: fleet.KeyHome,
  epochMs: units.EpochMs,
): record.RefusalDetail | undefined {
  const minted = keyTime.mintedMs(key);
  if (minted !== undefined && minted > epochMs + keyMemory.CLOCK_SKEW_MS) {
    return record.notRun(peer.RefusalReason.BAD_REQUEST);
  }
  const bornMs = minted ?? epochMs - keyMemory.KEY_WINDOW_MS;
  const isFenced = bornMs < home.sinceMs + KEY_FENCE_MS;
  const isOld = epochMs - bornMs > keyMemory.KEY_WINDOW_MS;
  if (!isFenced && !isOld) return undefined;
  return {
    reason: peer.RefusalReason.KEY_UNACCOUNTED,
    outcome: peer.Outcome.UNKNOWN,
  };
}

function refuse(reason: peer.RefusalReason, outcome: peer.Outcome): KeyVerdict {
  return {kind: 'refuse', detail: {reason, outcome}};
}

function staleRoster(retryAfterMs: units.Millis): record.RefusalDetail {
  return record.notRun(peer.RefusalReason.STALE_ROSTER, retryAfterMs);
}

function wrongHome(homeNodeId: string): record.RefusalDetail {
  return {...record.notRun(peer.RefusalReason.WRONG_HOME), homeNodeId};
}
