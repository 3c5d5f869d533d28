import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as timers from 'node:timers/promises';

import * as rolloutFixtures from '../../common/rollouts/rollout_fixtures.test.js';
import * as fixtures from '../../common/serving/serving_fixtures.test.js';
import * as platformAdapter from './platform_adapter.js';
import * as rolloutStatusWriter from './rollout_status_writer.js';

const OBSERVED_MS = 1_500;

/** Two calls for each attempt: two attempts at once, then pauses of 100, 200, 400 and 800 ms. */
const MAX_CALLS = 12;

/** A store that refuses each conditional write, as if another node had just written. */
class ContendedStore implements platformAdapter.SharedStore {
  calls = 0;

  renewConnections(): void {}

  async newest(): Promise<platformAdapter.NewestRecords> {
    this.calls++;
    await timers.setImmediate();
    return {records: [], era: 1, endOffset: 7};
  }

  async putAt(): Promise<platformAdapter.ConditionalPut> {
    this.calls++;
    await timers.setImmediate();
    return {written: false, era: 1};
  }

  follow(): Promise<never> {
    return Promise.reject(new Error('not expected'));
  }

  put(): Promise<never> {
    return Promise.reject(new Error('not expected'));
  }

  async [Symbol.asyncDispose](): Promise<void> {}
}

nodeTest.test('a store that refuses each write gets few calls', async () => {
  const fleet = new rolloutFixtures.Fleet(['v1']);
  fleet.order(rolloutFixtures.record(3));
  const store = new ContendedStore();
  await using writer = new rolloutStatusWriter.RolloutStatusWriter({
    store,
    codec: {
      keyOf: service => service,
      encode: () => Buffer.from('status'),
      decode: () => assert.fail('not expected'),
    },
    rollouts: fleet.nodes[0].rollouts,
    log: new fixtures.RecordedLog(),
    isWriter: () => true,
    era: () => 1,
    nowMs: () => performance.now(),
    random: () => 0,
  });
  writer.start();
  await timers.setTimeout(OBSERVED_MS);
  assert.ok(
    store.calls > 2 && store.calls <= MAX_CALLS,
    `${store.calls} calls`,
  );
});
