import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as timers from 'node:timers/promises';

import * as configuration from '../../src/generated/configuration.js';
import * as child from './child.js';
import * as fleet from './fleet.js';

const TIMEOUT_MS = 10_000;

/** An entry beside a catalogue server, and gates in front of order servers. */
interface TestFleet {
  readonly all: fleet.Fleet;
  readonly entry: fleet.Pair;
  readonly gates: readonly fleet.Pair[];
}

async function startFleet(
  gates: readonly string[],
  tuning: configuration.ServiceTuning = {},
): Promise<TestFleet> {
  const all = await fleet.Fleet.start(fleet.testConfiguration(tuning));
  const [entry, ...others] = await Promise.all([
    all.addPair({nodeId: 'catalogue-1', service: 'catalogue'}),
    ...gates.map(nodeId => all.addPair({nodeId})),
  ]);
  await all.waitUntilReady([entry, ...others]);
  return {all, entry, gates: others};
}

function post(pair: fleet.Pair, id: string): Promise<fleet.Answer> {
  return fleet.call(pair.httpPort, {
    method: 'POST',
    path: '/orders',
    headers: {'Geraniumloft-Request-Id': id},
    body: 'mops',
  });
}

async function waitForRuns(pair: fleet.Pair, total: number): Promise<void> {
  await child.waitUntil(
    async () => (await fleet.runsOf(pair)).total >= total,
    TIMEOUT_MS,
    () => `${total} runs at ${pair.nodeId}`,
  );
}

/** Number of runs of a request on all backend servers. */
async function runsOf(
  pairs: readonly fleet.Pair[],
  id: string,
): Promise<number> {
  const counts = await Promise.all(pairs.map(pair => fleet.runsOf(pair)));
  return counts.reduce((sum, c) => sum + (c.byRequestId[id] ?? 0), 0);
}

nodeTest.test(
  'a killed gate: a POST runs once and its outcome is unknown',
  async () => {
    const {all, entry, gates} = await startFleet(['orders-1']);
    await using owned = all;
    await fleet.setMode(gates[0], {serviceMs: 60_000});
    const answering = post(entry, 'p1');
    await waitForRuns(gates[0], 1);
    gates[0].node.signal('SIGKILL');
    const answer = await answering;
    assert.equal(answer.headers['geraniumloft-outcome'], 'unknown');
    assert.ok([502, 504].includes(answer.status), String(answer.status));
    assert.equal(await runsOf(gates, 'p1'), 1);
    assert.ok(owned);
  },
);

nodeTest.test('a killed gate: a GET is answered by another gate', async () => {
  const {all, entry, gates} = await startFleet(['orders-1', 'orders-2'], {
    progressTimeoutMs: 5_000,
  });
  await using owned = all;
  for (const gate of gates) await fleet.setMode(gate, {serviceMs: 300});
  const answering = fleet.call(entry.httpPort, {path: '/orders/1'});
  const counts = () => Promise.all(gates.map(gate => fleet.runsOf(gate)));
  await child.waitUntil(
    async () => (await counts()).some(c => c.total === 1),
    TIMEOUT_MS,
    () => 'the first run',
  );
  const first = (await counts()).findIndex(c => c.total === 1);
  gates[first].node.signal('SIGKILL');
  assert.equal((await answering).status, 200);
  assert.equal((await fleet.runsOf(gates[1 - first])).total, 1);
  assert.ok(owned);
});

nodeTest.test(
  'a killed backend server: a POST is not retried, later requests are not run',
  async () => {
    const {all, entry, gates} = await startFleet(['orders-1']);
    await using owned = all;
    await fleet.setMode(gates[0], {serviceMs: 60_000});
    const answering = post(entry, 'p1');
    await waitForRuns(gates[0], 1);
    gates[0].server.signal('SIGKILL');
    const answer = await answering;
    assert.equal(answer.headers['geraniumloft-outcome'], 'unknown');
    assert.equal(answer.headers['geraniumloft-reason'], 'server-failed');
    const later = await post(entry, 'p2');
    assert.equal(later.headers['geraniumloft-outcome'], 'not-run');
    assert.ok(owned);
  },
);

nodeTest.test(
  'a restarted backend server gets requests after its announcement',
  async () => {
    const {all, entry, gates} = await startFleet(['orders-1']);
    await using owned = all;
    gates[0].server.signal('SIGKILL');
    await gates[0].server.exitStatus();
    owned.startServer(
      {nodeId: 'orders-1'},
      gates[0].serverPort,
      gates[0].httpPort,
    );
    await child.waitUntil(
      async () => (await post(entry, 'p')).status === 200,
      TIMEOUT_MS,
      () => 'an answer',
    );
  },
);

