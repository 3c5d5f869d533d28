/** Follows a topic of the store: first the newest record of each key, then records as they come. */
import * as decision from '../../common/serving/decision.js';
import * as units from '../../common/units.js';
import * as dialect from './dialect.js';
import * as storeLoop from './store_loop.js';

/** Waits after a failed read; doubled after each failure. */
const FIRST_BACKOFF_MS: units.Millis = 100;
const MAX_BACKOFF_MS: units.Millis = 1_000;

/** Interval at which it is looked whether records have to be read again. */
const UNNEEDED_WAIT_MS: units.Millis = 500;

/** Wait after a read that ended before what is known: the store shows an older state. */
const STALE_WAIT_MS: units.Millis = 300;

/** What a follower reports to. */
export interface TopicListener {
  /** The newest record of each key, as of `endOffset`. */
  onNewest(newest: dialect.NewestRecords): void;
  onRecord(record: dialect.StoreRecord): void;
}

/** What a follower is made with. */
export interface TopicFollowerOptions {
  readonly topic: dialect.Topic;
  readonly store: dialect.SharedStore;
  readonly listener: TopicListener;
  readonly log: decision.DecisionLog;
  /** Longest wait of a read for the next record. */
  waitMs(): units.Millis;
  /** Whether records have to be read now; the first state is always read. */
  isNeeded(): boolean;
  /** Offset of the newest record known from elsewhere. */
  knownOffset(): number;
  /** The store answers again, or no longer. */
  onReachable(): void;
  random(): number;
}

/** Follows one topic until it is disposed. */
export class TopicFollower implements AsyncDisposable {
  private readonly loop: storeLoop.StoreLoop;
  private nextOffset: number | undefined;
  private reachable = false;

  constructor(private readonly options: TopicFollowerOptions) {
    this.loop = new storeLoop.StoreLoop({
      firstBackoffMs: FIRST_BACKOFF_MS,
      maxBackoffMs: MAX_BACKOFF_MS,
      step: () => this.step(),
      onDone: () => this.noteAnswered(),
      onFailed: err => this.noteFailure(err),
      random: () => options.random(),
    });
  }

  /** Whether the newest read was answered. */
  get isReachable(): boolean {
    return this.reachable;
  }

  /** Starts to follow. */
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
    if (!this.options.isNeeded()) return this.loop.pause(UNNEEDED_WAIT_MS);
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
      return this.loop.pause(STALE_WAIT_MS);
    }
    for (const record of result.records) listener.onRecord(record);
    this.nextOffset = result.nextOffset;
  }

  private noteFailure(err: unknown): void {
    this.setReachable(false);
    if (this.loop.failures > 1) return;
    const detail = err instanceof Error ? err.message : String(err);
    this.note('store-lost', {detail});
  }

  private noteAnswered(): void {
    if (this.loop.failures > 0) this.note('store-regained', {});
    this.setReachable(true);
  }

  private setReachable(reachable: boolean): void {
    if (this.reachable === reachable) return;
    this.reachable = reachable;
    this.options.onReachable();
  }

  private note(event: string, facts: decision.Facts): void {
    const {topic, log} = this.options;
    const {failures} = this.loop;
    const offset = this.nextOffset;
    const all = {topic, offset, failures, ...facts};
    decision.noteBelief(log, 'store', event, all);
  }
}
