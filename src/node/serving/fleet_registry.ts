/** Registers this node in the store and reads the records of other nodes. */
import * as decision from '../../common/serving/decision.js';
import * as errors from '../../common/errors.js';
import * as units from '../../common/units.js';
import * as serving from '../../generated/serving.js';
import * as abortablePause from '../abortable_pause.js';
import * as linkedAbort from '../linked_abort.js';
import * as platformAdapter from './platform_adapter.js';
import * as fleetDirectory from './fleet_directory.js';
import * as storeLoop from './store_loop.js';

/** Backoff after a failed call; doubled after each further failure. */
const FIRST_BACKOFF_MS: units.Millis = 200;
export const MAX_BACKOFF_MS: units.Millis = 4_000;

/** Interval of reads, for nodes whose greetings have not arrived. */
const REFRESH_INTERVAL_MS: units.Millis = 30_000;

/** Time over which the nodes of the fleet read again after the store has returned from a copy. */
const RETURN_SPREAD_MS: units.Millis = 1_000;

const KEY_PREFIX = 'node/';

/** Dependencies of `FleetRegistry`. */
export interface FleetRegistryOptions {
  readonly store: platformAdapter.SharedStore;
  readonly directory: fleetDirectory.FleetDirectory;
  readonly log: decision.DecisionLog;
  random(): number;
  /** The records of all nodes were read. */
  onRead(): void;
}

/**
 * Writes this node's record before it reads all records, so that of two nodes that start at the
 * same time at least the later writer reads the other's record. Nodes that it connects to learn its
 * record from the greeting, so no node has to follow the topic. When the store has returned from an
 * older copy, the records are read again and this node's one is written again if it was lost.
 */
export class FleetRegistry implements AsyncDisposable {
  private readonly loop: storeLoop.StoreLoop;
  /** Own record as last written or read, undefined if the store lacks it or has another one. */
  private written: serving.NodeRecord | undefined;
  /** Era in which the own record was last written by this process. */
  private writtenEra = -1;
  /** Newest era of the store that is known. */
  private era = 0;
  /** Era in which the records were last read. */
  private readEra = 0;
  /** Whether the last read did not find the own record. */
  private isRecordLost = false;
  /** Wait for the next read, if any. */
  private refreshWait: linkedAbort.LinkedAbort | undefined;

  constructor(private readonly options: FleetRegistryOptions) {
    this.loop = new storeLoop.StoreLoop({
      firstBackoffMs: FIRST_BACKOFF_MS,
      maxBackoffMs: MAX_BACKOFF_MS,
      step: () => this.step(),
      onSucceeded: () => undefined,
      onFailed: err => this.onFailed(err),
      random: () => options.random(),
    });
  }

  /** Starts writing this node's record and reading the others. */
  start(): void {
    this.loop.start();
  }

  /** Reads the records again soon if the store has a new era. */
  onEra(era: number): void {
    if (era <= this.era) return;
    this.era = era;
    this.refreshWait?.abort();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.loop[Symbol.asyncDispose]();
  }

  private async step(): Promise<void> {
    await this.writeSelf();
    await this.readAll();
    // The own record was lost or replaced: it is written before another read, as at the start.
    if (this.written === undefined) return;
    if (this.readEra >= this.era) await this.waitForRefresh();
    await this.loop.pause(RETURN_SPREAD_MS * this.options.random());
  }

  private async waitForRefresh(): Promise<void> {
    using wait = new linkedAbort.LinkedAbort(this.loop.signal);
    this.refreshWait = wait;
    const ms = this.loop.jittered(REFRESH_INTERVAL_MS);
    await abortablePause.pause(ms, wait.signal);
  }

  private async writeSelf(): Promise<void> {
    const {store, directory} = this.options;
    const {self} = directory;
    if (this.written && fleetDirectory.isSame(this.written, self)) return;
    const value = Buffer.from(serving.NodeRecord.encode(self).finish());
    this.writtenEra = await store.put('fleet', KEY_PREFIX + self.nodeId, value);
    this.written = self;
  }

  /**
   * Reads the records of all nodes.
   *
   * @throws errors.GeraniumloftError if the own record is missing or replaced in the era of its
   *     write, or was so at the last read too.
   */
  private async readAll(): Promise<void> {
    const {store, directory} = this.options;
    const {records, era} = await store.newest('fleet');
    if (this.loop.signal.aborted) return;
    this.readEra = era;
    this.era = Math.max(this.era, era);
    this.written = undefined;
    for (const {key, value} of records) {
      const record = value && this.decode(key, value);
      if (record === undefined) continue;
      if (record.nodeId !== directory.self.nodeId) {
        directory.putReported(record);
      } else if (fleetDirectory.isSame(record, directory.self)) {
        this.written = record;
      }
    }
    this.options.onRead();
    const wasLost = this.isRecordLost;
    this.isRecordLost = this.written === undefined;
    if (this.isRecordLost && (wasLost || era <= this.writtenEra)) {
      const site = {step: 'read own record', peer: 'store'};
      throw new errors.GeraniumloftError('missing or replaced', site);
    }
  }

  /** Decodes the value of a key, undefined if it is no record of the node that the key names. */
  private decode(key: string, value: Buffer): serving.NodeRecord | undefined {
    try {
      return decodeRecord(key, value);
    } catch (err) {
      if (!(err instanceof errors.MalformedInputError)) throw err;
      this.options.directory.ignore(key, err);
      return undefined;
    }
  }

  private onFailed(err: unknown): void {
    if (this.loop.failures > 1) return;
    const detail = err instanceof Error ? err.message : String(err);
    const {log} = this.options;
    decision.noteStateChange(log, 'store', 'registry-failed', {detail});
  }
}

/**
 * Decodes a record.
 *
 * @throws errors.MalformedInputError unless it is of the node that the key names.
 */
function decodeRecord(key: string, value: Buffer): serving.NodeRecord {
  const site = {step: 'decode node record', peer: 'store'};
  let record: serving.NodeRecord;
  try {
    record = serving.NodeRecord.decode(value);
  } catch (cause) {
    throw new errors.MalformedInputError('not a record', site, {cause});
  }
  if (key === KEY_PREFIX + record.nodeId) return record;
  throw new errors.MalformedInputError('key of another node', site);
}
