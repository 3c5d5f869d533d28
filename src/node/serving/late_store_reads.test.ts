/** Reads of a store whose connections go silent, or that answers late. */
import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as timers from 'node:timers/promises';

import * as logPosition from '../../common/serving/log_position.js';
import * as child from '../../../test/paths/child.js';
import * as fixtures from '../../common/serving/serving_fixtures.test.js';
import * as intentWaits from './intent_waits.js';
import * as platformAdapter from './platform_adapter.js';
import * as topicFollower from './topic_follower.js';
import * as followerFixtures from './topic_follower_fixtures.test.js';

const {test} = nodeTest;

const {WAIT_MS} = followerFixtures;

const SETTLE_MS = 50;

const OBSERVED_MS = 1_500;

/** Pauses of 100, 200, 400 and 800 ms, each with two reads, and two reads before the first. */
const MAX_CALLS = 12;

function isLost(log: fixtures.RecordedLog): boolean {
  return log.decisions.some(({event}) => event === 'store-lost');
}

/** A store whose connections can go silent and whose calls are recorded. */
class SilentStore extends followerFixtures.ReturningStore {
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

// The wait of a read and the time for its answer together were longer than the bounds that depend
// on them, so a record was read seconds late after connections had gone silent (review/9).
for (const sinceReadMs of [0, 300, 900]) {
  test(`a record is read in time if connections went silent ${sinceReadMs} ms after a read was sent`, async () => {
    const store = new SilentStore();
    store.keys = ['a'];
    const {follower, seen, log} = followerFixtures.followerOf(store);
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
  const {follower, log} = followerFixtures.followerOf(store);
  await using running = follower;
  running.start();
  await timers.setTimeout(2 * (WAIT_MS + store.delayMs) + SETTLE_MS);
  assert.equal(isLost(log), false);
  assert.deepEqual(store.waitsMs, [WAIT_MS, 0, WAIT_MS, 0, WAIT_MS]);
});

test('the first read after a failure waits for nothing', async () => {
  const store = new SilentStore();
  store.keys = ['a'];
  const {follower, log} = followerFixtures.followerOf(store);
  await using running = follower;
  running.start();
  await timers.setTimeout(SETTLE_MS);
  store.silence();
  store.renewConnections = () => undefined;
  await timers.setTimeout(WAIT_MS + topicFollower.LATE_ANSWER_MS);
  await child.waitUntil(
    () => !running.isReachable,
    topicFollower.LATE_ANSWER_MS,
    () => 'the read to fail',
  );
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
  const {follower} = followerFixtures.followerOf(store);
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
  const {follower, learn} = followerFixtures.followerOf(store, 20_000);
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

test('a read that fails in the time of its answer counts as failed, not as cut', async () => {
  const store = new SilentStore();
  store.keys = ['a'];
  const {follower, log} = followerFixtures.followerOf(store);
  await using running = follower;
  running.start();
  await timers.setTimeout(SETTLE_MS);
  store.silence();
  store.renewConnections = () => undefined;
  const endMs = performance.now() + WAIT_MS + topicFollower.LATE_ANSWER_MS;
  while (performance.now() < endMs + 2 * SETTLE_MS) {
    await timers.setTimeout(5);
    running.tick(() => true);
  }
  assert.equal(isLost(log), true);
  assert.equal(running.isReachable, false);
});

// A read after one without an answer was not linked to its owner's end, so a stop waited for it.
test('a read after a failure ends with its owner', async () => {
  const store = new SilentStore();
  store.keys = ['a'];
  const {follower} = followerFixtures.followerOf(store);
  follower.start();
  await timers.setTimeout(SETTLE_MS);
  store.silence();
  store.renewConnections = () => undefined;
  const failedMs = WAIT_MS + topicFollower.LATE_ANSWER_MS;
  await timers.setTimeout(failedMs + 300);
  assert.equal(store.waitsMs.length, 3);
  const disposedMs = performance.now();
  await follower[Symbol.asyncDispose]();
  const tookMs = performance.now() - disposedMs;
  assert.ok(tookMs < 300, `${tookMs} ms`);
});
