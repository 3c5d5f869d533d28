import * as assert from 'node:assert/strict';
import * as fs from 'node:fs';
import * as net from 'node:net';
import * as nodeTest from 'node:test';

import * as generated from '../../src/generated/node_settings.js';
import * as serving from '../../src/generated/serving.js';
import * as frameCodec from '../../src/node/frame_codec.js';
import * as documents from '../stand_ins/platform/documents.js';
import type * as storeStandIn from '../stand_ins/platform/store_stand_in.js';
import * as child from './child.js';
import * as oddEntries from './odd_entries.js';
import * as platformFleet from './platform_fleet.js';

const {test} = nodeTest;

const FLEET_TOPIC = 'keyed.fleet';
const OPERATORS_TOPIC = 'keyed.op';

/** Time that a change may take until it is in force on every node. */
const IN_FORCE_MS = 4_000;

/** Time in which every node reads the records of nodes after a return of the store. */
const READ_AGAIN_MS = 5_000;

/** Time in which the states of roll-outs are written. */
const STATUS_WRITTEN_MS = 1_500;

/** Calls to the store that a fleet of three nodes may make until a record is in force on all. */
const MAX_CALLS = 60;

/** Writes an odd record of each kind, under keys before and after those of the nodes. */
function writeOddNodes({store}: platformFleet.PlatformFleet): void {
  for (const prefix of ['a', 'z']) {
    oddEntries.oddNodeValues('').forEach((_, i) => {
      const nodeId = `${prefix}-${i}`;
      const value = oddEntries.oddNodeValues(nodeId)[i];
      store.putBytes(FLEET_TOPIC, `node/${nodeId}`, value);
    });
  }
  store.putBytes(FLEET_TOPIC, '', oddEntries.encodedNode('', {}));
  store.putBytes(
    FLEET_TOPIC,
    'node/\u0000',
    oddEntries.encodedNode('\u0000', {}),
  );
}

/** Starts a new era, in which every node reads the records of nodes again. */
function startNewEra(store: storeStandIn.StoreStandIn): void {
  store.returnFrom(store.copy());
  // Ends the reads that wait, so that they find the new era at once.
  store.put(OPERATORS_TOPIC, 'remark', {});
}

function withRoute(version: number, name: string): object {
  const routes = ['history', name].map(route => documents.addedRoute(route));
  return documents.configuration(version, {routes});
}

let requests = 0;

async function statusesOf(
  fleet: platformFleet.PlatformFleet,
  path: string,
  deadlineMs?: number,
): Promise<readonly number[]> {
  const sent = fleet.nodes.map(node =>
    fleet.send(node, {id: `odd${++requests}`, path, deadlineMs}),
  );
  const answers = await Promise.allSettled(sent);
  return answers.map(answer =>
    answer.status === 'fulfilled' ? answer.value.status : 0,
  );
}

/** Writes a configuration with a route of its own and waits until every node serves it. */
async function checkFollowed(
  fleet: platformFleet.PlatformFleet,
  version: number,
): Promise<void> {
  const name = `added-${version}`;
  fleet.store.put(OPERATORS_TOPIC, 'config', withRoute(version, name));
  let statuses: readonly number[] = [];
  await child.waitUntil(
    async () => {
      statuses = await statusesOf(fleet, `/${name}/1`);
      return statuses.every(status => status === 200);
    },
    IN_FORCE_MS,
    () => `configuration ${version} to be followed, not ${statuses.join()}`,
  );
}

function checkAllRun(fleet: platformFleet.PlatformFleet): void {
  for (const node of fleet.nodes) {
    const {exitCode} = node.process.process;
    assert.equal(exitCode, null, `${node.name} ended: ${endOf(node)}`);
  }
}

/** Waits until a node has logged that it ignored an entry. */
async function waitUntilIgnored(
  node: platformFleet.FleetNode,
  key: string,
): Promise<void> {
  await child.waitUntil(
    () => ignoredBy(node).includes(key),
    READ_AGAIN_MS,
    () => `${node.name} to ignore ${key}; it printed ${endOf(node)}`,
  );
}

function endOf({process}: platformFleet.FleetNode): string {
  return process.printed.slice(-2_000);
}

/** Keys of the entries that a node has logged as ignored. */
function ignoredBy({process}: platformFleet.FleetNode): readonly string[] {
  return process.printed
    .split('\n')
    .filter(line => line.includes('"record-ignored"'))
    .map(line => (JSON.parse(line) as {readonly record: string}).record);
}

function settingsOf(node: platformFleet.FleetNode): generated.NodeSettings {
  const text = fs.readFileSync(node.settings, 'utf8');
  return JSON.parse(text) as generated.NodeSettings;
}

function addressOf(
  node: platformFleet.FleetNode,
): Pick<serving.NodeRecord, 'ip' | 'port'> {
  const [ip, port] = settingsOf(node).listen.advertised!.split(':');
  return {ip, port: Number(port)};
}

