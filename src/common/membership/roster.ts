/** Fold of the log's roster records: members and key holders, alike on every node. */
import * as peer from '../../generated/peer.js';
import * as control from '../control/control_contract.js';
import * as counters from '../counters.js';
import * as invariants from '../invariants.js';
import * as units from '../units.js';

/** Silence in the log after which a joiner starts the key memory of its service anew. */
export const HOLDER_RESET_MS: units.Millis = 600_000;

/** Most members kept; the same on every node, because the fold depends on it. */
export const MAX_MEMBERS = 10_000;

/** Most entries of gone members kept to fence late records. */
export const MAX_TOMBSTONES = 1_000;

/** Most ends of holding kept for each service. */
export const MAX_DEPARTURES = 64;

/** Record of the roster with its place in the log. */
export interface PlacedRecord {
  readonly record: peer.RosterRecord;
  readonly member: peer.Member;
  readonly offset: number;
  readonly timeMs: units.EpochMs;
}

/** State of the roster as peers exchange it. */
export interface RosterState {
  readonly entries: readonly control.RosterEntryState[];
  readonly departures: readonly control.HolderDeparture[];
}

type Entries = readonly control.RosterEntryState[];

/** Members and key holders by the log up to an offset. */
export class Roster {
  private entries = new Map<string, control.RosterEntryState>();
  private services = new Map<string, Set<string>>();
  private departures = new Map<string, control.HolderDeparture[]>();
  private readonly entriesCache = new Map<string, Entries>();
  private readonly holdersCache = new Map<string, Entries>();
  private tombstones = 0;
  private changes = 0;
  /** First offset from which every record has been folded, undefined if none is missing. */
  private partialFrom: number | undefined;
  private partialSinceMs: units.EpochMs | undefined;

  constructor(private readonly count: counters.Counters) {}

  /** Whether the roster accounts for every record up to the folded offset. */
  get complete(): boolean {
    return this.partialFrom === undefined;
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

  /** Key holders of a service. */
  holdersOf(service: string): Entries {
    let found = this.holdersCache.get(service);
    if (found === undefined) {
      found = this.entriesOf(service).filter(isHolder);
      this.holdersCache.set(service, found);
    }
    return found;
  }

  /** Recent ends of holding in a service, oldest first. */
  departuresOf(service: string): readonly control.HolderDeparture[] {
    return this.departures.get(service) ?? [];
  }

  /** Returns the state for a peer. */
  state(): RosterState {
    return {
      entries: [...this.entries.values()],
      departures: [...this.departures.values()].flat(),
    };
  }

  /** Takes the complete state of another node in place of this one. */
  adopt(state: RosterState): void {
    this.changes++;
    this.entries = new Map();
    this.services = new Map();
    this.departures = new Map();
    this.entriesCache.clear();
    this.holdersCache.clear();
    this.tombstones = 0;
    this.partialFrom = undefined;
    this.partialSinceMs = undefined;
    for (const entry of state.entries) this.put(entry);
    for (const departure of state.departures) this.depart(departure);
  }

  /** Notes that records below `firstOffset` are missing. */
  skipTo(firstOffset: number): void {
    this.partialFrom = firstOffset;
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
      case peer.RosterEvent.ADMIT:
        this.foldAdmit(placed);
        return;
      case peer.RosterEvent.UNSPECIFIED:
      case peer.RosterEvent.UNRECOGNIZED:
        this.count.increment('malformed.log-record');
        return;
      default:
        invariants.assertNever(placed.record.event);
    }
  }

  /** After a span in which every holder has refreshed, nothing older can matter. */
  private noteProgress(timeMs: units.EpochMs): void {
    if (this.partialFrom === undefined) return;
    this.partialSinceMs ??= timeMs;
    if (timeMs - this.partialSinceMs < HOLDER_RESET_MS) return;
    this.partialFrom = undefined;
    this.partialSinceMs = undefined;
  }

  private foldPresence(placed: PlacedRecord): void {
    const {member, record, offset, timeMs} = placed;
    const current = this.entries.get(member.nodeId);
    if (!this.isNewsOfItself(placed, current)) return;
    if (current === undefined && this.isFull()) return;
    const restarted =
      current !== undefined && current.member.incarnation < member.incarnation;
    if (restarted) this.endHolding(current, placed);
    const kept =
      current?.roster === 'joined' && !restarted ? holding(current) : {};
    this.put({
      member,
      roster: 'joined',
      offset,
      timeMs,
      selfTimeMs: timeMs,
      ...kept,
    });
    if (record.event === peer.RosterEvent.JOIN) this.startIfUnheld(placed);
    else this.restateHolding(placed);
  }

