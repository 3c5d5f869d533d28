/** In-memory fake of the platform's log. */
import * as peer from '../../src/generated/peer.js';
import * as controlContract from '../../src/common/control/control_contract.js';

/** Log with offsets and retention; outages and lost answers are simulated by the fleet. */
export class VirtualLog {
  /** All records ever appended, including those that retention dropped. */
  readonly appendedRecords: controlContract.StoredRecord[] = [];
  firstOffset = 0;
  reachable = true;
  /** Read requests, counted by the fleet. */
  reads = 0;
  recordsRead = 0;
  private readonly appendListeners = new Set<() => void>();

  /** Called with each record as it is stored. */
  onStored: (record: controlContract.StoredRecord) => void = () => {};

  /** Stores a record and returns its offset. */
  append(record: peer.LogRecord): number {
    const offset = this.appendedRecords.length;
    const stored = {offset, bytes: peer.LogRecord.encode(record).finish()};
    this.appendedRecords.push(stored);
    this.onStored(stored);
    for (const wake of [...this.appendListeners]) wake();
    this.appendListeners.clear();
    return offset;
  }

  /** Drops all but the newest `count` records. */
  retainNewest(count: number): void {
    this.firstOffset = Math.max(
      this.firstOffset,
      this.appendedRecords.length - count,
    );
  }

  /** Returns up to `limit` retained records, starting at the offset `from`. */
  page(from: number, limit: number): controlContract.LogPage {
    const start = Math.max(from, this.firstOffset);
    const records = this.appendedRecords.slice(start, start + limit);
    const {firstOffset} = this;
    this.recordsRead += records.length;
    return {records, firstOffset, nextOffset: start + records.length};
  }

  /** Whether a read from `offset` has something to return: a record, or a gap to report. */
  hasRecordsFrom(offset: number): boolean {
    return this.appendedRecords.length > offset || this.firstOffset > offset;
  }

  /** Calls `wake` once, at the next append. */
  onceAppended(wake: () => void): void {
    this.appendListeners.add(wake);
  }
}
