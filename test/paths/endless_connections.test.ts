import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as documents from '../stand_ins/platform/documents.js';
import * as child from './child.js';
import * as clientCrowd from './client_crowd.js';
import * as crowdFixture from './crowd_fixture.js';

const {test} = nodeTest;

/** Descriptors that the process may open, fewer than the crowd's connections. */
const LIMIT = 400;

/** What the process may use beside a crowd, so that servers, peers and the store stay in reach. */
const MAX_DESCRIPTORS = (LIMIT * 3) / 4;

/** Announcements of the backend server, and links of the other nodes. */
const OTHER_CONNECTIONS = 4;

const CLIENTS = 500;

const IDLE: clientCrowd.ClientAction = () => undefined;

const ANSWERED = crowdFixture.once(
  'GET /history/1 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: r\r\n\r\n',
);

const PARTIAL = crowdFixture.once('GET /history/1 HTTP/1.1\r\nHost: sh');

const KINDS: ReadonlyMap<string, clientCrowd.ClientAction> = new Map([
  ['that send nothing', IDLE],
  ['left in a head', PARTIAL],
  ['left after an answer', ANSWERED],
]);

for (const [kind, act] of KINDS) {
  test(`a node serves beside more connections than descriptors, ${kind}`, async () => {
    await using all = await crowdFixture.startPlatformFleet({
      maxDescriptors: LIMIT,
    });
    const [node] = all.nodes;
    const target = crowdFixture.platformTarget(all, node);
    await crowdFixture.checkServesBeside(target, {
      address: node.callers,
      clients: CLIENTS,
      act,
      maxDescriptors: MAX_DESCRIPTORS,
    });
  });
}

test('a node reaches store and peers beside connections without end', async () => {
  await using all = await crowdFixture.startPlatformFleet({
    maxDescriptors: LIMIT,
  });
  const [node, peer] = all.nodes;
  using crowd = new clientCrowd.ClientCrowd(node.callers);
  await crowd.add(CLIENTS, IDLE);
  const timer = setInterval(() => void crowd.add(CLIENTS / 10, IDLE), 100);
  using unusedTimer = {[Symbol.dispose]: () => clearInterval(timer)};
  const routes = [documents.addedRoute('added', {timeout_s: 20})];
  const added = documents.configuration(2, {routes});
  all.store.put('keyed.op', 'config', added);
  const path = '/added/1';
  const statusAt = (to: typeof node) =>
    crowdFixture.statusOf(async () => {
      const req = {id: 'added', path, deadlineMs: 20_000};
      return (await all.send(to, req)).status;
    });
  for (const to of [peer, node]) {
    await child.waitUntil(
      async () => (await statusAt(to)) === 200,
      20_000,
      () => `${to.name} to serve the added route`,
    );
  }
  assert.ok(node.process.isRunning);
  assert.ok(node.process.descriptors < MAX_DESCRIPTORS);
});

test('a node serves beside thousands of connections, opened and closed', async () => {
  await using all = await crowdFixture.startPlatformFleet({
    maxDescriptors: LIMIT,
  });
  const [node] = all.nodes;
  const target = crowdFixture.platformTarget(all, node);
  for (let i = 0; i < 10; i++) {
    using crowd = new clientCrowd.ClientCrowd(node.callers);
    await crowd.add(CLIENTS, i % 2 === 0 ? IDLE : PARTIAL);
    assert.equal(await crowdFixture.statusOf(target.request), 200, `${i}`);
  }
  await crowdFixture.checkServesBeside(target, {
    address: node.callers,
    clients: CLIENTS,
    act: socket => socket.destroy(),
    maxDescriptors: MAX_DESCRIPTORS,
  });
});

for (const port of ['control', 'readiness', 'metrics', 'peers'] as const) {
  test(`a node serves beside more connections than descriptors at the ${port} port`, async () => {
    await using all = await crowdFixture.startPlatformFleet({
      maxDescriptors: LIMIT,
    });
    const [node] = all.nodes;
    const target = crowdFixture.platformTarget(all, node);
    await crowdFixture.checkServesBeside(target, {
      address: node[port],
      clients: CLIENTS,
      act: IDLE,
      otherConnections: OTHER_CONNECTIONS,
      maxDescriptors: MAX_DESCRIPTORS,
    });
  });
}

test('geraniumloftd serves beside more connections than descriptors', async () => {
  await using all = await crowdFixture.startDaemonFleet({
    maxDescriptors: LIMIT,
  });
  const [pair] = all.pairs;
  const target = crowdFixture.daemonTarget(pair);
  await crowdFixture.checkServesBeside(target, {
    address: `127.0.0.1:${pair.httpPort}`,
    clients: CLIENTS,
    act: IDLE,
    maxDescriptors: MAX_DESCRIPTORS,
  });
});
