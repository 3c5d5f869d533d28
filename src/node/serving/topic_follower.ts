/** Follows a topic of the store: the newest record of each key, then new records. */
import * as decision from '../../common/serving/decision.js';
import * as units from '../../common/units.js';
import * as platformAdapter from './platform_adapter.js';
import * as storeLoop from './store_loop.js';

/** Backoff after a failed read; doubled after each further failure. */
const FIRST_BACKOFF_MS: units.Millis = 100;
const MAX_BACKOFF_MS: units.Millis = 1_000;

/** Poll interval while reads are not needed. */
const NOT_NEEDED_POLL_MS: units.Millis = 500;

/** Pause after a read that ended before the known offset: the store returned an older state. */
const STALE_READ_PAUSE_MS: units.Millis = 300;

/** Receives the records of a topic. */
export interface TopicListener {
  /** The newest record of each key, as of `endOffset`. */
  onNewest(newest: platformAdapter.NewestRecords): void;
  onRecord(record: platformAdapter.StoreRecord): void;
}

/** Settings and dependencies of `TopicFollower`. */
export interface TopicFollowerOptions {
  readonly topic: platformAdapter.Topic;
  readonly store: platformAdapter.SharedStore;
  readonly listener: TopicListener;
  readonly log: decision.DecisionLog;
  /** Longest time that a read waits for the next record. */
  waitMs(): units.Millis;
  /** Whether new records are needed now; the newest records are read once in any case. */
  isNeeded(): boolean;
  /** Offset of the newest record known from other sources. */
  knownOffset(): number;
  /** `isReachable` has changed. */
  onReachabilityChanged(): void;
  random(): number;
}

/** Reads one topic until it is disposed. */
export class TopicFollower implements AsyncDisposable {
  private readonly loop: storeLoop.StoreLoop;
  private nextOffset: number | undefined;
  private reachable = false;

  constructor(private readonly options: TopicFollowerOptions) {
    this.loop = new storeLoop.StoreLoop({
      firstBackoffMs: FIRST_BACKOFF_MS,
      maxBackoffMs: MAX_BACKOFF_MS,
      step: () => this.step(),
      onSucceeded: () => this.onReadSucceeded(),
      onFailed: err => this.onReadFailed(err),
      random: () => options.random(),
    });
  }

  /** Whether the latest read succeeded. */
  get isReachable(): boolean {
    return this.reachable;
  }

  /** Starts reading. */
  start(): void {
    this.loop.start();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.loop[Symbol.asyncDispose]();
  }

  private async step(): Promise<void> {
    const {store, topic, listener, waitMs} = this.options;
    if (this.nextOffset === undefined) {
      const newest = await store.newest(topic);
      if (this.loop.signal.aborted) return;
      listener.onNewest(newest);
      this.nextOffset = newest.endOffset;
      return;
    }
    if (!this.options.isNeeded()) return this.loop.pause(NOT_NEEDED_POLL_MS);
    const {signal} = this.loop;
    const known = this.options.knownOffset();
    this.nextOffset = Math.max(this.nextOffset, known + 1);
    const result = await store.follow(topic, this.nextOffset, waitMs(), signal);
    if (this.loop.signal.aborted) return;
    if (result.kind === 'expired') {
      this.nextOffset = undefined;
      return;
    }
    if (result.endOffset < this.nextOffset) {
      return this.loop.pause(STALE_READ_PAUSE_MS);
    }
    for (const record of result.records) listener.onRecord(record);
    this.nextOffset = result.nextOffset;
  }

  private onReadFailed(err: unknown): void {
    this.setReachable(false);
    if (this.loop.failures > 1) return;
    const detail = err instanceof Error ? err.message : String(err);
    this.note('store-lost', {detail});
  }

  private onReadSucceeded(): void {
    if (this.loop.failures > 0) this.note('store-regained', {});
    this.setReachable(true);
  }

  private setReachable(reachable: boolean): void {
    if (this.reachable === reachable) return;
    this.reachable = reachable;
    this.options.onReachabilityChanged();
  }

  private note(event: string, facts: decision.Facts): void {
    const {topic, log} = this.options;
    const {failures} = this.loop;
    const offset = this.nextOffset;
    const allFacts = {topic, offset, failures, ...facts};
    decision.noteStateChange(log, 'store', event, allFacts);
  }
}
