import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as child from './child.js';
import * as fleet from './fleet.js';

const TIMEOUT_MS = 15_000;
const COLD_START_MS = 2_000;
const COLD_START_SLOTS = 2;

/** Sends requests concurrently and returns their answers. */
function burst(
  pair: fleet.Pair,
  count: number,
): Promise<readonly fleet.Answer[]> {
  return Promise.all(
    Array.from({length: count}, (unused, i) =>
      fleet.call(pair.httpPort, {path: `/orders/${i}`}),
    ),
  );
}

nodeTest.test(
  'a backend server that drains finishes its work and gets no more',
  async () => {
    await using all = await fleet.Fleet.start(fleet.testConfiguration());
    const pairs = await Promise.all([
      all.addPair({nodeId: 'orders-1', mode: {serviceMs: 100}}),
      all.addPair({nodeId: 'orders-2'}),
    ]);
    await all.waitUntilReady(pairs);
    const [draining, other] = pairs;
    const before = burst(draining, 4);
    await child.waitUntil(
      async () => (await fleet.runsOf(draining)).total > 0,
      TIMEOUT_MS,
      () => 'a run on the draining server',
    );
    await fleet.setMode(draining, {announce: 'leaving'});
    await child.waitUntil(
      async () => (await draining.operator.status()).serverState === 'leaving',
      TIMEOUT_MS,
      () => 'the node to see the server leaving',
    );
    const {total} = await fleet.runsOf(draining);
    for (const answer of [...(await before), ...(await burst(draining, 12))]) {
      assert.equal(answer.status, 200, answer.body.toString());
    }
    const runs = await fleet.runsOf(draining);
    assert.equal(runs.total, total);
    assert.equal(runs.cancelled, 0);
    assert.ok((await fleet.runsOf(other)).total >= 12);
  },
);

nodeTest.test(
  'a server in cold start gets no more than it carries',
  async () => {
    const cfg = fleet.testConfiguration({
      coldStartMs: 4 * COLD_START_MS,
      coldStartSlots: COLD_START_SLOTS,
      queueLength: 200,
      progressTimeoutMs: 5_000,
    });
    await using all = await fleet.Fleet.start(cfg);
    const pair = await all.addPair({
      nodeId: 'orders-1',
      mode: {
        serviceMs: 20,
        coldMs: COLD_START_MS,
        coldSlots: 4,
        announce: 'starting',
      },
    });
    await fleet.setMode(pair, {announce: 'ready'});
    await all.waitUntilReady([pair]);
    await burst(pair, 60);
    const runs = await fleet.runsOf(pair);
    assert.ok(runs.total > 0);
    assert.equal(runs.coldBreaches, 0);
  },
);

nodeTest.test('the stand-in reports a false load when told to', async () => {
  await using all = await fleet.Fleet.start(fleet.testConfiguration());
  const pair = await all.addPair({nodeId: 'orders-1'});
  await fleet.setMode(pair, {reportedInFlight: 7});
  const load = await fleet.call(pair.serverPort, {path: '/load'});
  assert.equal(load.body.toString(), '{"inFlight":7}');
});
