import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as timers from 'node:timers/promises';

import * as documents from '../stand_ins/platform/documents.js';
import * as child from './child.js';
import * as platformFleet from './platform_fleet.js';

const {test} = nodeTest;

const REVOKE_MS = 5_000;

/** Time that a change may take until it is in force on every node. */
const IN_FORCE_MS = 3_000;

/** Time for which calls of the store are counted. */
const COUNTED_MS = 5_000;

const SETTINGS = {
  bounds: {grace_s: 4, strict_revoke: true, revoke_s: REVOKE_MS / 1_000},
};

function tenants(...keys: readonly string[]): object {
  return {
    tenants: [
      {name: 'kept-tenant', api_keys: ['kept']},
      {name: 'other-tenant', api_keys: keys},
    ],
  };
}

function startFleet(size: number): Promise<platformFleet.PlatformFleet> {
  return platformFleet.PlatformFleet.start(size, {
    settings: SETTINGS,
    configuration: tenants('removed'),
  });
}

let requests = 0;

function sendKey(
  fleet: platformFleet.PlatformFleet,
  node: platformFleet.FleetNode,
  key: string,
  more: Partial<platformFleet.CallerRequest> = {},
): Promise<platformFleet.CallerAnswer> {
  const headers = {Key: key, ...more.headers};
  return fleet.send(node, {id: `k${++requests}`, ...more, headers});
}

async function waitUntilAdmitted(
  fleet: platformFleet.PlatformFleet,
  node: platformFleet.FleetNode,
): Promise<void> {
  await child.waitUntil(
    async () => (await sendKey(fleet, node, 'kept')).status === 200,
    IN_FORCE_MS,
    () => `${node.name} to admit a key; it printed ${node.process.printed}`,
  );
}

// The store serves the other nodes meanwhile, so the node must get proofs and the removal of them.
test('a node that the store turns away refuses a removed key in time, and admits others', async () => {
  await using fleet = await startFleet(4);
  // The first of its data centre, and so a reader of the store.
  const [turnedAway] = fleet.nodes;
  for (const node of fleet.nodes) await waitUntilAdmitted(fleet, node);
  turnedAway.storeRelay.mode = {kind: 'refuse'};
  turnedAway.storeRelay.reset();
  await timers.setTimeout(1_000);
  assert.equal((await sendKey(fleet, turnedAway, 'removed')).status, 200);
  fleet.store.put('keyed.op', 'config', documents.configuration(2, tenants()));
  const removedMs = performance.now();
  let lastAdmittedMs = 0;
  while (performance.now() - removedMs < REVOKE_MS + 1_000) {
    const sentMs = performance.now() - removedMs;
    const answer = await sendKey(fleet, turnedAway, 'removed');
    if (answer.status === 200) lastAdmittedMs = sentMs;
    else assert.equal(answer.status, 401);
    // The proof must not expire while peers read the store.
    assert.equal((await sendKey(fleet, turnedAway, 'kept')).status, 200);
    await timers.setTimeout(100);
  }
  assert.ok(lastAdmittedMs < REVOKE_MS, `admitted after ${lastAdmittedMs} ms`);
});

test('without a store keys are refused as not run after the bound, other requests are served', async () => {
  await using fleet = await startFleet(2);
  const [node] = fleet.nodes;
  await waitUntilAdmitted(fleet, node);
  const open = {...documents.addedRoute('open'), no_auth: true};
  const routes = [documents.addedRoute('history'), open];
  const version2 = {...tenants('removed'), routes};
  fleet.store.put('keyed.op', 'config', documents.configuration(2, version2));
  await child.waitUntil(
    async () => {
      const answer = await fleet.send(node, {id: 'o1', path: '/open/1'});
      return answer.status === 200;
    },
    IN_FORCE_MS,
    () => 'the open route to be served',
  );
  fleet.store.mode = {kind: 'silent'};
  await timers.setTimeout(REVOKE_MS + 100);
  for (const {storeRelay} of fleet.nodes) storeRelay.silence();
  for (const key of ['kept', 'unknown']) {
    const answer = await sendKey(fleet, node, key, {id: `silent-${key}`});
    assert.equal(answer.status, 503);
    assert.ok(Number(answer.headers['retry-after']) < 1);
    assert.equal(fleet.runsOf(`silent-${key}`), 0);
  }
  const served = await fleet.send(node, {id: 'o2', path: '/open/2'});
  assert.equal(served.status, 200);
  assert.match(node.process.printed, /proof-lost/);
  fleet.store.mode = {kind: 'up'};
  await child.waitUntil(
    async () => (await sendKey(fleet, node, 'kept')).status === 200,
    REVOKE_MS,
    () => 'the key to be admitted again',
  );
  assert.match(node.process.printed, /proof-regained/);
});

test('servers get the tenant of the key and never the key, on retries too', async () => {
  await using fleet = await startFleet(2);
  const [node, other] = fleet.nodes;
  await waitUntilAdmitted(fleet, node);
  const forged = {Tenant: 'kept-tenant', tenant2: 'x'};
  const first = await sendKey(fleet, node, 'removed', {
    id: 'forged',
    headers: forged,
  });
  assert.equal(first.status, 200);
  // The first gate to get it sheds it, and the other one runs it.
  node.server.mode = {kind: 'shed'};
  for (let i = 0; i < 10; i++) {
    const id = `shed-${i}`;
    const answer = await sendKey(fleet, node, 'removed', {id, headers: forged});
    assert.equal(answer.status, 200);
  }
  const runs = [...node.server.runs, ...other.server.runs].filter(
    ({requestId}) => /^(forged|shed)/.test(requestId),
  );
  assert.ok(runs.length >= 11);
  for (const {headers} of runs) {
    assert.equal(headers['key'], undefined);
    assert.equal(headers['tenant'], 'other-tenant');
  }
  for (const key of ['unknown', '', 'x'.repeat(257)]) {
    assert.equal((await sendKey(fleet, node, key)).status, 401);
  }
  assert.equal((await fleet.send(node, {id: 'no-key'})).status, 401);
  for (const {process} of fleet.nodes) {
    assert.doesNotMatch(process.printed, /"removed"|unknown key/);
  }
});

// Calls are expensive: reads for proofs are made by one node of each data centre only.
test('the calls for proofs stay few', async () => {
  await using fleet = await startFleet(6);
  for (const node of fleet.nodes) await waitUntilAdmitted(fleet, node);
  fleet.store.calls = 0;
  await timers.setTimeout(COUNTED_MS);
  const perSecond = fleet.store.calls / (COUNTED_MS / 1_000);
  // Three data centres, with a read each 1.25 s.
  assert.ok(perSecond <= 4, `${perSecond} calls a second`);
});
