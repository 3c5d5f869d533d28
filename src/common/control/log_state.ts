/** State derived from the log: the folds, their offset and the newest records. */
import * as peer from '../../generated/peer.js';
import * as configurationFold from '../configuration/configuration_fold.js';
import * as counters from '../counters.js';
import * as invariants from '../invariants.js';
import * as roster from '../membership/roster.js';
import * as units from '../units.js';
import * as base64 from './base64.js';
import * as controlContract from './control_contract.js';

/** Maximum number of records kept to bring peers up to date. */
export const MAX_RECENT_RECORDS = 1_024;

/** A decoded record that was folded. */
export interface FoldedRecord {
  readonly offset: number;
  readonly record: peer.LogRecord;
}

const SITE = {step: 'fold log', peer: 'log'};

/** Folds the log into configuration and roster. */
export class LogState {
  readonly configuration: configurationFold.ConfigurationFold;
  readonly roster: roster.Roster;
  private next = 0;
  private highestSeen = 0;
  private recent: controlContract.StoredRecord[] = [];

  constructor(
    private readonly invariants: invariants.Invariants,
    private readonly counters: counters.Counters,
  ) {
    this.configuration = new configurationFold.ConfigurationFold(
      invariants,
      counters,
    );
    this.roster = new roster.Roster(counters);
  }

  /** Offset up to which the log has been folded, exclusive. */
  get nextOffset(): number {
    return this.next;
  }

  /** Highest offset up to which this node has ever folded, exclusive. */
  get seenOffset(): number {
    return this.highestSeen;
  }

  /** Whether every record below the offset is accounted for. */
  get complete(): boolean {
    return this.configuration.complete && this.roster.complete;
  }

  /** Folds a page of the log; returns the new records. */
  foldPage(page: controlContract.LogPage): readonly FoldedRecord[] {
    if (page.firstOffset > this.next) this.skipTo(page);
    const folded = this.foldRecords(page.records);
    this.advance(Math.max(this.next, page.firstOffset));
    return folded;
  }

  /** Adopts a peer's state; returns the new records if the state contains records. */
  adopt(state: controlContract.PeerState): readonly FoldedRecord[] {
    if (state.records !== undefined) {
      const records = this.tryDecode(() => state.records?.map(decodeStored));
      return this.foldRecords(records ?? []);
    }
    if (!state.complete) return [];
    const snapshot = this.tryDecode(() => snapshotOf(state));
    if (snapshot === undefined) return [];
    if (state.rosterOffset > this.next) this.adoptAhead(state, snapshot);
    else if (!this.complete) this.adoptBehind(state, snapshot);
    return [];
  }

  /** Returns records for a peer at `fromOffset` if all are still kept, else the whole state. */
  peerState(
    nodeId: string,
    fromOffset: number | undefined,
    logAgeMs: units.Millis,
    provisional: readonly peer.ProvisionalMember[],
  ): Omit<controlContract.PeerState, 'suspects'> {
    const common = {nodeId, rosterOffset: this.next, logAgeMs, provisional};
    const records =
      fromOffset === undefined ? undefined : this.recordsFrom(fromOffset);
    if (records !== undefined) {
      return {...common, roster: [], complete: false, records};
    }
    return {
      ...common,
      roster: this.roster.state(),
      complete: this.complete,
      snapshotBase64: this.snapshotBase64(),
    };
  }

  private snapshotBase64(): string | undefined {
    if (this.configuration.revision === 0 || this.next === 0) return undefined;
    const snapshot = this.configuration.snapshot(this.next - 1);
    return base64.encode(peer.ConfigurationSnapshot.encode(snapshot).finish());
  }

  /** Returns the records from an offset on, undefined if some of them are no longer kept. */
  private recordsFrom(
    fromOffset: number,
  ): readonly controlContract.EncodedRecord[] | undefined {
    if (!this.keepsFrom(fromOffset)) return undefined;
    return this.recent
      .filter(r => r.offset >= fromOffset)
      .map(r => ({offset: r.offset, bytesBase64: base64.encode(r.bytes)}));
  }

  private keepsFrom(offset: number): boolean {
    if (offset > this.next) return false;
    const oldest = this.recent.length > 0 ? this.recent[0].offset : this.next;
    return offset >= oldest;
  }

