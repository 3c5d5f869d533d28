import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as child from './child.js';
import * as fleet from './fleet.js';

const TIMEOUT_MS = 10_000;

/** Longer than a stop that does not wait for open requests. */
const SLOW_SERVICE_MS = 800;

/** Sends requests one after another until stopped and collects the failures. */
class ContinuousCaller {
  private stopped = false;
  private readonly running: Promise<void>;
  readonly failures: string[] = [];
  answered = 0;

  constructor(private readonly port: number) {
    this.running = this.run();
  }

  async stop(): Promise<void> {
    this.stopped = true;
    await this.running;
  }

  private async run(): Promise<void> {
    while (!this.stopped) {
      const method = this.answered % 2 === 0 ? 'GET' : 'POST';
      try {
        const answer = await fleet.call(this.port, {
          method,
          path: '/orders/1',
          body: method === 'POST' ? 'mops' : undefined,
        });
        if (answer.status === 200) this.answered++;
        else this.failures.push(answer.body.toString());
      } catch (err) {
        this.failures.push(String(err));
      }
    }
  }
}

nodeTest.test('SIGTERM to a gate under load aborts no request', async () => {
  const cfg = fleet.testConfiguration({progressTimeoutMs: 5_000});
  await using all = await fleet.Fleet.start(cfg);
  const pairs = await Promise.all([
    all.addPair({nodeId: 'catalogue-1', service: 'catalogue'}),
    all.addPair({nodeId: 'orders-1', mode: {serviceMs: SLOW_SERVICE_MS}}),
    all.addPair({nodeId: 'orders-2', mode: {serviceMs: SLOW_SERVICE_MS}}),
  ]);
  await all.waitUntilReady(pairs);
  const [entry, leaving, staying] = pairs;
  const callers = Array.from(
    {length: 10},
    () => new ContinuousCaller(entry.httpPort),
  );
  const answered = () => callers.reduce((sum, c) => sum + c.answered, 0);
  await child.waitUntil(
    () => answered() > 50,
    TIMEOUT_MS,
    () => 'load',
  );
  leaving.node.signal('SIGTERM');
  assert.equal(await leaving.node.exitStatus(), 0, leaving.node.printed);
  const before = answered();
  await child.waitUntil(
    () => answered() >= before + 10,
    TIMEOUT_MS,
    () => 'load',
  );
  for (const caller of callers) await caller.stop();
  assert.deepEqual(
    callers.flatMap(c => c.failures),
    [],
  );
  const runs = await Promise.all([leaving, staying].map(fleet.runsOf));
  assert.ok(runs.every(r => Object.values(r.byRequestId).every(n => n === 1)));
  assert.ok(runs.every(r => r.cancelled === 0));
});

nodeTest.test('an entry answers its open requests after SIGTERM', async () => {
  await using all = await fleet.Fleet.start(fleet.testConfiguration());
  const entry = await all.addPair({
    nodeId: 'catalogue-1',
    service: 'catalogue',
  });
  const gate = await all.addPair({
    nodeId: 'orders-1',
    mode: {serviceMs: SLOW_SERVICE_MS},
  });
  await all.waitUntilReady([entry, gate]);
  const answering = fleet.call(entry.httpPort, {path: '/orders/1'});
  await child.waitUntil(
    async () => (await fleet.runsOf(gate)).total === 1,
    TIMEOUT_MS,
    () => 'the run to begin',
  );
  entry.node.signal('SIGTERM');
  assert.equal((await answering).status, 200);
  assert.equal(await entry.node.exitStatus(), 0, entry.node.printed);
});

nodeTest.test(
  'a second SIGTERM reports the requests that it aborts',
  async () => {
    await using all = await fleet.Fleet.start(fleet.testConfiguration());
    const pair = await all.addPair({
      nodeId: 'orders-1',
      mode: {serviceMs: 60_000},
    });
    await all.waitUntilReady([pair]);
    const cut = fleet.call(pair.httpPort, {
      path: '/orders/1',
      headers: {'Geraniumloft-Deadline-Ms': '60000'},
    });
    cut.catch(() => undefined);
    await child.waitUntil(
      async () => (await fleet.runsOf(pair)).total === 1,
      TIMEOUT_MS,
      () => 'the run to begin',
    );
    pair.node.signal('SIGTERM');
    await pair.node.waitForOutput('leaving');
    pair.node.signal('SIGTERM');
    await pair.node.waitForOutput(
      'stop asked again: 1 callers wait, 1 requests run',
    );
    assert.equal(await pair.node.exitStatus(), 0, pair.node.printed);
    await assert.rejects(cut);
  },
);
