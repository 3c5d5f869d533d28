/** Homes of idempotency keys: rendezvous hashing over the key holders of a service. */
import * as fleetView from '../control/fleet_view.js';
import * as units from '../units.js';
import * as rendezvous from './rendezvous.js';
import * as roster from './roster.js';
import * as rosterLease from './roster_lease.js';

/** Time for which the moment of learning a change of holders is kept. */
const LEARNT_KEPT_MS: units.Millis = 60_000;

/** Answers where a key's memory is kept, and since when. */
export class KeyHomes {
  private readonly learntMs = new Map<number, units.MonotonicMs>();
  private adoptedMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly members: roster.Roster) {}

  /** Notes when this node folded the record at an offset. */
  noteFolded(offset: number, nowMs: units.MonotonicMs): void {
    this.learntMs.set(offset, nowMs);
    for (const [known, atMs] of this.learntMs) {
      if (nowMs - atMs <= LEARNT_KEPT_MS) return;
      this.learntMs.delete(known);
    }
  }

  /** Notes when this node took over the roster of a peer. */
  noteAdopted(nowMs: units.MonotonicMs): void {
    this.adoptedMs = nowMs;
  }

  /** Node id of the home of a key, undefined if the service has no holder. */
  homeOf(service: string, key: string): string | undefined {
    const holders = this.members.holdersOf(service);
    return rendezvous.first(
      key,
      holders.map(h => h.member.nodeId),
    );
  }

  /** Home of a key with the time since when it alone has been the home. */
  keyHome(service: string, key: string): fleetView.KeyHome | undefined {
    const nodeId = this.homeOf(service, key);
    if (nodeId === undefined) return undefined;
    const entry = this.members.entry(nodeId);
    if (entry?.holderSinceOffset === undefined) return undefined;
    let sinceMs = entry.holderSinceMs ?? 0;
    let takeoverAtMs = this.takeoverMs(entry.holderSinceOffset);
    for (const left of this.members.departuresOf(service)) {
      const wasHome =
        left.nodeId === nodeId ||
        rendezvous.ranksBefore(key, left.nodeId, nodeId);
      if (!wasHome) continue;
      sinceMs = Math.max(sinceMs, left.timeMs);
      takeoverAtMs = Math.max(takeoverAtMs, this.takeoverMs(left.offset));
    }
    return {
      nodeId,
      sinceMs: Math.max(sinceMs, this.historyStartMs(service)),
      takeoverAtMs,
    };
  }

  /** Time before which ends of holding may have been forgotten. */
  private historyStartMs(service: string): units.EpochMs {
    const departures = this.members.departuresOf(service);
    return departures.length < roster.MAX_DEPARTURES ? 0 : departures[0].timeMs;
  }

  private takeoverMs(offset: number): units.MonotonicMs {
    const learntMs = this.learntMs.get(offset) ?? this.adoptedMs;
    return learntMs + rosterLease.TAKEOVER_MS;
  }
}
