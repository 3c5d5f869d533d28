import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as uuid from 'uuid';

import * as child from './child.js';
import * as fleet from './fleet.js';

const TIMEOUT_MS = 15_000;

function order(
  pair: fleet.Pair,
  key: string,
  body = 'mops',
): Promise<fleet.Answer> {
  return fleet.call(pair.httpPort, {
    method: 'POST',
    path: '/orders',
    headers: {'Idempotency-Key': key},
    body,
  });
}

/** Runs of a key over all backend servers. */
async function runsOf(
  pairs: readonly fleet.Pair[],
  key: string,
): Promise<number> {
  const counts = await Promise.all(pairs.map(pair => fleet.runsOf(pair)));
  return counts.reduce((sum, c) => sum + (c.byKey[key] ?? 0), 0);
}

/** Starts an entry and three gates; resolves once keyed calls are answered. */
async function startFleet(): Promise<{
  readonly all: fleet.Fleet;
  readonly entry: fleet.Pair;
  readonly gates: readonly fleet.Pair[];
}> {
  const all = await fleet.Fleet.start(fleet.testConfiguration());
  const [entry, ...gates] = await Promise.all([
    all.addPair({nodeId: 'catalogue-1', service: 'catalogue'}),
    ...['orders-1', 'orders-2', 'orders-3'].map(nodeId =>
      all.addPair({nodeId}),
    ),
  ]);
  await all.ready([entry, ...gates]);
  let last = '';
  await child.until(
    async () => {
      const answers = await Promise.all(
        Array.from({length: 30}, () => order(entry, uuid.v7())),
      );
      last = answers.map(a => a.body.toString()).join('\n');
      return answers.every(a => a.status === 200);
    },
    TIMEOUT_MS,
    () => `keyed calls to be answered; last: ${last}`,
  );
  return {all, entry, gates};
}

nodeTest.test('a key runs once, whatever entry repeats it', async () => {
  const {all, entry, gates} = await startFleet();
  await using owned = all;
  for (let i = 0; i < 5; i++) {
    const key = uuid.v7();
    const first = await order(entry, key);
    assert.equal(first.status, 200, first.body.toString());
    for (const pair of gates) {
      const repeat = await order(pair, key);
      assert.equal(repeat.status, 200, repeat.body.toString());
      assert.deepEqual(repeat.body, first.body);
    }
    const other = await order(entry, key, 'bleach');
    assert.equal(other.headers['geraniumloft-reason'], 'key-reused');
    assert.equal(await runsOf(gates, key), 1);
  }
  assert.ok(owned);
});

nodeTest.test('repeats at the same time run once', async () => {
  const {all, entry, gates} = await startFleet();
  await using owned = all;
  for (const gate of gates) await fleet.setMode(gate, {serviceMs: 200});
  const key = uuid.v7();
  const answers = await Promise.all(
    [entry, ...gates].map(pair => order(pair, key)),
  );
  for (const answer of answers) {
    assert.equal(answer.status, 200, answer.body.toString());
    assert.deepEqual(answer.body, answers[0].body);
  }
  assert.equal(await runsOf(gates, key), 1);
  assert.ok(owned);
});

nodeTest.test('keys outlive the planned stop of their home', async () => {
  const {all, entry, gates} = await startFleet();
  await using owned = all;
  const keys = Array.from({length: 12}, () => uuid.v7());
  for (const key of keys) assert.equal((await order(entry, key)).status, 200);
  const leaving = gates[0];
  leaving.node.signal('SIGTERM');
  assert.equal(await leaving.node.exitStatus(), 0, leaving.node.printed);
  assert.match(leaving.node.printed, /handed [1-9]\d* keys/);
  for (const key of keys) {
    const repeat = await order(entry, key);
    assert.equal(repeat.status, 200, repeat.body.toString());
    assert.equal(await runsOf(gates, key), 1);
  }
  assert.ok(owned);
});
