/** Addresses of the nodes of the fleet. */
import * as emitter from '../../common/emitter.js';
import * as serving from '../../generated/serving.js';

/** The records of this node and of all other nodes known to it. */
export class FleetDirectory implements Disposable {
  private readonly records = new Map<string, serving.NodeRecord>();
  /** Nodes that were reached at their addresses, so that their records are known to be true. */
  private readonly linked = new Set<string>();
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

  /** Returns the records of a service's nodes, this one first if it is one of them. */
  ofService(service: string): readonly serving.NodeRecord[] {
    const found = this.own.service === service ? [this.own] : [];
    for (const record of this.records.values()) {
      if (record.service === service) found.push(record);
    }
    return found;
  }

  /** Returns another node's record, undefined if not known. */
  get(nodeId: string): serving.NodeRecord | undefined {
    return this.records.get(nodeId);
  }

  /** Records whether a node is at its address: a link has opened and not failed to reopen. */
  setLinked(nodeId: string, linked: boolean): void {
    if (linked) this.linked.add(nodeId);
    else this.linked.delete(nodeId);
  }

  /**
   * Adds or updates a record that the node itself has sent; removes another node that had the same
   * address.
   */
  put(record: serving.NodeRecord): void {
    if (!this.isNews(record)) return;
    for (const {nodeId} of this.displacedBy(record)) {
      if (nodeId !== record.nodeId) this.remove(nodeId);
    }
    this.records.set(record.nodeId, record);
    this.changes.fire(record);
  }

  /**
   * Adds or updates a record of the store or of another node; ignored if it contradicts a node
   * that was reached at its address. The store keeps records of nodes that are gone, whose
   * addresses others may have got.
   */
  putReported(record: serving.NodeRecord): void {
    const displaced = this.displacedBy(record);
    if (displaced.some(({nodeId}) => this.linked.has(nodeId))) return;
    this.put(record);
  }

  /** Removes a node. */
  remove(nodeId: string): void {
    if (this.records.delete(nodeId)) this.removals.fire(nodeId);
  }

  [Symbol.dispose](): void {
    this.changes[Symbol.dispose]();
    this.removals[Symbol.dispose]();
  }

  /** Whether a record is complete, of another node, and not yet known. */
  private isNews(record: serving.NodeRecord): boolean {
    const {own} = this;
    if (record.nodeId === own.nodeId || !isComplete(record)) return false;
    if (hasSameAddress(record, own)) return false;
    const known = this.records.get(record.nodeId);
    return known === undefined || !isSame(known, record);
  }

  /** Returns the known records that cannot be true beside a record. */
  private displacedBy(
    record: serving.NodeRecord,
  ): readonly serving.NodeRecord[] {
    return this.others.filter(
      other =>
        !isSame(other, record) &&
        (other.nodeId === record.nodeId || hasSameAddress(other, record)),
    );
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

function hasSameAddress(a: serving.NodeRecord, b: serving.NodeRecord): boolean {
  return a.ip === b.ip && a.port === b.port;
}

function isComplete(record: serving.NodeRecord): boolean {
  const {nodeId, ip, port, service} = record;
  return nodeId !== '' && ip !== '' && port > 0 && service !== '';
}
