import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as timers from 'node:timers/promises';
import * as v8 from 'node:v8';
import * as vm from 'node:vm';

import * as logPosition from '../../common/serving/log_position.js';
import * as fixtures from '../../common/serving/serving_fixtures.test.js';
import * as intentWaits from './intent_waits.js';
import * as platformAdapter from './platform_adapter.js';
import * as topicFollower from './topic_follower.js';

const {test} = nodeTest;

const SETTLE_MS = 50;

const OBSERVED_MS = 1_500;

const WAIT_MS = 1_000;

/** Pauses of 100, 200, 400 and 800 ms, each with two reads, and two reads before the first. */
const MAX_CALLS = 12;

/** A store with a topic whose records and era a test sets. */
class ReturningStore implements platformAdapter.SharedStore {
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

function followerOf(store: platformAdapter.SharedStore, waitMs = WAIT_MS) {
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

test('offsets that a returned store gives out again are read as new records', async () => {
  const store = new ReturningStore();
  store.keys = ['a', 'b', 'c'];
  const {follower, seen} = followerOf(store);
  await using running = follower;
  running.start();
  await timers.setTimeout(SETTLE_MS);
  seen.length = 0;
  store.setContents(2, ['a', 'x']);
  await timers.setTimeout(SETTLE_MS);
  assert.deepEqual(seen, ['a@2/0', 'x@2/1']);
  store.setContents(2, ['a', 'x', 'y']);
  await timers.setTimeout(SETTLE_MS);
  assert.deepEqual(seen.slice(2), ['y@2/2']);
});

test('a returned store whose end has passed the old offset is read from its newest records', async () => {
  const store = new ReturningStore();
  store.keys = ['a', 'b'];
  const {follower, seen} = followerOf(store);
  await using running = follower;
  running.start();
  await timers.setTimeout(SETTLE_MS);
  seen.length = 0;
  store.setContents(2, ['a', 'x', 'y', 'z']);
  await timers.setTimeout(SETTLE_MS);
  assert.deepEqual(seen, ['a@2/0', 'x@2/1', 'y@2/2', 'z@2/3']);
});

test('a store without the known offsets gets few calls', async () => {
  const store = new ReturningStore();
  store.keys = ['a'];
  const {follower, learn} = followerOf(store);
  // Another source knows records that the store does not have, in the same era.
  learn({era: 1, offset: 30});
  await using running = follower;
  running.start();
  await timers.setTimeout(OBSERVED_MS);
  assert.ok(store.calls <= MAX_CALLS, `${store.calls} calls`);
});

test('a store that answers with an earlier era than peers know gets few calls', async () => {
  const store = new ReturningStore();
  const {follower, learn} = followerOf(store);
  learn({era: 5, offset: 3});
  await using running = follower;
  running.start();
  await timers.setTimeout(OBSERVED_MS);
  assert.ok(store.calls <= MAX_CALLS, `${store.calls} calls`);
});

test('a store that deletes history with each record gets few calls', async () => {
  const store = new ReturningStore();
  store.losesHistory = true;
  const {follower} = followerOf(store);
  await using running = follower;
  running.start();
  await timers.setTimeout(OBSERVED_MS);
  assert.ok(store.calls <= MAX_CALLS, `${store.calls} calls`);
});

test('a store that answers at once without a record gets few calls', async () => {
  const store = new ReturningStore();
  store.keys = ['a'];
  store.answersAtOnce = true;
  const {follower} = followerOf(store);
  await using running = follower;
  running.start();
  await timers.setTimeout(OBSERVED_MS);
  assert.ok(store.calls <= MAX_CALLS, `${store.calls} calls`);
});

test('a store that states an end but returns no record gets few calls', async () => {
  const store = new ReturningStore();
  store.answersAtOnce = true;
  const {follower} = followerOf(store);
  await using running = follower;
  running.start();
  await timers.setTimeout(SETTLE_MS);
  store.keys = ['a', 'b'];
  await timers.setTimeout(OBSERVED_MS);
  assert.ok(store.calls <= MAX_CALLS, `${store.calls} calls`);
});

test('only reads that reach the end confirm a position, in their era', async () => {
  const store = new ReturningStore();
  store.keys = ['a', 'b'];
  const {follower, confirmed} = followerOf(store);
  await using running = follower;
  running.start();
  await timers.setTimeout(SETTLE_MS);
  store.setContents(1, ['a', 'b', 'c']);
  await timers.setTimeout(SETTLE_MS);
  // The answer to the waiting read is of another era; only the following read confirms.
  store.setContents(2, ['a']);
  await timers.setTimeout(SETTLE_MS);
  assert.deepEqual(confirmed, [
    {era: 1, offset: 1},
    {era: 1, offset: 2},
    {era: 2, offset: 0},
  ]);
});

/** Returns the bytes on the heap that are still in use. */
async function usedHeapBytes(): Promise<number> {
  v8.setFlagsFromString('--expose-gc');
  const collect = vm.runInNewContext('gc') as () => void;
  // What only weak references hold is freed in the turns after the first collection.
  for (let i = 0; i < 3; i++) {
    collect();
    await timers.setTimeout(10);
  }
  collect();
  return process.memoryUsage().heapUsed;
}

test('reads leave nothing behind', async () => {
  const store = new ReturningStore();
  const newRecord: platformAdapter.SharedStore['follow'] = async (
    topic,
    from,
  ) => {
    store.calls++;
    if (store.calls % 100 === 0) await timers.setImmediate();
    const {era} = store;
    const position = {era, offset: from};
    const records = [{key: 'k', position, value: undefined}];
    const nextOffset = from + 1;
    return {kind: 'records', records, era, nextOffset, endOffset: nextOffset};
  };
  store.follow = newRecord;
  const {follower, seen, confirmed} = followerOf(store);
  await using running = follower;
  running.start();
  const bytesAfter = async (calls: number): Promise<number> => {
    while (store.calls < calls) await timers.setTimeout(1);
    seen.length = 0;
    confirmed.length = 0;
    return usedHeapBytes();
  };
  const before = await bytesAfter(20_000);
  const callsBefore = store.calls;
  const grownBytes = (await bytesAfter(callsBefore + 100_000)) - before;
  const bytesPerRead = grownBytes / (store.calls - callsBefore);
  assert.ok(bytesPerRead < 20, `${bytesPerRead} bytes`);
});

function isLost(log: fixtures.RecordedLog): boolean {
  return log.decisions.some(({event}) => event === 'store-lost');
}

/** A store whose connections can go silent and whose calls are recorded. */
class SilentStore extends ReturningStore {
  /** Waits of the reads from an offset, in their order. */
  readonly waitsMs: number[] = [];
  /** Time that each answer takes. */
  delayMs = 0;
  /** Whether reads that wait fail, though others are answered. */
  failsWaits = false;
  private connection = 0;
  private silentBelow = 0;

  /** Silences the connections of all calls until `renewConnections` is called. */
  silence(): void {
    this.silentBelow = this.connection + 1;
  }

  override renewConnections(): void {
    this.connection++;
  }

  override async follow(
    topic: platformAdapter.Topic,
    from: number,
    waitMs: number,
    stop: AbortSignal,
  ): Promise<platformAdapter.FollowResult> {
    const {connection} = this;
    this.waitsMs.push(waitMs);
    if (this.failsWaits && waitMs > 0) {
      this.calls++;
      throw new Error('reset');
    }
    const result =
      waitMs === 0
        ? await this.readNow(from)
        : await Promise.race([
            super.follow(topic, from, waitMs, stop),
            timers
              .setTimeout(waitMs, undefined, {ref: false})
              .then(() => this.readNow(from)),
          ]);
    await timers.setTimeout(this.delayMs);
    if (connection >= this.silentBelow) return result;
    return new Promise((resolve, reject) => {
      const fail = (): void => reject(new Error('no answer in time'));
      const timer = setTimeout(fail, topicFollower.LATE_ANSWER_MS);
      const end = (): void => {
        clearTimeout(timer);
        fail();
      };
      if (stop.aborted) end();
      else stop.addEventListener('abort', end);
    });
  }

  private async readNow(from: number): Promise<platformAdapter.FollowResult> {
    this.calls++;
    const {era, keys} = this;
    const position = (i: number): logPosition.LogPosition => ({
      era,
      offset: from + i,
    });
    const records = keys
      .slice(from)
      .map((key, i) => ({key, position: position(i), value: undefined}));
    const endOffset = keys.length;
    return {kind: 'records', records, era, nextOffset: endOffset, endOffset};
  }
}

/** Time until a record of a store whose connections went silent is known, with slack for a tick. */
const NOTICE_MS = WAIT_MS + intentWaits.LATE_READ_MS + intentWaits.READ_MS;

// The wait of a read and the time for its answer together were longer than the bounds that hang on
// them, so a record was read seconds late after connections had gone silent (review/9).
for (const sinceReadMs of [0, 300, 900]) {
  test(`a record is read in time if connections went silent ${sinceReadMs} ms after a read was sent`, async () => {
    const store = new SilentStore();
    store.keys = ['a'];
    const {follower, seen, log} = followerOf(store);
    await using running = follower;
    running.start();
    await timers.setTimeout(SETTLE_MS + sinceReadMs);
    store.silence();
    store.keys = ['a', 'b'];
    await timers.setTimeout(NOTICE_MS - sinceReadMs);
    assert.deepEqual(seen, ['a@1/0', 'b@1/1']);
    assert.equal(running.isReachable, true);
    assert.equal(isLost(log), false);
    // After a late answer reads wait as before.
    assert.deepEqual(store.waitsMs, [WAIT_MS, 0, WAIT_MS]);
  });
}

test('a store that answers more slowly than a late read is not lost', async () => {
  const store = new SilentStore();
  store.keys = ['a'];
  store.delayMs = 2 * intentWaits.LATE_READ_MS;
  const {follower, log} = followerOf(store);
  await using running = follower;
  running.start();
  await timers.setTimeout(2 * (WAIT_MS + store.delayMs) + SETTLE_MS);
  assert.equal(isLost(log), false);
  assert.deepEqual(store.waitsMs, [WAIT_MS, 0, WAIT_MS, 0, WAIT_MS]);
});

test('the first read after a failure waits for nothing', async () => {
  const store = new SilentStore();
  store.keys = ['a'];
  const {follower, log} = followerOf(store);
  await using running = follower;
  running.start();
  await timers.setTimeout(SETTLE_MS);
  store.silence();
  store.renewConnections = () => undefined;
  const failedMs = WAIT_MS + topicFollower.LATE_ANSWER_MS + SETTLE_MS;
  await timers.setTimeout(failedMs);
  assert.equal(running.isReachable, false);
  assert.equal(isLost(log), true);
  SilentStore.prototype.renewConnections.call(store);
  await timers.setTimeout(300);
  assert.equal(running.isReachable, true);
  // A read, a second one as it is late, one after the failure, and reads as before.
  assert.deepEqual(store.waitsMs, [WAIT_MS, 0, 0, WAIT_MS]);
});

test('a store that fails reads that wait but answers others gets few calls', async () => {
  const store = new SilentStore();
  store.keys = ['a'];
  store.failsWaits = true;
  const {follower} = followerOf(store);
  await using running = follower;
  running.start();
  await timers.setTimeout(OBSERVED_MS);
  assert.ok(store.calls <= MAX_CALLS, `${store.calls} calls`);
});

// The read of a reader that waits for long hung until its wait was over, while other nodes knew
// newer records, so that nobody read in its data centre once the first reader ended.
test('a read that has not brought a record that peers know is sent again', async () => {
  const store = new SilentStore();
  store.keys = ['a'];
  const {follower, learn} = followerOf(store, 20_000);
  await using running = follower;
  running.start();
  await timers.setTimeout(SETTLE_MS);
  const tickFor = async (ms: number): Promise<void> => {
    const endMs = performance.now() + ms;
    while (performance.now() < endMs) {
      await timers.setTimeout(SETTLE_MS);
      running.tick(() => false);
    }
  };
  store.silence();
  await tickFor(topicFollower.LATE_ANSWER_MS + 4 * SETTLE_MS);
  assert.equal(store.waitsMs.length, 1);
  learn({era: 1, offset: 1});
  store.keys = ['a', 'b'];
  await tickFor(topicFollower.LATE_ANSWER_MS - 4 * SETTLE_MS);
  assert.equal(store.waitsMs.length, 1);
  await tickFor(8 * SETTLE_MS);
  assert.equal(store.waitsMs.length, 2);
  assert.equal(running.isReachable, true);
});
