/** Addresses of the nodes of the fleet. */
import * as emitter from '../../common/emitter.js';
import * as errors from '../../common/errors.js';
import * as serving from '../../generated/serving.js';
import * as nodeRecord from './node_record.js';

/** A record that has no effect. */
export interface IgnoredRecord {
  /** Key of the record, or id of the node that it is about. */
  readonly key: string;
  readonly err: errors.MalformedInputError;
}

/** The records of this node and of all other nodes known to it. */
export class FleetDirectory implements Disposable {
  private readonly records = new Map<string, nodeRecord.NodeRecord>();
  /** Nodes that were reached at their addresses, so that their records are known to be true. */
  private readonly linked = new Set<string>();
  private readonly changes = new emitter.Emitter<nodeRecord.NodeRecord>();
  private readonly removals = new emitter.Emitter<string>();
  private readonly ignored = new emitter.Emitter<IgnoredRecord>();

  /** A record is new or has changed. */
  readonly onChanged = this.changes.event;

  /** A record was removed; fires with the node id. */
  readonly onRemoved = this.removals.event;

  /** A record was ignored, as it names no node. */
  readonly onIgnored = this.ignored.event;

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
  get others(): readonly nodeRecord.NodeRecord[] {
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
  get(nodeId: string): nodeRecord.NodeRecord | undefined {
    return this.records.get(nodeId);
  }

  /** Whether another node is known to be in the data centre of this one. */
  isNear(nodeId: string): boolean {
    return this.get(nodeId)?.dataCentre === this.own.dataCentre;
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
    const checked = this.checkedNews(record);
    if (checked !== undefined) this.set(checked);
  }

  /**
   * Adds or updates a record of the store or of another node; ignored if it contradicts a node
   * that was reached at its address. The store keeps records of nodes that are gone, whose
   * addresses others may have got.
   */
  putReported(record: serving.NodeRecord): void {
    const checked = this.checkedNews(record);
    if (checked === undefined) return;
    const displaced = this.displacedBy(checked);
    if (displaced.some(({nodeId}) => this.linked.has(nodeId))) return;
    this.set(checked);
  }

  /** Reports a record that names no node and is not to be added. */
  ignore(key: string, err: errors.MalformedInputError): void {
    this.ignored.fire({key, err});
  }

  /** Removes a node. */
  remove(nodeId: string): void {
    if (this.records.delete(nodeId)) this.removals.fire(nodeId);
  }

  [Symbol.dispose](): void {
    this.changes[Symbol.dispose]();
    this.removals[Symbol.dispose]();
    this.ignored[Symbol.dispose]();
  }

  /** Returns a record that names another node and is not yet known. */
  private checkedNews(
    record: serving.NodeRecord,
  ): nodeRecord.NodeRecord | undefined {
    const {own} = this;
    if (record.nodeId === own.nodeId) return undefined;
    if (hasSameAddress(record, own)) return undefined;
    const known = this.records.get(record.nodeId);
    if (known !== undefined && isSame(known, record)) return undefined;
    try {
      return nodeRecord.check(record);
    } catch (err) {
      if (!(err instanceof errors.MalformedInputError)) throw err;
      this.ignore(record.nodeId, err);
      return undefined;
    }
  }

  private set(record: nodeRecord.NodeRecord): void {
    for (const {nodeId} of this.displacedBy(record)) {
      if (nodeId !== record.nodeId) this.remove(nodeId);
    }
    this.records.set(record.nodeId, record);
    this.changes.fire(record);
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
