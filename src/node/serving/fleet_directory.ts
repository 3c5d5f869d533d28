/** Addresses of the nodes of the fleet. */
import * as emitter from '../../common/emitter.js';
import * as serving from '../../generated/serving.js';

/** The records of this node and of all other nodes known to it. */
export class FleetDirectory implements Disposable {
  private readonly records = new Map<string, serving.NodeRecord>();
  private readonly changes = new emitter.Emitter<serving.NodeRecord>();
  private readonly removals = new emitter.Emitter<string>();

  /** A record is new or has changed. */
  readonly onChanged = this.changes.event;

  /** A record was removed; fires with the node id. */
  readonly onRemoved = this.removals.event;

  constructor(private own: serving.NodeRecord) {}

  /** Record of this node. */
  get self(): serving.NodeRecord {
    return this.own;
  }

  /** Sets the record of this node. */
  setSelf(record: serving.NodeRecord): void {
    this.own = record;
  }

  /** Number of nodes, this one included. */
  get size(): number {
    return this.records.size + 1;
  }

  /** The other nodes. */
  get others(): readonly serving.NodeRecord[] {
    return [...this.records.values()];
  }

  /** Returns another node's record, undefined if not known. */
  get(nodeId: string): serving.NodeRecord | undefined {
    return this.records.get(nodeId);
  }

  /** Adds or updates a record; removes another node that had the same address. */
  put(record: serving.NodeRecord): void {
    if (record.nodeId === this.own.nodeId || !isComplete(record)) return;
    if (record.ip === this.own.ip && record.port === this.own.port) return;
    const known = this.records.get(record.nodeId);
    if (known !== undefined && isSame(known, record)) return;
    for (const other of this.records.values()) {
      const sameAddr = other.ip === record.ip && other.port === record.port;
      if (sameAddr && other.nodeId !== record.nodeId) this.remove(other.nodeId);
    }
    this.records.set(record.nodeId, record);
    this.changes.fire(record);
  }

  /** Removes a node. */
  remove(nodeId: string): void {
    if (this.records.delete(nodeId)) this.removals.fire(nodeId);
  }

  [Symbol.dispose](): void {
    this.changes[Symbol.dispose]();
    this.removals[Symbol.dispose]();
  }
}

/** Whether two records are equal. */
export function isSame(a: serving.NodeRecord, b: serving.NodeRecord): boolean {
  return (
    a.nodeId === b.nodeId &&
    a.ip === b.ip &&
    a.port === b.port &&
    a.service === b.service &&
    a.dataCentre === b.dataCentre
  );
}

function isComplete(record: serving.NodeRecord): boolean {
  const {nodeId, ip, port, service} = record;
  return nodeId !== '' && ip !== '' && port > 0 && service !== '';
}
