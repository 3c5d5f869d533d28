import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as documents from '../stand_ins/platform/documents.js';
import * as child from './child.js';
import * as platformFleet from './platform_fleet.js';

const {test} = nodeTest;

const TIMEOUT_S = 4;
const DEADLINE_MS = 4_500;
const WORK_MS = 1_600;
const WAIT_MS = 5_000;

/** Routes by number of attempts and kind, all of them to the service `orders`. */
function routes(): readonly object[] {
  const longRoute = (name: string, overrides: object): object =>
    documents.addedRoute(name, {timeout_s: TIMEOUT_S, ...overrides});
  return [
    longRoute('history', {attempts: 1}),
    longRoute('retried', {attempts: 2}),
    longRoute('place', {attempts: 1, route_kind: 'unsafe'}),
  ];
}

/** An entry beside a server of another service, and three gates whose servers take `WORK_MS`. */
async function startFleet(): Promise<platformFleet.PlatformFleet> {
  const fleet = await platformFleet.PlatformFleet.start(4, {
    services: ['maps'],
    configuration: {
      routes: routes(),
      services: ['maps', 'orders'].map(documents.service),
    },
  });
  for (const {server} of fleet.nodes) {
    server.mode = {kind: 'ok', workMs: WORK_MS};
  }
  return fleet;
}

/** Waits until a server runs a request and returns the node beside it. */
async function nodeThatRuns(
  fleet: platformFleet.PlatformFleet,
  id: string,
): Promise<platformFleet.FleetNode> {
  const find = (): platformFleet.FleetNode | undefined =>
    fleet.nodes.find(({server}) => server.runs.some(r => r.requestId === id));
  await child.waitUntil(
    () => find() !== undefined,
    WAIT_MS,
    () => 'the run to begin',
  );
  const node = find();
  assert.ok(node);
  return node;
}

/** Stops a process by a signal for a while. */
async function pause(process: child.Child, pauseMs: number): Promise<void> {
  process.signal('SIGSTOP');
  await new Promise(resolve => setTimeout(resolve, pauseMs));
  process.signal('SIGCONT');
}

for (const pauseMs of [700, 1_100]) {
  test(`a gate that is silent for ${pauseMs} ms delivers the answer of the only attempt`, async () => {
    await using fleet = await startFleet();
    const [entry] = fleet.nodes;
    const sent = fleet.send(entry, {id: 'r', deadlineMs: DEADLINE_MS});
    const gate = await nodeThatRuns(fleet, 'r');
    await pause(gate.process, pauseMs);
    const {status} = await sent;
    assert.equal(status, 200);
    assert.equal(fleet.runsOf('r'), 1);
    assert.deepEqual(gate.server.cancelled, []);
  });
}

test('an entry that stops delivers the answer of a gate that was silent', async () => {
  await using fleet = await startFleet();
  const [entry] = fleet.nodes;
  const sent = fleet.send(entry, {id: 'r', deadlineMs: DEADLINE_MS});
  const gate = await nodeThatRuns(fleet, 'r');
  entry.process.signal('SIGTERM');
  await pause(gate.process, 700);
  assert.equal((await sent).status, 200);
  assert.equal(fleet.runsOf('r'), 1);
});

test('an entry that was paused itself delivers the answer of its only attempt', async () => {
  await using fleet = await startFleet();
  const [entry] = fleet.nodes;
  const sent = fleet.send(entry, {id: 'r', deadlineMs: DEADLINE_MS});
  await nodeThatRuns(fleet, 'r');
  await pause(entry.process, 700);
  assert.equal((await sent).status, 200);
  assert.equal(fleet.runsOf('r'), 1);
  assert.ok(!entry.process.printed.includes('peer-lost'));
});

