/** Fold of the log's roster records: members, alike on every node. */
import * as peer from '../../generated/peer.js';
import * as control from '../control/control_contract.js';
import * as counters from '../counters.js';
import * as invariants from '../invariants.js';
import * as units from '../units.js';

/** Time in which every member refreshes its record, so that older ones matter no more. */
export const REFRESHED_ALL_MS: units.Millis = 600_000;

/** Most members kept; the same on every node, because the fold depends on it. */
export const MAX_MEMBERS = 10_000;

/** Most entries of gone members kept to fence late records. */
export const MAX_TOMBSTONES = 1_000;

/** Record of the roster with its place in the log. */
export interface PlacedRecord {
  readonly record: peer.RosterRecord;
  readonly member: peer.Member;
  readonly offset: number;
  readonly timeMs: units.EpochMs;
}

type Entries = readonly control.RosterEntryState[];

/** Members by the log up to an offset. */
export class Roster {
  private entries = new Map<string, control.RosterEntryState>();
  private services = new Map<string, Set<string>>();
  private readonly entriesCache = new Map<string, Entries>();
  private tombstones = 0;
  private changes = 0;
  /** Whether records that may still matter are missing. */
  private partial = false;
  private partialSinceMs: units.EpochMs | undefined;

  constructor(private readonly count: counters.Counters) {}

  /** Whether the roster accounts for every record up to the folded offset. */
  get complete(): boolean {
    return !this.partial;
  }

  /** Number of entries, gone members included. */
  get size(): number {
    return this.entries.size;
  }

  /** Number of joins, restarts, leavings and ends so far on this node. */
  get memberChanges(): number {
    return this.changes;
  }

  /** Returns the entry of a node, gone ones included. */
  entry(nodeId: string): control.RosterEntryState | undefined {
    return this.entries.get(nodeId);
  }

  /** Entries of a service that have not gone. */
  entriesOf(service: string): Entries {
    let found = this.entriesCache.get(service);
    if (found === undefined) {
      found = this.present([...(this.services.get(service) ?? [])]);
      this.entriesCache.set(service, found);
    }
    return found;
  }

  /** All entries that have not gone. */
  all(): readonly control.RosterEntryState[] {
    return [...this.entries.values()].filter(e => e.roster !== 'gone');
  }

  /** Returns the state for a peer, gone members included. */
  state(): Entries {
    return [...this.entries.values()];
  }

  /** Takes the complete state of another node in place of this one. */
  adopt(state: Entries): void {
    this.changes++;
    this.entries = new Map();
    this.services = new Map();
    this.entriesCache.clear();
    this.tombstones = 0;
    this.partial = false;
    this.partialSinceMs = undefined;
    for (const entry of state) this.put(entry);
  }

  /** Notes that the log has dropped records before they were read. */
  noteGap(): void {
    this.partial = true;
    this.partialSinceMs = undefined;
  }

  /** Folds a record; one that is malformed or out of date changes nothing. */
  fold(placed: PlacedRecord): void {
    this.noteProgress(placed.timeMs);
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

  /** After a span in which every member has refreshed, nothing older can matter. */
  private noteProgress(timeMs: units.EpochMs): void {
    if (!this.partial) return;
    this.partialSinceMs ??= timeMs;
    if (timeMs - this.partialSinceMs < REFRESHED_ALL_MS) return;
    this.partial = false;
    this.partialSinceMs = undefined;
  }

  private foldPresence(placed: PlacedRecord): void {
    const {member, offset, timeMs} = placed;
    const current = this.entries.get(member.nodeId);
    if (!this.isNewsOfItself(placed, current)) return;
    if (current === undefined && this.isFull()) return;
    const roster = 'joined';
    this.put({member, roster, offset, timeMs, selfTimeMs: timeMs});
  }

  private foldLeaving(placed: PlacedRecord): void {
    const current = this.entries.get(placed.member.nodeId);
    if (current === undefined || !this.isNewsOfItself(placed, current)) return;
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

  /** Whether a record that a member writes about itself is its newest. */
  private isNewsOfItself(
    placed: PlacedRecord,
    current: control.RosterEntryState | undefined,
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

  private put(entry: control.RosterEntryState): void {
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
      this.dropCaches(old.member.service);
    }
    this.dropCaches(service);
    this.entries.delete(nodeId);
    this.entries.set(nodeId, entry);
    const members = this.services.get(service) ?? new Set();
    this.services.set(service, members.add(nodeId));
    if (entry.roster === 'gone') this.tombstones++;
    this.dropOldTombstones();
  }

  private dropCaches(service: string): void {
    this.entriesCache.delete(service);
  }

  private dropOldTombstones(): void {
    if (this.tombstones <= MAX_TOMBSTONES) return;
    for (const entry of this.entries.values()) {
      if (entry.roster !== 'gone') continue;
      this.entries.delete(entry.member.nodeId);
      this.services.get(entry.member.service)?.delete(entry.member.nodeId);
      this.dropCaches(entry.member.service);
      this.tombstones--;
      return;
    }
  }

  private isFull(): boolean {
    if (this.entries.size - this.tombstones < MAX_MEMBERS) return false;
    this.count.increment('roster.full');
    return true;
  }

  private present(
    nodeIds: readonly string[],
  ): readonly control.RosterEntryState[] {
    return nodeIds.flatMap(nodeId => {
      const entry = this.entries.get(nodeId);
      return entry && entry.roster !== 'gone' ? [entry] : [];
    });
  }
}