/** Sends a greeting as another writer might, and waits until the connection is closed. */
async function greet(
  node: platformFleet.FleetNode,
  sender: serving.NodeRecord,
): Promise<void> {
  const value = serving.Greeting.fromPartial({
    sender,
    processStartedMs: 1,
    toNodeId: node.name,
  });
  const frame: serving.NodeFrame = {body: {$case: 'greeting', value}};
  const {ip, port} = addressOf(node);
  const socket = net.connect(port, ip);
  socket.on('error', () => undefined);
  socket.end(frameCodec.encodeFrame(serving.NodeFrame, frame));
  await new Promise(resolve => socket.on('close', resolve));
}

test('odd records of nodes end no process, also when a node gets them from another one', async () => {
  await using fleet = await platformFleet.PlatformFleet.start(3);
  const {store} = fleet;
  const [cutOff, ...readers] = fleet.nodes;
  cutOff.storeRelay.mode = {kind: 'refuse'};
  cutOff.storeRelay.reset();
  writeOddNodes(fleet);
  startNewEra(store);
  for (const node of readers) await waitUntilIgnored(node, 'z-0');
  await checkFollowed(fleet, 5);
  cutOff.storeRelay.mode = {kind: 'pass'};
  await waitUntilIgnored(cutOff, 'z-0');
  await checkFollowed(fleet, 6);
  checkAllRun(fleet);
});

test('odd senders of greetings end no process', async () => {
  await using fleet = await platformFleet.PlatformFleet.start(2);
  const [node] = fleet.nodes;
  for (const [i, value] of oddEntries.oddNodeValues('odd').entries()) {
    let sender: serving.NodeRecord;
    try {
      sender = serving.NodeRecord.decode(value);
    } catch {
      continue;
    }
    await greet(node, {...sender, nodeId: `odd-${i}`});
  }
  checkAllRun(fleet);
  await waitUntilIgnored(node, 'odd-0');
  await checkFollowed(fleet, 5);
});

test('an odd record under the key of a living node costs no link and is replaced', async () => {
  await using fleet = await platformFleet.PlatformFleet.start(3);
  const {store} = fleet;
  const [own, other] = fleet.nodes;
  const odd = [
    oddEntries.encodedNode(other.name, {port: 70_000}),
    Buffer.alloc(oddEntries.DEEP_LEVELS, 0x7b),
    // The address of a living node, of this node, and of none.
    oddEntries.encodedNode(other.name, addressOf(own)),
    oddEntries.encodedNode(other.name, {}),
  ];
  for (const value of odd) {
    const printed = fleet.nodes.map(({process}) => process.printed.length);
    const key = `node/${other.name}`;
    const written = store.newestOf(FLEET_TOPIC, key);
    store.putBytes(FLEET_TOPIC, key, value);
    startNewEra(store);
    await child.waitUntil(
      () => store.newestOf(FLEET_TOPIC, key)?.equals(written!) ?? false,
      READ_AGAIN_MS,
      () => `${other.name} to replace ${value.toString('hex', 0, 40)}`,
    );
    fleet.nodes.forEach(({name, process}, i) => {
      const since = process.printed.slice(printed[i]);
      assert.doesNotMatch(since, /peer-lost|peer-replaced/, name);
    });
  }
  await checkFollowed(fleet, 5);
  checkAllRun(fleet);
});

test('nodes are found behind pages of odd records', async () => {
  await using fleet = await platformFleet.PlatformFleet.start(2);
  const {store} = fleet;
  writeOddNodes(fleet);
  // Several pages before and after the keys of the nodes; the last ones are not UTF-8.
  for (let i = 0; i < 1_100; i++) {
    store.putBytes(FLEET_TOPIC, `a${i}`, oddEntries.encodedNode('', {}));
    store.putBytes(
      FLEET_TOPIC,
      `node/${i}`,
      oddEntries.encodedNode(`${i}`, {port: 65_536 + i}),
    );
    store.putBytes(
      FLEET_TOPIC,
      Buffer.from(`\xff${i}`, 'latin1'),
      oddEntries.encodedNode('', {}),
    );
  }
  // Other ids at the addresses of living nodes.
  for (const [i, node] of fleet.nodes.entries()) {
    for (const alias of [`a-alias-${i}`, `z-alias-${i}`]) {
      const value = oddEntries.encodedNode(alias, addressOf(node));
      store.putBytes(FLEET_TOPIC, `node/${alias}`, value);
    }
  }
  const added = await fleet.addNode();
  await fleet.waitUntilReady(added);
  await child.waitUntil(
    () =>
      /peer-regained.*node-0/.test(added.process.printed) &&
      /peer-regained.*node-1/.test(added.process.printed),
    READ_AGAIN_MS,
    () =>
      `${added.name} to reach all; it printed ${added.process.printed.slice(-2_000)}`,
  );
  const calls = store.calls;
  await checkFollowed(fleet, 5);
  checkAllRun(fleet);
  assert.ok(store.calls - calls < MAX_CALLS, `${store.calls - calls} calls`);
});

