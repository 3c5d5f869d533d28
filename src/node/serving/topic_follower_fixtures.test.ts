/** Fixtures of the tests of `TopicFollower`. */
import * as timers from 'node:timers/promises';

import * as logPosition from '../../common/serving/log_position.js';
import * as fixtures from '../../common/serving/serving_fixtures.test.js';
import * as platformAdapter from './platform_adapter.js';
import * as topicFollower from './topic_follower.js';

/** Wait of the reads of `followerOf` by default. */
export const WAIT_MS = 1_000;

/** A store with a topic whose records and era a test sets. */
export class ReturningStore implements platformAdapter.SharedStore {
  era = 1;
  calls = 0;
  keys: string[] = [];
  /** Whether reads from an offset always fail as if the record were deleted. */
  losesHistory = false;
  /** Whether reads from an offset are answered at once, without records. */
  answersAtOnce = false;
  private wake: () => void = () => undefined;

  setContents(era: number, keys: readonly string[]): void {
    this.era = era;
    this.keys = [...keys];
    this.wake();
  }

  renewConnections(): void {}

  async newest(): Promise<platformAdapter.NewestRecords> {
    this.calls++;
    const {era} = this;
    const endOffset = this.keys.length;
    return {records: this.recordsFrom(0), era, endOffset};
  }

  async follow(
    topic: platformAdapter.Topic,
    from: number,
    waitMs: number,
    stop: AbortSignal,
  ): Promise<platformAdapter.FollowResult> {
    this.calls++;
    if (this.answersAtOnce) {
      await timers.setImmediate();
      const {era, keys} = this;
      const endOffset = Math.max(from, keys.length);
      return {kind: 'records', records: [], era, nextOffset: from, endOffset};
    }
    if (!this.losesHistory && from === this.keys.length) {
      await new Promise<void>(resolve => {
        this.wake = resolve;
        stop.addEventListener('abort', () => resolve());
      });
    }
    const {era} = this;
    const endOffset = this.keys.length;
    if (this.losesHistory || from > endOffset) return {kind: 'expired', era};
    const records = this.recordsFrom(from);
    return {kind: 'records', records, era, nextOffset: endOffset, endOffset};
  }

  putAt(): Promise<never> {
    return Promise.reject(new Error('not expected'));
  }

  async put(): Promise<number> {
    return this.era;
  }

  async [Symbol.asyncDispose](): Promise<void> {}

  private recordsFrom(from: number): platformAdapter.StoreRecord[] {
    const {era} = this;
    const records = this.keys.map((key, offset) => ({
      key,
      position: {era, offset},
      value: undefined,
    }));
    return records.slice(from);
  }
}

/** A follower of a topic, with what it reports. */
export function followerOf(
  store: platformAdapter.SharedStore,
  waitMs = WAIT_MS,
) {
  const seen: string[] = [];
  const confirmed: logPosition.LogPosition[] = [];
  const log = new fixtures.RecordedLog();
  let known = logPosition.BEFORE_ALL;
  const note = ({key, position}: platformAdapter.StoreRecord): void => {
    seen.push(`${key}@${position.era}/${position.offset}`);
    known = logPosition.latest(known, position);
  };
  const follower = new topicFollower.TopicFollower({
    topic: 'operators',
    store,
    log,
    listener: {
      onNewest: ({records}) => records.forEach(note),
      onRecord: note,
      onConfirmed: (sent, position) => void confirmed.push(position),
    },
    waitMs: () => waitMs,
    retryPeriodMs: Infinity,
    isNeeded: () => true,
    knownPosition: () => known,
    onReachabilityChanged: () => undefined,
    random: () => 0,
    now: () => ({monotonicMs: performance.now(), epochMs: Date.now()}),
  });
  const learn = (position: logPosition.LogPosition): void => {
    known = position;
  };
  return {follower, seen, confirmed, learn, log};
}
