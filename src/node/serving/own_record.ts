/** Keeps this node's record in the store's fleet topic. */
import * as timers from 'node:timers/promises';

import * as decision from '../../common/serving/decision.js';
import * as units from '../../common/units.js';
import * as serving from '../../generated/serving.js';
import * as dialect from './dialect.js';
import * as fleetDirectory from './fleet_directory.js';

/** Waits after a failed write; doubled after each failure. */
const FIRST_BACKOFF_MS: units.Millis = 300;
const MAX_BACKOFF_MS: units.Millis = 2_000;

const KEY_PREFIX = 'node/';

/** Returns the key of a node's record. */
export function keyOf(nodeId: string): string {
  return KEY_PREFIX + nodeId;
}

/** Returns the node whose record has the key, undefined for other keys. */
export function nodeIdOf(key: string): string | undefined {
  return key.startsWith(KEY_PREFIX) ? key.slice(KEY_PREFIX.length) : undefined;
}

/** Decodes a record; undefined if it cannot be read. */
export function decode(value: Buffer): serving.NodeRecord | undefined {
  try {
    return serving.NodeRecord.decode(value);
  } catch {
    return undefined;
  }
}

/** Writes the record when the store has another one or none. */
export class OwnRecord implements AsyncDisposable {
  private readonly stop = new AbortController();
  private stored: serving.NodeRecord | undefined;
  private writing: Promise<void> | undefined;

  constructor(
    private readonly store: dialect.SharedStore,
    private readonly directory: fleetDirectory.FleetDirectory,
    private readonly log: decision.DecisionLog,
  ) {}

  /** Takes what the store holds; undefined for nothing. */
  onStored(record: serving.NodeRecord | undefined): void {
    this.stored = record;
    this.writing ??= this.write().finally(() => {
      this.writing = undefined;
    });
  }

  /** Drops the record: the node goes for good. */
  async withdraw(): Promise<void> {
    this.stop.abort();
    try {
      await this.store.put(
        'fleet',
        keyOf(this.directory.self.nodeId),
        undefined,
      );
    } catch (err) {
      this.note('record-kept', err);
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.stop.abort();
    await this.writing;
  }

  private async write(): Promise<void> {
    for (let failures = 0; !this.isStored(); failures++) {
      try {
        await this.writeOnce();
      } catch (err) {
        this.note('record-not-written', err);
        const wait = FIRST_BACKOFF_MS * 2 ** failures;
        await this.pause(Math.min(MAX_BACKOFF_MS, wait));
      }
      if (this.stop.signal.aborted) return;
    }
  }

  private async writeOnce(): Promise<void> {
    const {self} = this.directory;
    const value = Buffer.from(serving.NodeRecord.encode(self).finish());
    await this.store.put('fleet', keyOf(self.nodeId), value);
    this.stored = self;
  }

  private isStored(): boolean {
    const {stored} = this;
    return (
      stored !== undefined && fleetDirectory.isSame(stored, this.directory.self)
    );
  }

  private async pause(ms: units.Millis): Promise<void> {
    try {
      await timers.setTimeout(ms, undefined, {signal: this.stop.signal});
    } catch {
      // Disposed while waiting.
    }
  }

  private note(event: string, err: unknown): void {
    const detail = err instanceof Error ? err.message : String(err);
    this.log.write({
      component: 'store',
      event,
      importance: 'belief',
      facts: {detail},
    });
  }
}
