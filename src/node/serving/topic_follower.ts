/** Follows a topic of the store: first the newest record of each key, then records as they come. */
import * as decision from '../../common/serving/decision.js';
import * as units from '../../common/units.js';
import * as abortablePause from './abortable_pause.js';
import * as dialect from './dialect.js';

/** Waits after a failed read; doubled after each failure. */
const FIRST_BACKOFF_MS: units.Millis = 100;
const MAX_BACKOFF_MS: units.Millis = 1_000;

/** Part of a wait that is random, so that nodes do not come back at once. */
const BACKOFF_JITTER = 0.5;

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
  private readonly stop = new AbortController();
  private nextOffset: number | undefined;
  private failures = 0;
  private reachable = false;
  private done: Promise<void> | undefined;

  constructor(private readonly options: TopicFollowerOptions) {}

  /** Whether the newest read was answered. */
  get isReachable(): boolean {
    return this.reachable;
  }

  /** Starts to follow. */
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
        await this.step();
        this.noteRegained();
      } catch (err) {
        if (this.stop.signal.aborted) return;
        this.noteFailure(err);
        await this.pause(this.backoffMs());
      }
    }
  }

  private async step(): Promise<void> {
    const {store, topic, listener, waitMs} = this.options;
    if (this.nextOffset === undefined) {
      const newest = await store.newest(topic);
      if (this.stop.signal.aborted) return;
      listener.onNewest(newest);
      this.nextOffset = newest.endOffset;
      return;
    }
    if (!this.options.isNeeded()) return this.pause(UNNEEDED_WAIT_MS);
    const {signal} = this.stop;
    const known = this.options.knownOffset();
    this.nextOffset = Math.max(this.nextOffset, known + 1);
    const result = await store.follow(topic, this.nextOffset, waitMs(), signal);
    if (this.stop.signal.aborted) return;
    if (result.kind === 'expired') {
      this.nextOffset = undefined;
      return;
    }
    if (result.endOffset < this.nextOffset) return this.pause(STALE_WAIT_MS);
    for (const record of result.records) listener.onRecord(record);
    this.nextOffset = result.nextOffset;
  }

  private backoffMs(): units.Millis {
    const doubled = FIRST_BACKOFF_MS * 2 ** (this.failures - 1);
    const jitter = 1 + BACKOFF_JITTER * this.options.random();
    return Math.min(MAX_BACKOFF_MS, doubled) * jitter;
  }

  private pause(ms: units.Millis): Promise<void> {
    return abortablePause.pause(ms, this.stop.signal);
  }

  private noteFailure(err: unknown): void {
    this.failures++;
    this.setReachable(false);
    if (this.failures > 1) return;
    const detail = err instanceof Error ? err.message : String(err);
    this.note('store-lost', {detail});
  }

  private noteRegained(): void {
    if (this.failures > 0) this.note('store-regained', {});
    this.failures = 0;
    this.setReachable(true);
  }

  private setReachable(reachable: boolean): void {
    if (this.reachable === reachable) return;
    this.reachable = reachable;
    this.options.onReachable();
  }

  private note(event: string, facts: decision.Facts): void {
    const {topic, log} = this.options;
    log.write({
      component: 'store',
      event,
      importance: 'belief',
      facts: {
        topic,
        offset: this.nextOffset,
        failures: this.failures,
        ...facts,
      },
    });
  }
}
