/** Folds the roster records of the log into a member list that is equal on every node. */
import * as peer from '../../generated/peer.js';
import * as controlContract from '../control/control_contract.js';
import * as counters from '../counters.js';
import * as invariants from '../invariants.js';
import * as units from '../units.js';

/** Time in which every member refreshes its record, so that older records no longer matter. */
export const FULL_REFRESH_MS: units.Millis = 600_000;

/** Maximum number of members; equal on every node, as the result of the fold depends on it. */
export const MAX_MEMBERS = 10_000;

/** Maximum number of entries of gone members, which are kept to reject late records. */
export const MAX_TOMBSTONES = 1_000;

/** A roster record with its offset and time in the log. */
export interface PlacedRecord {
  readonly record: peer.RosterRecord;
  readonly member: peer.Member;
  readonly offset: number;
  readonly timeMs: units.EpochMs;
}

type Entries = readonly controlContract.RosterEntryState[];

/** Members according to the log, up to the last folded record. */
export class Roster {
  private entries = new Map<string, controlContract.RosterEntryState>();
  private services = new Map<string, Set<string>>();
  private readonly entriesCache = new Map<string, Entries>();
  private tombstones = 0;
  private changes = 0;
  /** Whether records are missing that may still matter. */
  private isPartial = false;
  private partialSinceMs: units.EpochMs | undefined;

  constructor(private readonly count: counters.Counters) {}

  /** Whether the roster includes every record that matters, up to the last folded one. */
  get complete(): boolean {
    return !this.isPartial;
  }

  /** Number of entries, including gone members. */
  get size(): number {
    return this.entries.size;
  }

  /** Number of membership changes so far on this node; increases with every change. */
  get memberChanges(): number {
    return this.changes;
  }

  /** Returns the entry of a node, even if it is gone. */
  entry(nodeId: string): controlContract.RosterEntryState | undefined {
    return this.entries.get(nodeId);
  }

  /** Returns the entries of a service, except gone members. */
  entriesOf(service: string): Entries {
    let found = this.entriesCache.get(service);
    if (found === undefined) {
      found = this.presentEntries([...(this.services.get(service) ?? [])]);
      this.entriesCache.set(service, found);
    }
    return found;
  }

  /** Returns all entries, except gone members. */
  all(): readonly controlContract.RosterEntryState[] {
    return [...this.entries.values()].filter(e => e.roster !== 'gone');
  }

  /** Returns all entries, including gone members, for transfer to a peer. */
  state(): Entries {
    return [...this.entries.values()];
  }

  /** Replaces the entries by the complete state of another node. */
  adopt(state: Entries): void {
    this.changes++;
    this.entries = new Map();
    this.services = new Map();
    this.entriesCache.clear();
    this.tombstones = 0;
    this.isPartial = false;
    this.partialSinceMs = undefined;
    for (const entry of state) this.put(entry);
  }

  /** Marks the roster incomplete: the log dropped records before they were read. */
  noteGap(): void {
    this.isPartial = true;
    this.partialSinceMs = undefined;
  }

  /** Folds a record; a malformed or outdated record changes no entry. */
  fold(placed: PlacedRecord): void {
    this.updateCompleteness(placed.timeMs);
    switch (placed.record.event) {
      case peer.RosterEvent.JOIN:
      case peer.RosterEvent.REFRESH:
        this.foldPresence(placed);
        return;
      case peer.RosterEvent.LEAVING:
        this.foldLeaving(placed);
        return;
      case peer.RosterEvent.GONE:
        this.foldGone(placed);
        return;
      case peer.RosterEvent.UNSPECIFIED:
      case peer.RosterEvent.UNRECOGNIZED:
        this.count.increment('malformed.log-record');
        return;
      default:
        invariants.assertNever(placed.record.event);
    }
  }

  /** Marks the roster complete once every member has refreshed its record since the gap. */
  private updateCompleteness(timeMs: units.EpochMs): void {
    if (!this.isPartial) return;
    this.partialSinceMs ??= timeMs;
    if (timeMs - this.partialSinceMs < FULL_REFRESH_MS) return;
    this.isPartial = false;
    this.partialSinceMs = undefined;
  }

  private foldPresence(placed: PlacedRecord): void {
    const {member, offset, timeMs} = placed;
    const current = this.entries.get(member.nodeId);
    if (!this.isNewerRecord(placed, current)) return;
    if (current === undefined && this.isFull()) return;
    const roster = 'joined';
    this.put({member, roster, offset, timeMs, selfTimeMs: timeMs});
  }

  private foldLeaving(placed: PlacedRecord): void {
    const current = this.entries.get(placed.member.nodeId);
    if (current === undefined || !this.isNewerRecord(placed, current)) return;
    this.put({
      member: placed.member,
      roster: 'leaving',
      offset: placed.offset,
      timeMs: placed.timeMs,
      selfTimeMs: placed.timeMs,
    });
  }

  private foldGone(placed: PlacedRecord): void {
    const {member, offset, timeMs} = placed;
    const current = this.entries.get(member.nodeId);
    if (current === undefined || current.roster === 'gone') return;
    if (current.member.incarnation !== member.incarnation) return;
    this.put({
      member: current.member,
      roster: 'gone',
      offset,
      timeMs,
      selfTimeMs: current.selfTimeMs,
    });
  }

  /** Whether a record was written by the member itself and is newer than `current`. */
  private isNewerRecord(
    placed: PlacedRecord,
    current: controlContract.RosterEntryState | undefined,
  ): boolean {
    const {member, record, timeMs} = placed;
    if (record.authorNodeId !== member.nodeId) {
      this.count.increment('malformed.log-record');
      return false;
    }
    if (current === undefined) return true;
    if (member.incarnation !== current.member.incarnation) {
      return member.incarnation > current.member.incarnation;
    }
    return timeMs > current.selfTimeMs;
  }

  private put(entry: controlContract.RosterEntryState): void {
    const {nodeId, service} = entry.member;
    const old = this.entries.get(nodeId);
    if (
      old?.roster !== entry.roster ||
      old.member.incarnation !== entry.member.incarnation
    ) {
      this.changes++;
    }
    if (old?.roster === 'gone') this.tombstones--;
    if (old && old.member.service !== service) {
      this.services.get(old.member.service)?.delete(nodeId);
      this.invalidateCache(old.member.service);
    }
    this.invalidateCache(service);
    this.entries.delete(nodeId);
    this.entries.set(nodeId, entry);
    const members = this.services.get(service) ?? new Set();
    this.services.set(service, members.add(nodeId));
    if (entry.roster === 'gone') this.tombstones++;
    this.dropOldestTombstone();
  }

  private invalidateCache(service: string): void {
    this.entriesCache.delete(service);
  }

  private dropOldestTombstone(): void {
    if (this.tombstones <= MAX_TOMBSTONES) return;
    for (const entry of this.entries.values()) {
      if (entry.roster !== 'gone') continue;
      this.entries.delete(entry.member.nodeId);
      this.services.get(entry.member.service)?.delete(entry.member.nodeId);
      this.invalidateCache(entry.member.service);
      this.tombstones--;
      return;
    }
  }

  private isFull(): boolean {
    if (this.entries.size - this.tombstones < MAX_MEMBERS) return false;
    this.count.increment('roster.full');
    return true;
  }

  private presentEntries(
    nodeIds: readonly string[],
  ): readonly controlContract.RosterEntryState[] {
    return nodeIds.flatMap(nodeId => {
      const entry = this.entries.get(nodeId);
      return entry && entry.roster !== 'gone' ? [entry] : [];
    });
  }
}
