/** Follows a topic of the store: the newest record of each key, then new records. */
import * as decision from '../../common/serving/decision.js';
import * as logPosition from '../../common/serving/log_position.js';
import * as units from '../../common/units.js';
import * as abortablePause from '../abortable_pause.js';
import * as linkedAbort from '../linked_abort.js';
import * as intentWaits from './intent_waits.js';
import * as platformAdapter from './platform_adapter.js';
import * as storeLoop from './store_loop.js';

/** Backoff after a failed read; doubled after each further failure. */
const FIRST_BACKOFF_MS: units.Millis = 100;
export const MAX_BACKOFF_MS: units.Millis = 1_000;

/** Poll interval while reads are not needed. */
const NOT_NEEDED_POLL_MS: units.Millis = 500;

/**
 * Reads in a row that may find their offset gone without a pause, as it is after the store has
 * deleted history or has returned from an older copy.
 */
const UNPAUSED_RESTARTS = 1;

/** Pause after a read that ended before the known offset: the store returned an older state. */
const STALE_READ_PAUSE_MS: units.Millis = 300;

/** Longest pause after a read without a record that the store answered before its wait was over. */
const EARLY_ANSWER_PAUSE_MS: units.Millis = 300;

/**
 * Time for the answer of a read after its wait, as the client allows it, and for a record that
 * peers know already.
 */
export const LATE_ANSWER_MS: units.Millis = 1_500;

/** Receives the records of a topic. */
export interface TopicListener {
  /** The newest record of each key, as of `endOffset`. */
  onNewest(newest: platformAdapter.NewestRecords): void;
  onRecord(record: platformAdapter.StoreRecord): void;
  /** A read sent at `sent` has found no record after `position`; all earlier ones were reported. */
  onConfirmed(sent: units.Instant, position: logPosition.LogPosition): void;
}

/** Settings and dependencies of `TopicFollower`. */
export interface TopicFollowerOptions {
  readonly topic: platformAdapter.Topic;
  readonly store: platformAdapter.SharedStore;
  readonly listener: TopicListener;
  readonly log: decision.DecisionLog;
  /** Longest time that a read waits for the next record. */
  waitMs(): units.Millis;
  /** Longest time between the starts of two reads while the store does not answer. */
  readonly retryPeriodMs: units.Millis;
  /** Whether new records are needed now; the newest records are read once in any case. */
  isNeeded(): boolean;
  /** Position of the newest record known from all sources. */
  knownPosition(): logPosition.LogPosition;
  /** `isReachable` has changed. */
  onReachabilityChanged(): void;
  random(): number;
  now(): units.Instant;
}

interface WaitingRead {
  readonly from: logPosition.LogPosition;
  readonly sent: units.Instant;
  readonly stop: linkedAbort.LinkedAbort;
}

/** Reads one topic until it is disposed. */
export class TopicFollower implements AsyncDisposable {
  private readonly loop: storeLoop.StoreLoop;
  /** Position of the next read, undefined if the newest records must be read first. */
  private next: logPosition.LogPosition | undefined;
  /** Reads in a row that did not find their position. */
  private restarts = 0;
  /** Time at which the latest read was sent. */
  private sentMs: units.MonotonicMs = 0;
  /** Time for which the latest read was to wait for a record. */
  private requestedWaitMs: units.Millis = 0;
  private reachable = false;
  /** Whether the latest read failed without an answer, and not because it was refused. */
  private isUnanswered = false;
  /** The read that waits for a record, if any. */
  private waiting: WaitingRead | undefined;
  /** Time from which on peers have known a record that the waiting read should have brought. */
  private behindSinceMs: units.MonotonicMs | undefined;