  /** The first member of a service without holders starts its key memory. */
  private startIfUnheld(placed: PlacedRecord): void {
    if (!this.complete) return;
    const {service} = placed.member;
    for (const holder of this.holdersOf(service)) {
      if (placed.timeMs - holder.selfTimeMs < HOLDER_RESET_MS) return;
    }
    for (const holder of this.holdersOf(service)) {
      this.endHolding(holder, placed);
    }
    this.startHolding(placed.member.nodeId, placed.offset, placed.timeMs);
  }

  /** Takes a holder's own statement where the records it rests on have been dropped. */
  private restateHolding(placed: PlacedRecord): void {
    const {record, member} = placed;
    if (this.partialFrom === undefined || !record.holder) return;
    if (record.basisOffset < this.partialFrom) return;
    this.startHolding(
      member.nodeId,
      record.holderSinceOffset,
      record.holderSinceMs,
    );
  }

  private foldLeaving(placed: PlacedRecord): void {
    const current = this.entries.get(placed.member.nodeId);
    if (current === undefined || !this.isNewsOfItself(placed, current)) return;
    this.endHolding(current, placed);
    this.put({
      member: placed.member,
      roster: 'leaving',
      offset: placed.offset,
      timeMs: placed.timeMs,
      selfTimeMs: placed.timeMs,
    });
  }

  /** A holder is declared gone by another holder of its service only. */
  private foldGone(placed: PlacedRecord): void {
    const {member, record, offset, timeMs} = placed;
    const current = this.entries.get(member.nodeId);
    if (current === undefined || current.roster === 'gone') return;
    if (current.member.incarnation !== member.incarnation) return;
    const mayEnd =
      !isHolder(current) ||
      record.authorNodeId === member.nodeId ||
      this.isHolderOf(record.authorNodeId, current.member.service);
    if (!mayEnd) return;
    this.endHolding(current, placed);
    this.put({
      member: current.member,
      roster: 'gone',
      offset,
      timeMs,
      selfTimeMs: current.selfTimeMs,
    });
  }

  private foldAdmit(placed: PlacedRecord): void {
    const {member, record, offset, timeMs} = placed;
    const current = this.entries.get(member.nodeId);
    if (current?.roster !== 'joined' || isHolder(current)) return;
    if (current.member.incarnation !== member.incarnation) return;
    if (!this.isHolderOf(record.authorNodeId, current.member.service)) return;
    this.startHolding(member.nodeId, offset, timeMs);
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

  private isHolderOf(nodeId: string, service: string): boolean {
    const entry = this.entries.get(nodeId);
    return (
      entry !== undefined && isHolder(entry) && entry.member.service === service
    );
  }

  private startHolding(
    nodeId: string,
    holderSinceOffset: number,
    holderSinceMs: units.EpochMs,
  ): void {
    const entry = this.entries.get(nodeId);
    if (entry) this.put({...entry, holderSinceOffset, holderSinceMs});
  }

  private endHolding(
    entry: control.RosterEntryState,
    placed: PlacedRecord,
  ): void {
    if (!isHolder(entry)) return;
    const {member, roster, offset, timeMs, selfTimeMs} = entry;
    this.put({member, roster, offset, timeMs, selfTimeMs});
    this.depart({
      service: member.service,
      nodeId: member.nodeId,
      offset: placed.offset,
      timeMs: placed.timeMs,
    });
  }

  private depart(departure: control.HolderDeparture): void {
    const list = this.departures.get(departure.service) ?? [];
    list.push(departure);
    if (list.length > MAX_DEPARTURES) list.shift();
    this.departures.set(departure.service, list);
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
    this.holdersCache.delete(service);
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

/** Whether an entry holds keys. */
export function isHolder(entry: control.RosterEntryState): boolean {
  return entry.holderSinceOffset !== undefined;
}

function holding(
  entry: control.RosterEntryState,
): Pick<control.RosterEntryState, 'holderSinceOffset' | 'holderSinceMs'> {
  if (!isHolder(entry)) return {};
  const {holderSinceOffset, holderSinceMs} = entry;
  return {holderSinceOffset, holderSinceMs};
}