/** Checks that every node answers requests, some of which it dispatches to another one. */
async function checkServed(fleet: platformFleet.PlatformFleet): Promise<void> {
  for (let i = 0; i < 3; i++) {
    const statuses = await statusesOf(fleet, '/history/1', 1e12);
    checkAllRun(fleet);
    assert.ok(
      statuses.every(status => status === 200),
      statuses.join(),
    );
  }
}

test('odd records of operators end no process and undo nothing', async () => {
  await using fleet = await platformFleet.PlatformFleet.start(3);
  const {store} = fleet;
  // Requests of this node are dispatched to the others.
  await fleet.nodes[0].server[Symbol.asyncDispose]();
  for (const value of oddEntries.oddConfigurations(10)) {
    store.putBytes(OPERATORS_TOPIC, 'config', value);
    await new Promise(resolve => setTimeout(resolve, 200));
    await checkServed(fleet);
  }
  await checkFollowed(fleet, 1_000);
  checkAllRun(fleet);
});

test('odd keys of operators end no process and write nothing', async () => {
  await using fleet = await platformFleet.PlatformFleet.start(2);
  const {store} = fleet;
  const order = Buffer.from('{"target_version":"v1","duration_s":60}');
  const names = ['', '\u0000', '\xff', '\xff'.repeat(200), 'x'.repeat(246)];
  for (const prefix of ['', 'config', 'evacuate/', 'rollout/']) {
    for (const name of names) {
      const key = Buffer.from(prefix + name, 'latin1');
      store.putBytes(OPERATORS_TOPIC, key, order);
    }
  }
  await checkFollowed(fleet, 5);
  startNewEra(store);
  await checkFollowed(fleet, 6);
  // The states of roll-outs are written meanwhile.
  await new Promise(resolve => setTimeout(resolve, STATUS_WRITTEN_MS));
  checkAllRun(fleet);
  assert.deepEqual(store.keysOf('keyed.status'), []);
});

test('odd roll-outs end no process, also when a node gets them from another one', async () => {
  await using fleet = await platformFleet.PlatformFleet.start(3);
  const {store} = fleet;
  const [cutOff] = fleet.nodes;
  cutOff.storeRelay.mode = {kind: 'refuse'};
  cutOff.storeRelay.reset();
  const odd: readonly object[] = [
    {target_version: 'v2', duration_s: 1e300},
    {target_version: 'v2', duration_s: 2 ** 33},
    {target_version: 'x'.repeat(100_000), duration_s: -1},
    {target_version: {}, duration_s: 1},
    {},
  ];
  for (const [i, value] of odd.entries()) {
    store.put(OPERATORS_TOPIC, 'rollout/orders', value);
    store.put('keyed.status', 'rollout/orders', {
      ...value,
      state: 'running',
      service: 'orders',
      order_era: 2 ** 53,
      order_offset: -1,
    });
    await checkFollowed(fleet, 5 + i);
    checkAllRun(fleet);
  }
});

/** Sends a heartbeat of the server beside a node with odd fields; returns the status. */
async function beat(
  node: platformFleet.FleetNode,
  fields: object,
  info: object,
  status: object,
): Promise<number> {
  const {instanceId, startMs, service, dataCentre: zone} = node.server;
  const body = {
    address: settingsOf(node).server,
    born: startMs,
    node_info: {service, version: 'v1', zone, slot_count: 10, ...info},
    status: {state: 'ready', sequence: 1_000, cold_left_s: 0, ...status},
    ...fields,
  };
  const url = `http://${node.control}/Instances.Heartbeat/${instanceId}`;
  const res = await fetch(url, {method: 'POST', body: JSON.stringify(body)});
  await res.arrayBuffer();
  return res.status;
}

test('odd heartbeats and loads of a server end no process', async () => {
  await using fleet = await platformFleet.PlatformFleet.start(2);
  const [node, other] = fleet.nodes;
  // Requests of the other node run here, and their answers carry the load.
  await other.server[Symbol.asyncDispose]();
  const odd: ReadonlyArray<readonly [object, object, object]> = [
    [{}, {slot_count: 2 ** 40}, {}],
    [{}, {slot_count: 1e300}, {}],
    [{}, {}, {sequence: 2 ** 52}],
    [{}, {}, {cold_left_s: 1e300}],
    [{born: 2 ** 53}, {}, {}],
    [{born: 2 ** 52}, {}, {}],
    [{address: '127.0.0.1:70000'}, {}, {}],
  ];
  const statuses: number[] = [];
  for (const [fields, info, status] of odd) {
    statuses.push(await beat(node, fields, info, status));
    await checkServed(fleet);
  }
  assert.deepEqual(new Set(statuses), new Set([400]));
  for (const pacePercent of [1e300, 2 ** 33, -1, NaN]) {
    node.server.pacePercent = pacePercent;
    await checkServed(fleet);
  }
  node.server.pacePercent = 100;
  assert.equal(await node.server.announce(node.control), 200);
  await checkFollowed(fleet, 5);
  checkAllRun(fleet);
});