  constructor(private readonly options: TopicFollowerOptions) {
    this.loop = new storeLoop.StoreLoop({
      firstBackoffMs: FIRST_BACKOFF_MS,
      maxBackoffMs: MAX_BACKOFF_MS,
      maxRetryPeriodMs: options.retryPeriodMs,
      step: () => this.step(),
      onSucceeded: () => this.onAnswered(),
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

  /**
   * Ends a read that has waited longer than reads may wait now, or whose connection must be silent,
   * as peers know a record that it has not brought. It is sent again at once.
   *
   * @param canShorten whether a wait that has become too long ends.
   */
  tick(canShorten: () => boolean): void {
    const {waiting} = this;
    // A read after a failure is left alone, as only its answer shows that the store is back.
    if (waiting === undefined || !this.reachable) return;
    const {now, waitMs, store} = this.options;
    const {monotonicMs} = now();
    const waitedMs = monotonicMs - waiting.sent.monotonicMs;
    if (waitedMs > LATE_ANSWER_MS && canShorten()) {
      const shorterMs = waitMs();
      // A read whose wait is not too long fails by itself.
      const isTooLong = shorterMs < this.requestedWaitMs;
      if (isTooLong && waitedMs > shorterMs + LATE_ANSWER_MS) {
        return waiting.stop.abort();
      }
    }
    if (!this.isBehind(waiting)) return;
    this.behindSinceMs ??= monotonicMs;
    if (monotonicMs - this.behindSinceMs <= LATE_ANSWER_MS) return;
    this.note('store-read-behind', {ageMs: Math.round(waitedMs)});
    store.renewConnections();
    waiting.stop.abort();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.loop[Symbol.asyncDispose]();
  }

  private async step(): Promise<void> {
    if (this.next === undefined) return this.readNewest();
    if (!this.options.isNeeded()) return this.loop.pause(NOT_NEEDED_POLL_MS);
    if (this.isUnanswered) {
      // Only an answer shows that the store is back, and a read that waits may get none for long.
      await this.readNext(0);
      this.onAnswered();
      if (this.loop.signal.aborted) return;
    }
    await this.readNext(this.options.waitMs());
  }

  /** Reads what follows the newest record known. */
  private async readNext(waitMs: units.Millis): Promise<void> {
    if (this.next === undefined) return;
    const known = this.options.knownPosition();
    if (known.era > this.next.era) return this.restart();
    const {era, offset} = this.next;
    const knownOffset = known.era === era ? known.offset : -1;
    const from = {era, offset: Math.max(offset, knownOffset + 1)};
    await this.readFrom(from, waitMs);
  }

  private async readNewest(): Promise<void> {
    const {store, topic, listener, knownPosition} = this.options;
    const sent = this.noteRead(0);
    const newest = await store.newest(topic);
    if (this.loop.signal.aborted) return;
    listener.onNewest(newest);
    const {era, endOffset} = newest;
    this.next = {era, offset: endOffset};
    listener.onConfirmed(sent, {era, offset: endOffset - 1});
    // An answer of an earlier era was late, or the store has several states.
    if (era < knownPosition().era) await this.loop.pause(STALE_READ_PAUSE_MS);
  }

  private async readFrom(
    from: logPosition.LogPosition,
    waitMs: units.Millis,
  ): Promise<void> {
    const {listener} = this.options;
    const sent = this.noteRead(waitMs);
    const result = await this.waitFor(from, sent, waitMs);
    if (result === undefined || this.loop.signal.aborted) return;
    // In another era the offset stands for another record.
    if (result.kind === 'expired' || result.era !== from.era) {
      return this.restart();
    }
    this.next = from;
    if (result.endOffset < from.offset) {
      return this.loop.pause(STALE_READ_PAUSE_MS);
    }
    for (const record of result.records) listener.onRecord(record);
    const {era, nextOffset, endOffset} = result;
    this.next = {era, offset: nextOffset};
    this.restarts = 0;
    // A long history comes in several answers, and only the last one reaches the end.
    if (nextOffset >= endOffset) {
      listener.onConfirmed(sent, {era, offset: endOffset - 1});
    }
    if (result.records.length === 0) await this.pauseIfEarly(sent, waitMs);
  }

  private noteRead(waitMs: units.Millis): units.Instant {
    const sent = this.options.now();
    this.sentMs = sent.monotonicMs;
    this.requestedWaitMs = waitMs;
    return sent;
  }

  /** Keeps reads that the store answers at once, with nothing, from following without a pause. */
  private async pauseIfEarly(
    sent: units.Instant,
    waitMs: units.Millis,
  ): Promise<void> {
    const dueMs = sent.monotonicMs + waitMs;
    const earlyMs = dueMs - this.options.now().monotonicMs;
    if (earlyMs <= 0) return;
    await this.loop.pause(Math.min(earlyMs, EARLY_ANSWER_PAUSE_MS));
  }

  /** Reads from a position; undefined if the read was ended to be sent again. */
  private async waitFor(
    from: logPosition.LogPosition,
    sent: units.Instant,
    waitMs: units.Millis,
  ): Promise<platformAdapter.FollowResult | undefined> {
    using stop = new linkedAbort.LinkedAbort(this.loop.signal);
    this.waiting = {from, sent, stop};
    this.behindSinceMs = undefined;
    try {
      return await this.firstAnswer(from.offset, waitMs, stop.signal);
    } catch (err) {
      if (stop.signal.aborted && !this.loop.signal.aborted) return undefined;
      throw err;
    } finally {
      this.waiting = undefined;
    }
  }

  /** Reads from an offset, once more over a new connection if the answer is late. */
  private async firstAnswer(
    offset: number,
    waitMs: units.Millis,
    stop: AbortSignal,
  ): Promise<platformAdapter.FollowResult> {
    const {store, topic} = this.options;
    using end = new linkedAbort.LinkedAbort(stop);
    const first = store.follow(topic, offset, waitMs, end.signal);
    // A store that did not answer before gets one read at a time.
    if (this.isUnanswered) return await first;
    const second = this.readIfLate(first, offset, waitMs, end.signal);
    try {
      return await Promise.race([first, second]);
    } finally {
      end.abort();
    }
  }

  /** Reads without a wait if the first read is late; fails only with the first read. */
  private async readIfLate(
    first: Promise<platformAdapter.FollowResult>,
    offset: number,
    waitMs: units.Millis,
    signal: AbortSignal,
  ): Promise<platformAdapter.FollowResult> {
    const {store, topic} = this.options;
    await abortablePause.pause(waitMs + intentWaits.LATE_READ_MS, signal);
    if (signal.aborted) return first;
    this.note('store-read-late', {waitMs: Math.round(waitMs)});
    store.renewConnections();
    try {
      return await store.follow(topic, offset, 0, signal);
    } catch {
      // The client allows the first read more time, and its failure is reported.
      return first;
    }
  }

  /** Whether peers know a record that a read should have brought. */
  private isBehind({from}: WaitingRead): boolean {
    const {era, offset} = this.options.knownPosition();
    return era > from.era || (era === from.era && offset >= from.offset);
  }

  /** Reads the newest records next, after a pause that grows with each restart in a row. */
  private restart(): Promise<void> {
    this.next = undefined;
    this.restarts++;
    if (this.restarts <= UNPAUSED_RESTARTS) return Promise.resolve();
    const doublings = this.restarts - UNPAUSED_RESTARTS - 1;
    const pauseMs = Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** doublings);
    return this.loop.pause(this.loop.jittered(pauseMs));
  }

  private onReadFailed(err: unknown): void {
    const wasReachable = this.reachable;
    this.setReachable(false);
    const ageMs = this.options.now().monotonicMs - this.sentMs;
    const waitMs = Math.round(this.requestedWaitMs);
    this.isUnanswered = ageMs > waitMs + intentWaits.LATE_READ_MS;
    if (this.loop.failures > 1 && !wasReachable) return;
    const detail = err instanceof Error ? err.message : String(err);
    this.note('store-lost', {detail, waitMs, ageMs: Math.round(ageMs)});
  }

  private onAnswered(): void {
    if (!this.reachable && this.loop.failures > 0) {
      this.note('store-regained', {});
    }
    this.isUnanswered = false;
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
    const {era, offset} = this.next ?? {};
    const allFacts = {topic, era, offset, failures, ...facts};
    decision.noteStateChange(log, 'store', event, allFacts);
  }
}
