/** Keeps this node's record in the store, and learns those of other nodes there. */
import * as decision from '../../common/serving/decision.js';
import * as units from '../../common/units.js';
import * as serving from '../../generated/serving.js';
import * as abortablePause from './abortable_pause.js';
import * as dialect from './dialect.js';
import * as fleetDirectory from './fleet_directory.js';

/** Waits after a failed call; doubled after each failure. */
const FIRST_BACKOFF_MS: units.Millis = 200;
const MAX_BACKOFF_MS: units.Millis = 4_000;

/** Interval of reads that find what greetings have missed. */
const REFRESH_MS: units.Millis = 30_000;

/** Part of a wait that is random, so that nodes do not come at once. */
const JITTER = 0.5;

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
  private readonly stop = new AbortController();
  private written: serving.NodeRecord | undefined;
  private failures = 0;
  private done: Promise<void> | undefined;

  constructor(private readonly options: FleetRegistryOptions) {}

  /** Starts to keep the record. */
  start(): void {
    this.done = this.run();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.stop.abort();
    await this.done;
  }

  private async run(): Promise<void> {
    while (!this.stop.signal.aborted) {
      try {
        await this.write();
        await this.read();
        this.failures = 0;
        await this.pause(REFRESH_MS);
      } catch (err) {
        this.noteFailure(err);
        const waitMs = FIRST_BACKOFF_MS * 2 ** (this.failures - 1);
        await this.pause(Math.min(MAX_BACKOFF_MS, waitMs));
      }
    }
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
    if (this.stop.signal.aborted) return;
    for (const {key, value} of records) {
      const record = value && decode(value);
      if (record === undefined || key !== KEY_PREFIX + record.nodeId) continue;
      if (record.nodeId === directory.self.nodeId) this.written = record;
      else directory.put(record);
    }
  }

  private pause(ms: units.Millis): Promise<void> {
    const waitMs = ms * (1 + JITTER * this.options.random());
    return abortablePause.pause(waitMs, this.stop.signal);
  }

  private noteFailure(err: unknown): void {
    this.failures++;
    if (this.failures > 1 || this.stop.signal.aborted) return;
    const detail = err instanceof Error ? err.message : String(err);
    this.options.log.write({
      component: 'store',
      event: 'registry-failed',
      importance: 'belief',
      facts: {detail},
    });
  }
}

function decode(value: Buffer): serving.NodeRecord | undefined {
  try {
    return serving.NodeRecord.decode(value);
  } catch {
    return undefined;
  }
}
