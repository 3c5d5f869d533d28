/** The platform's log in virtual time: offsets, retention, outages, lost answers. */
import * as peer from '../../src/generated/peer.js';
import * as control from '../../src/common/control/control_contract.js';

export class VirtualLog {
  readonly all: control.StoredRecord[] = [];
  firstOffset = 0;
  reachable = true;
  reads = 0;
  recordsRead = 0;
  private readonly waiting = new Set<() => void>();

  /** Called with each record as it is stored. */
  onStored: (record: control.StoredRecord) => void = () => {};

  append(record: peer.LogRecord): number {
    const offset = this.all.length;
    const stored = {offset, bytes: peer.LogRecord.encode(record).finish()};
    this.all.push(stored);
    this.onStored(stored);
    for (const wake of [...this.waiting]) wake();
    this.waiting.clear();
    return offset;
  }

  /** Drops all but the newest `count` records. */
  retain(count: number): void {
    this.firstOffset = Math.max(this.firstOffset, this.all.length - count);
  }

  page(from: number, limit: number): control.LogPage {
    const start = Math.max(from, this.firstOffset);
    const records = this.all.slice(start, start + limit);
    const {firstOffset} = this;
    this.recordsRead += records.length;
    return {records, firstOffset, nextOffset: start + records.length};
  }

  hasFrom(offset: number): boolean {
    return this.all.length > offset || this.firstOffset > offset;
  }

  /** Calls back once at the next append. */
  wait(wake: () => void): void {
    this.waiting.add(wake);
  }
}
