/** Keeps this node's record in the store, and learns those of other nodes there. */
import * as decision from '../../common/serving/decision.js';
import * as units from '../../common/units.js';
import * as serving from '../../generated/serving.js';
import * as dialect from './dialect.js';
import * as fleetDirectory from './fleet_directory.js';
import * as storeLoop from './store_loop.js';

/** Waits after a failed call; doubled after each failure. */
const FIRST_BACKOFF_MS: units.Millis = 200;
const MAX_BACKOFF_MS: units.Millis = 4_000;

/** Interval of reads that find what greetings have missed. */
const REFRESH_MS: units.Millis = 30_000;

const KEY_PREFIX = 'node/';

/** What a registry is made with. */
export interface FleetRegistryOptions {
  readonly store: dialect.SharedStore;
  readonly directory: fleetDirectory.FleetDirectory;
  readonly log: decision.DecisionLog;
  random(): number;
}

/**
 * Writes the own record and then reads all: of two nodes that start at once, the one whose write
 * comes later reads the other's. Nodes that are dialled learn the newcomer from its greeting, so
 * that nobody has to follow the topic.
 */
export class FleetRegistry implements AsyncDisposable {
  private readonly loop: storeLoop.StoreLoop;
  private written: serving.NodeRecord | undefined;

  constructor(private readonly options: FleetRegistryOptions) {
    this.loop = new storeLoop.StoreLoop({
      firstBackoffMs: FIRST_BACKOFF_MS,
      maxBackoffMs: MAX_BACKOFF_MS,
      step: () => this.step(),
      onDone: () => undefined,
      onFailed: err => this.noteFailure(err),
      random: () => options.random(),
    });
  }

  /** Starts to keep the record. */
  start(): void {
    this.loop.start();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.loop[Symbol.asyncDispose]();
  }

  private async step(): Promise<void> {
    await this.write();
    await this.read();
    await this.loop.pause(this.loop.jittered(REFRESH_MS));
  }

  private async write(): Promise<void> {
    const {store, directory} = this.options;
    const {self} = directory;
    if (this.written && fleetDirectory.isSame(this.written, self)) return;
    const value = Buffer.from(serving.NodeRecord.encode(self).finish());
    await store.put('fleet', KEY_PREFIX + self.nodeId, value);
    this.written = self;
  }

  private async read(): Promise<void> {
    const {store, directory} = this.options;
    const {records} = await store.newest('fleet');
    if (this.loop.signal.aborted) return;
    for (const {key, value} of records) {
      const record = value && decode(value);
      if (record === undefined || key !== KEY_PREFIX + record.nodeId) continue;
      if (record.nodeId === directory.self.nodeId) this.written = record;
      else directory.put(record);
    }
  }

  private noteFailure(err: unknown): void {
    if (this.loop.failures > 1) return;
    const detail = err instanceof Error ? err.message : String(err);
    const {log} = this.options;
    decision.noteBelief(log, 'store', 'registry-failed', {detail});
  }
}

function decode(value: Buffer): serving.NodeRecord | undefined {
  try {
    return serving.NodeRecord.decode(value);
  } catch {
    return undefined;
  }
}
