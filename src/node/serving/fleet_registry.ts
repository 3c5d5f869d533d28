/** Registers this node in the store and reads the records of other nodes. */
import * as decision from '../../common/serving/decision.js';
import * as units from '../../common/units.js';
import * as serving from '../../generated/serving.js';
import * as platformAdapter from './platform_adapter.js';
import * as fleetDirectory from './fleet_directory.js';
import * as storeLoop from './store_loop.js';

/** Backoff after a failed call; doubled after each further failure. */
const FIRST_BACKOFF_MS: units.Millis = 200;
const MAX_BACKOFF_MS: units.Millis = 4_000;

/** Interval of reads, for nodes whose greetings have not arrived. */
const REFRESH_INTERVAL_MS: units.Millis = 30_000;

const KEY_PREFIX = 'node/';

/** Dependencies of `FleetRegistry`. */
export interface FleetRegistryOptions {
  readonly store: platformAdapter.SharedStore;
  readonly directory: fleetDirectory.FleetDirectory;
  readonly log: decision.DecisionLog;
  random(): number;
}

/**
 * Writes this node's record before it reads all records, so that of two nodes that start at the
 * same time at least the later writer reads the other's record. Nodes that it connects to learn its
 * record from the greeting, so no node has to follow the topic.
 */
export class FleetRegistry implements AsyncDisposable {
  private readonly loop: storeLoop.StoreLoop;
  private written: serving.NodeRecord | undefined;

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

  async [Symbol.asyncDispose](): Promise<void> {
    await this.loop[Symbol.asyncDispose]();
  }

  private async step(): Promise<void> {
    await this.writeSelf();
    await this.readAll();
    await this.loop.pause(this.loop.jittered(REFRESH_INTERVAL_MS));
  }

  private async writeSelf(): Promise<void> {
    const {store, directory} = this.options;
    const {self} = directory;
    if (this.written && fleetDirectory.isSame(this.written, self)) return;
    const value = Buffer.from(serving.NodeRecord.encode(self).finish());
    await store.put('fleet', KEY_PREFIX + self.nodeId, value);
    this.written = self;
  }

  private async readAll(): Promise<void> {
    const {store, directory} = this.options;
    const {records} = await store.newest('fleet');
    if (this.loop.signal.aborted) return;
    for (const {key, value} of records) {
      const record = value && decode(value);
      if (record === undefined || key !== KEY_PREFIX + record.nodeId) continue;
      if (record.nodeId === directory.self.nodeId) this.written = record;
      else directory.putReported(record);
    }
  }

  private onFailed(err: unknown): void {
    if (this.loop.failures > 1) return;
    const detail = err instanceof Error ? err.message : String(err);
    const {log} = this.options;
    decision.noteStateChange(log, 'store', 'registry-failed', {detail});
  }
}

function decode(value: Buffer): serving.NodeRecord | undefined {
  try {
    return serving.NodeRecord.decode(value);
  } catch {
    return undefined;
  }
}
