import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as documents from '../stand_ins/platform/documents.js';
import * as child from './child.js';
import * as platformFleet from './platform_fleet.js';

const {test} = nodeTest;

const WAIT_MS = 5_000;
const NODES = 3;

/** Starts a fleet whose workspace `shop` has a quota. */
async function startFleet(
  ratePerSecond: number,
  burst: number,
): Promise<platformFleet.PlatformFleet> {
  const fleet = await platformFleet.PlatformFleet.start(NODES);
  const shop = {
    name: 'shop',
    api_keys: ['secret'],
    rate_per_s: ratePerSecond,
    burst_size: burst,
  };
  const cfg = documents.configuration(2, {tenants: [shop]});
  fleet.store.put('keyed.op', 'config', cfg);
  for (const [i, node] of fleet.nodes.entries()) {
    await child.waitUntil(
      async () =>
        (await fleet.send(node, {id: `n${i}-${Math.random()}`})).status === 401,
      WAIT_MS,
      () => 'the configuration with keys',
    );
  }
  return fleet;
}

/** Sends requests with the key at an interval, to the nodes in turn. */
async function sendAll(
  fleet: platformFleet.PlatformFleet,
  count: number,
  intervalMs: number,
): Promise<readonly platformFleet.CallerAnswer[]> {
  const answers: Array<Promise<platformFleet.CallerAnswer>> = [];
  for (let i = 0; i < count; i++) {
    const node = fleet.nodes[i % fleet.nodes.length];
    answers.push(fleet.send(node, {id: `q${i}`, headers: {Key: 'secret'}}));
    await new Promise(resolve => setTimeout(resolve, intervalMs));
  }
  return Promise.all(answers);
}

// Without a common owner, each node would admit the whole quota, or only its own part of it.
test('a quota holds over all nodes, and requests over it get 429 with a delay', async () => {
  await using fleet = await startFleet(20, 10);
  const answers = await sendAll(fleet, 150, 10);
  const seconds = 150 * 0.01;
  const served = answers.filter(({status}) => status === 200).length;
  const refused = answers.filter(({status}) => status === 429);
  assert.equal(served + refused.length, answers.length);
  assert.ok(served >= 20, `${served} served`);
  const bound = (20 * (seconds + 1) + 10) * 1.1 + 20;
  assert.ok(served <= bound, `${served} served, ${bound} allowed`);
  assert.ok(refused.length > 30, `${refused.length} refused`);
  for (const {headers} of refused) {
    assert.ok(Number(headers['retry-after']) > 0);
  }
});

test('a workspace below its limit is served at all nodes', async () => {
  await using fleet = await startFleet(50, 20);
  const answers = await sendAll(fleet, 60, 25);
  const refused = answers.filter(({status}) => status === 429).length;
  assert.ok(refused <= 2, `${refused} of 60 refused`);
});