test('a request that must not be repeated waits for its gate until the deadline', async () => {
  await using fleet = await startFleet();
  const [entry] = fleet.nodes;
  const req = {id: 'r', path: '/place/1', method: 'POST', body: 'order'};
  const sent = fleet.send(entry, {...req, deadlineMs: DEADLINE_MS});
  const gate = await nodeThatRuns(fleet, 'r');
  await pause(gate.process, 1_900);
  assert.equal((await sent).status, 200);
  assert.equal(fleet.runsOf('r'), 1);
});

test('a second attempt answers while the gate of the first one is silent', async () => {
  await using fleet = await startFleet();
  const [entry] = fleet.nodes;
  const sentMs = performance.now();
  const req = {id: 'r', path: '/retried/1', deadlineMs: DEADLINE_MS};
  const sent = fleet.send(entry, req);
  const gate = await nodeThatRuns(fleet, 'r');
  const pausing = pause(gate.process, 3_500);
  assert.equal((await sent).status, 200);
  assert.ok(performance.now() - sentMs < 3_000);
  assert.equal(fleet.runsOf('r'), 2);
  await pausing;
});

test('a request whose gate stays silent fails at its timeout', async () => {
  await using fleet = await startFleet();
  const [entry] = fleet.nodes;
  const sentMs = performance.now();
  const sent = fleet.send(entry, {id: 'r', deadlineMs: DEADLINE_MS});
  const gate = await nodeThatRuns(fleet, 'r');
  const pausing = pause(gate.process, 4_500);
  assert.equal((await sent).status, 504);
  const elapsedMs = performance.now() - sentMs;
  assert.ok(Math.abs(elapsedMs - TIMEOUT_S * 1_000) < 300, `${elapsedMs} ms`);
  await pausing;
});

test('a request fails at once when the process of its gate has ended', async () => {
  await using fleet = await startFleet();
  const [entry] = fleet.nodes;
  const sent = fleet.send(entry, {id: 'r', deadlineMs: DEADLINE_MS});
  const gate = await nodeThatRuns(fleet, 'r');
  gate.process.signal('SIGKILL');
  const endedMs = performance.now();
  assert.equal((await sent).status, 502);
  const elapsedMs = performance.now() - endedMs;
  assert.ok(elapsedMs < 500, `${elapsedMs} ms`);
});

for (const direction of ['forward', 'reverse', 'both'] as const) {
  test(`an answer is delivered over a new link after a cut (${direction})`, async () => {
    await using fleet = await startFleet();
    const [entry] = fleet.nodes;
    const sent = fleet.send(entry, {id: 'r', deadlineMs: DEADLINE_MS});
    const gate = await nodeThatRuns(fleet, 'r');
    gate.relay.mode = {kind: 'drop', direction};
    gate.relay.silence();
    await new Promise(resolve => setTimeout(resolve, 1_000));
    gate.relay.mode = {kind: 'pass'};
    assert.equal((await sent).status, 200);
    assert.equal(fleet.runsOf('r'), 1);
  });
}

// Callers got a closed connection, although the process had time to answer before it was killed.
test('an entry that stops answers callers that still wait when its time ends', async () => {
  await using fleet = await startFleet();
  const [entry] = fleet.nodes;
  for (const {server} of fleet.nodes) server.mode = {kind: 'hang'};
  const sent = fleet.send(entry, {id: 'r', deadlineMs: DEADLINE_MS});
  await nodeThatRuns(fleet, 'r');
  entry.process.signal('SIGTERM');
  const {status, body} = await sent;
  assert.deepEqual([status, body], [502, 'stopping']);
});

test('an entry paused beyond the end of its stop delivers the answers that have come', async () => {
  await using fleet = await startFleet();
  const [entry] = fleet.nodes;
  const sent = fleet.send(entry, {id: 'r', deadlineMs: 2 * DEADLINE_MS});
  await nodeThatRuns(fleet, 'r');
  entry.process.signal('SIGTERM');
  await pause(entry.process, 3_600);
  assert.equal((await sent).status, 200);
});