  /** Skips records that the log no longer holds; not a gap if node and log are both empty. */
  private skipTo(page: controlContract.LogPage): void {
    const isEmpty = this.next === 0 && this.roster.size === 0;
    const isPageEmpty = page.records.length === 0;
    this.recent = [];
    if (!(isEmpty && isPageEmpty)) {
      this.counters.increment('log.gap');
      this.configuration.skipTo(page.firstOffset);
      this.roster.noteGap();
    }
    this.advance(page.firstOffset);
  }

  private foldRecords(
    records: readonly controlContract.StoredRecord[],
  ): readonly FoldedRecord[] {
    const folded: FoldedRecord[] = [];
    for (const stored of records) {
      if (stored.offset < this.next) continue;
      if (stored.offset > this.next) break;
      this.keep(stored);
      this.advance(stored.offset + 1);
      const record = this.decode(stored);
      if (record === undefined) continue;
      this.foldRecord(record, stored.offset);
      folded.push({offset: stored.offset, record});
    }
    return folded;
  }

  private foldRecord(record: peer.LogRecord, offset: number): void {
    switch (record.body?.$case) {
      case 'change':
        this.configuration.foldChange(record.body.value, offset);
        return;
      case 'snapshot':
        this.configuration.foldSnapshot(record.body.value);
        return;
      case 'roster':
        this.foldRoster(record, record.body.value, offset);
        return;
      case undefined:
        this.counters.increment('malformed.log-record');
        return;
      default:
        invariants.assertNever(record.body);
    }
  }

  private foldRoster(
    record: peer.LogRecord,
    body: peer.RosterRecord,
    offset: number,
  ): void {
    const {member} = body;
    if (member === undefined || member.nodeId === '') {
      this.counters.increment('malformed.log-record');
      return;
    }
    this.roster.fold({record: body, member, offset, timeMs: record.timeMs});
  }

  private adoptAhead(
    state: controlContract.PeerState,
    snapshot: peer.ConfigurationSnapshot,
  ): void {
    if (!this.configuration.adopt(snapshot)) return;
    this.roster.adopt(state.roster);
    this.recent = [];
    this.advance(state.rosterOffset);
  }

  /** Fills the gap before the records that this node has already folded. */
  private adoptBehind(
    state: controlContract.PeerState,
    snapshot: peer.ConfigurationSnapshot,
  ): void {
    this.configuration.foldSnapshot(snapshot);
    if (this.roster.complete || !this.keepsFrom(state.rosterOffset)) return;
    this.roster.adopt(state.roster);
    for (const stored of this.recent) {
      if (stored.offset < state.rosterOffset) continue;
      const record = this.decode(stored);
      if (record?.body?.$case !== 'roster') continue;
      this.foldRoster(record, record.body.value, stored.offset);
    }
  }

  private keep(stored: controlContract.StoredRecord): void {
    this.recent.push(stored);
    if (this.recent.length > MAX_RECENT_RECORDS) this.recent.shift();
  }

  private decode(
    stored: controlContract.StoredRecord,
  ): peer.LogRecord | undefined {
    return this.tryDecode(() => peer.LogRecord.decode(stored.bytes));
  }

  private tryDecode<T>(decode: () => T): T | undefined {
    try {
      return decode();
    } catch {
      this.counters.increment('malformed.log-record');
      return undefined;
    }
  }

  private advance(offset: number): void {
    this.invariants.check(
      offset >= this.next,
      SITE,
      `offset decreased to ${offset}`,
    );
    this.next = offset;
    this.highestSeen = Math.max(this.highestSeen, offset);
  }
}

function decodeStored(
  record: controlContract.EncodedRecord,
): controlContract.StoredRecord {
  return {offset: record.offset, bytes: base64.decode(record.bytesBase64)};
}

function snapshotOf(
  state: controlContract.PeerState,
): peer.ConfigurationSnapshot {
  if (state.snapshotBase64 === undefined) {
    return {
      revision: 0,
      throughOffset: state.rosterOffset - 1,
      configurationJson: '',
      outcomes: [],
    };
  }
  return peer.ConfigurationSnapshot.decode(base64.decode(state.snapshotBase64));
}