nodeTest.test('a request that crashes servers is quarantined', async () => {
  const {all, entry, gates} = await startFleet(['orders-1', 'orders-2']);
  await using owned = all;
  const crash = () =>
    fleet.call(entry.httpPort, {
      path: '/orders/crash',
      headers: {'X-Stand-In-Crash': '1'},
    });
  const crashedCount = () =>
    gates.filter(gate => gate.server.process.exitCode !== null).length;
  await child.waitUntil(
    async () => {
      await crash();
      return crashedCount() === gates.length;
    },
    TIMEOUT_MS,
    () => 'both backend servers to die',
  );
  const restarted = gates.map(gate =>
    owned.startServer({nodeId: gate.nodeId}, gate.serverPort, gate.httpPort),
  );
  await all.waitUntilReady(gates);
  const refused = await crash();
  assert.equal(refused.headers['geraniumloft-reason'], 'quarantined');
  assert.equal(refused.status, 422);
  const good = await fleet.call(entry.httpPort, {path: '/orders/1'});
  assert.equal(good.status, 200, good.body.toString());
  assert.ok(restarted.every(server => server.process.exitCode === null));
});

nodeTest.test(
  'a paused gate: a GET is answered by another gate within its deadline',
  async () => {
    const {all, entry, gates} = await startFleet(['orders-1', 'orders-2']);
    await using owned = all;
    gates[0].node.signal('SIGSTOP');
    for (let i = 0; i < 20; i++) {
      const answer = await fleet.call(entry.httpPort, {path: `/orders/${i}`});
      assert.equal(answer.status, 200, answer.body.toString());
    }
    gates[0].node.signal('SIGCONT');
    assert.ok(owned);
  },
);

for (const method of ['GET', 'POST']) {
  nodeTest.test(
    `a gate paused while its server works: the ${method} is answered by it`,
    async () => {
      const {all, entry, gates} = await startFleet(['orders-1']);
      await using owned = all;
      await fleet.setMode(gates[0], {serviceMs: 1_600});
      const headers = {'Geraniumloft-Request-Id': 'r1'};
      const path = '/orders/1';
      const answering = fleet.call(entry.httpPort, {method, path, headers});
      await waitForRuns(gates[0], 1);
      gates[0].node.signal('SIGSTOP');
      await timers.setTimeout(700);
      gates[0].node.signal('SIGCONT');
      const answer = await answering;
      assert.equal(answer.status, 200, JSON.stringify(answer.headers));
      if (method === 'POST') assert.equal(await runsOf(gates, 'r1'), 1);
      assert.ok(owned);
    },
  );
}

nodeTest.test(
  'a killed gate that was silent: its GET ends before the deadline',
  async () => {
    const {all, entry, gates} = await startFleet(['orders-1']);
    await using owned = all;
    await fleet.setMode(gates[0], {serviceMs: 60_000});
    const answering = fleet.call(entry.httpPort, {path: '/orders/1'});
    await waitForRuns(gates[0], 1);
    gates[0].node.signal('SIGSTOP');
    await timers.setTimeout(700);
    gates[0].node.signal('SIGKILL');
    const answer = await answering;
    assert.equal(answer.headers['geraniumloft-outcome'], 'unknown');
    assert.equal(answer.headers['geraniumloft-reason'], 'link-failed');
    assert.ok(owned);
  },
);

nodeTest.test(
  'a paused gate that wakes late runs a POST at most once',
  async () => {
    const {all, entry, gates} = await startFleet(['orders-1']);
    await using owned = all;
    gates[0].node.signal('SIGSTOP');
    const answering = fleet.call(entry.httpPort, {
      method: 'POST',
      path: '/orders',
      headers: {
        'Geraniumloft-Request-Id': 'p1',
        'Geraniumloft-Deadline-Ms': '1500',
      },
      body: 'mops',
    });
    const answer = await answering;
    gates[0].node.signal('SIGCONT');
    await gates[0].operator.status();
    const runs = await runsOf(gates, 'p1');
    assert.ok(runs <= 1);
    if (answer.headers['geraniumloft-outcome'] === 'not-run') {
      assert.equal(runs, 0);
    }
    assert.ok(owned);
  },
);

nodeTest.test(
  'a request is cancelled when its caller closes the connection',
  async () => {
    const {all, entry, gates} = await startFleet(['orders-1']);
    await using owned = all;
    await fleet.setMode(gates[0], {serviceMs: 60_000});
    const abort = new AbortController();
    const gone = fetch(`http://127.0.0.1:${entry.httpPort}/orders/1`, {
      signal: abort.signal,
    });
    await waitForRuns(gates[0], 1);
    abort.abort();
    await assert.rejects(gone);
    await child.waitUntil(
      async () => (await fleet.runsOf(gates[0])).cancelled === 1,
      TIMEOUT_MS,
      () => 'the cancellation',
    );
    assert.ok(owned);
  },
);
