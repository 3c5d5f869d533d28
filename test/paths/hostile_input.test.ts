import * as assert from 'node:assert/strict';
import * as dgram from 'node:dgram';
import * as net from 'node:net';
import * as nodeTest from 'node:test';

import * as fc from 'fast-check';

import * as child from './child.js';
import * as fleet from './fleet.js';

const SEED = Number(process.env['SEED'] ?? 11);
const SAMPLE_COUNT = 60;
const TIMEOUT_MS = 10_000;

function samples(): readonly Uint8Array[] {
  const bytes = fc.uint8Array({minLength: 1, maxLength: 400});
  return fc.sample(bytes, {seed: SEED, numRuns: SAMPLE_COUNT});
}

/** Sends bytes on a new connection and waits until it is closed. */
function sendTcp(port: number, bytes: Uint8Array): Promise<void> {
  return new Promise(resolve => {
    const socket = net.connect(port, '127.0.0.1');
    socket.on('error', () => undefined);
    socket.on('close', () => resolve());
    socket.resume().end(bytes);
  });
}

nodeTest.test(
  `random bytes on any port do not stop the node, seed ${SEED}`,
  async () => {
    await using all = await fleet.Fleet.start(fleet.testConfiguration());
    const pair = await all.addPair({nodeId: 'orders-1'});
    await all.waitUntilReady([pair]);
    const {httpPort, peerPort, operatorPort} = pair;
    for (const bytes of samples()) {
      for (const port of [httpPort, peerPort, operatorPort]) {
        await child.withTimeout(
          sendTcp(port, bytes),
          TIMEOUT_MS,
          `port ${port}`,
        );
      }
    }
    const udp = dgram.createSocket('udp4');
    for (const bytes of samples()) udp.send(bytes, peerPort, '127.0.0.1');
    const counter = async (name: string) =>
      (await pair.operator.status()).counters[name] ?? 0;
    for (const name of ['frame', 'datagram', 'http']) {
      await child.waitUntil(
        async () => (await counter(`malformed.${name}`)) > 0,
        TIMEOUT_MS,
        () => `malformed.${name} to be counted`,
      );
    }
    udp.close();
    const answer = await fleet.call(httpPort, {path: '/orders/1'});
    assert.equal(answer.status, 200, answer.body.toString());
    assert.equal(await counter('loop.failed-event'), 0, pair.node.printed);
  },
);

nodeTest.test('calls go on while the log is out', async () => {
  await using all = await fleet.Fleet.start(fleet.testConfiguration());
  const pairs = await Promise.all([
    all.addPair({nodeId: 'catalogue-1', service: 'catalogue'}),
    all.addPair({nodeId: 'orders-1'}),
  ]);
  await all.waitUntilReady(pairs);
  all.log.signal('SIGKILL');
  await pairs[0].node.waitForOutput('log service: out of reach');
  for (let i = 0; i < 20; i++) {
    const answer = await fleet.call(pairs[0].httpPort, {
      method: i % 2 === 0 ? 'GET' : 'POST',
      path: `/orders/${i}`,
    });
    assert.equal(answer.status, 200, answer.body.toString());
  }
});

nodeTest.test(
  'a paused entry does not affect callers of other nodes',
  async () => {
    await using all = await fleet.Fleet.start(fleet.testConfiguration());
    const [paused, other] = await Promise.all([
      all.addPair({nodeId: 'catalogue-1', service: 'catalogue'}),
      all.addPair({nodeId: 'orders-1'}),
    ]);
    await all.waitUntilReady([paused, other]);
    const before = await fleet.call(paused.httpPort, {path: '/orders/1'});
    assert.equal(before.status, 200);
    paused.node.signal('SIGSTOP');
    const waiting = fleet.call(paused.httpPort, {path: '/orders/2'});
    for (let i = 0; i < 10; i++) {
      const answer = await fleet.call(other.httpPort, {path: `/orders/${i}`});
      assert.equal(answer.status, 200, answer.body.toString());
    }
    paused.node.signal('SIGCONT');
    const answer = await child.withTimeout(
      waiting,
      TIMEOUT_MS,
      'the paused entry',
    );
    assert.equal(answer.status, 200, answer.body.toString());
  },
);
