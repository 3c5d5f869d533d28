/** Homes of idempotency keys: rendezvous hashing over the key holders of a service. */
import * as fleetView from '../control/fleet_view.js';
import * as units from '../units.js';
import * as rendezvous from './rendezvous.js';
import * as roster from './roster.js';
import * as rosterLease from './roster_lease.js';

/** Most offsets for which it is kept when this node learnt of them. */
const MAX_LEARNT = 8_192;

const NEVER: units.Instant = {
  monotonicMs: Number.NEGATIVE_INFINITY,
  epochMs: 0,
};

/**
 * Answers where a key's memory is kept, and since when.
 *
 * What counts is when this node learnt of a record: a record's own time is that of its first
 * append, which may have been tried again for long before it took effect.
 */
export class KeyHomes {
  private readonly learnt = new Map<number, units.Instant>();
  /** Latest time at which an offset that is not kept can have been learnt of. */
  private learntFloor = NEVER;

  constructor(private readonly members: roster.Roster) {}

  /** Notes when this node folded the record at an offset. */
  noteFolded(offset: number, now: units.Instant): void {
    this.learnt.set(offset, now);
    if (this.learnt.size <= MAX_LEARNT) return;
    const [[oldest, at]] = this.learnt;
    this.learnt.delete(oldest);
    this.learntFloor = latest(this.learntFloor, at);
  }

  /** Notes when this node took over the roster of a peer. */
  noteAdopted(now: units.Instant): void {
    this.learntFloor = now;
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
    let since = this.learntAt(entry.holderSinceOffset);
    for (const left of this.members.departuresOf(service)) {
      const wasHome =
        left.nodeId === nodeId ||
        rendezvous.ranksBefore(key, left.nodeId, nodeId);
      if (wasHome) since = latest(since, this.learntAt(left.offset));
    }
    since = latest(since, this.historyStart(service));
    return {
      nodeId,
      sinceMs: since.epochMs,
      takeoverAtMs: since.monotonicMs + rosterLease.TAKEOVER_MS,
    };
  }

  /** Time before which ends of holding may have been forgotten. */
  private historyStart(service: string): units.Instant {
    const departures = this.members.departuresOf(service);
    return departures.length < roster.MAX_DEPARTURES
      ? NEVER
      : this.learntAt(departures[0].offset);
  }

  private learntAt(offset: number): units.Instant {
    return this.learnt.get(offset) ?? this.learntFloor;
  }
}

function latest(left: units.Instant, right: units.Instant): units.Instant {
  return left.monotonicMs >= right.monotonicMs ? left : right;
}
