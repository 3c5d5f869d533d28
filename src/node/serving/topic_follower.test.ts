import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as timers from 'node:timers/promises';
import * as v8 from 'node:v8';
import * as vm from 'node:vm';

import * as platformAdapter from './platform_adapter.js';
import * as followerFixtures from './topic_follower_fixtures.test.js';

const {test} = nodeTest;

const SETTLE_MS = 50;

const OBSERVED_MS = 1_500;

/** Pauses of 100, 200, 400 and 800 ms, each with two reads, and two reads before the first. */
const MAX_CALLS = 12;

test('offsets that a returned store gives out again are read as new records', async () => {
  const store = new followerFixtures.ReturningStore();
  store.keys = ['a', 'b', 'c'];
  const {follower, seen} = followerFixtures.followerOf(store);
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
  const store = new followerFixtures.ReturningStore();
  store.keys = ['a', 'b'];
  const {follower, seen} = followerFixtures.followerOf(store);
  await using running = follower;
  running.start();
  await timers.setTimeout(SETTLE_MS);
  seen.length = 0;
  store.setContents(2, ['a', 'x', 'y', 'z']);
  await timers.setTimeout(SETTLE_MS);
  assert.deepEqual(seen, ['a@2/0', 'x@2/1', 'y@2/2', 'z@2/3']);
});

test('a store without the known offsets gets few calls', async () => {
  const store = new followerFixtures.ReturningStore();
  store.keys = ['a'];
  const {follower, learn} = followerFixtures.followerOf(store);
  // Another source knows records that the store does not have, in the same era.
  learn({era: 1, offset: 30});
  await using running = follower;
  running.start();
  await timers.setTimeout(OBSERVED_MS);
  assert.ok(store.calls <= MAX_CALLS, `${store.calls} calls`);
});

test('a store that answers with an earlier era than peers know gets few calls', async () => {
  const store = new followerFixtures.ReturningStore();
  const {follower, learn} = followerFixtures.followerOf(store);
  learn({era: 5, offset: 3});
  await using running = follower;
  running.start();
  await timers.setTimeout(OBSERVED_MS);
  assert.ok(store.calls <= MAX_CALLS, `${store.calls} calls`);
});

test('a store that deletes history with each record gets few calls', async () => {
  const store = new followerFixtures.ReturningStore();
  store.losesHistory = true;
  const {follower} = followerFixtures.followerOf(store);
  await using running = follower;
  running.start();
  await timers.setTimeout(OBSERVED_MS);
  assert.ok(store.calls <= MAX_CALLS, `${store.calls} calls`);
});

test('a store that answers at once without a record gets few calls', async () => {
  const store = new followerFixtures.ReturningStore();
  store.keys = ['a'];
  store.answersAtOnce = true;
  const {follower} = followerFixtures.followerOf(store);
  await using running = follower;
  running.start();
  await timers.setTimeout(OBSERVED_MS);
  assert.ok(store.calls <= MAX_CALLS, `${store.calls} calls`);
});

test('a store that states an end but returns no record gets few calls', async () => {
  const store = new followerFixtures.ReturningStore();
  store.answersAtOnce = true;
  const {follower} = followerFixtures.followerOf(store);
  await using running = follower;
  running.start();
  await timers.setTimeout(SETTLE_MS);
  store.keys = ['a', 'b'];
  await timers.setTimeout(OBSERVED_MS);
  assert.ok(store.calls <= MAX_CALLS, `${store.calls} calls`);
});

test('only reads that reach the end confirm a position, in their era', async () => {
  const store = new followerFixtures.ReturningStore();
  store.keys = ['a', 'b'];
  const {follower, confirmed} = followerFixtures.followerOf(store);
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
  const store = new followerFixtures.ReturningStore();
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
  const {follower, seen, confirmed} = followerFixtures.followerOf(store);
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
