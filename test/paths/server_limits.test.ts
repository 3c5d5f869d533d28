import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as platformFleet from './platform_fleet.js';

const {test} = nodeTest;

const NODES = 4;

/** The node in the data centre of the first one. */
const NEIGHBOUR = 3;

/** Work of a request; one server alone is nearly full under load. */
const WORK_MS = 100;

/** Interval between requests to the fleet. */
const REQUEST_INTERVAL_MS = 15;

const WINDOW_MS = 4_000;

/** Requests that a server may get in a window: 1.5 times its limit, plus 5. */
const LIMIT_PER_SECOND = 2;
const MAX_IN_WINDOW = (1.5 * LIMIT_PER_SECOND * WINDOW_MS) / 1_000 + 5;

/** Time after which a limit or the leaving of a server is binding for nodes that were told. */
const CONTACT_MS = 3_000;
const DRAIN_MS = 2_000;

function wait(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

async function startFleet(): Promise<platformFleet.PlatformFleet> {
  const fleet = await platformFleet.PlatformFleet.start(NODES);
  for (const {server} of fleet.nodes) {
    server.mode = {kind: 'ok', workMs: WORK_MS};
  }
  return fleet;
}

/** Sends requests to the nodes in turn while `during` runs; returns the statuses of the answers. */
async function underLoad(
  fleet: platformFleet.PlatformFleet,
  indices: readonly number[],
  during: () => Promise<void>,
): Promise<readonly number[]> {
  const sends: Array<Promise<number>> = [];
  const timer = setInterval(() => {
    const i = sends.length;
    const node = fleet.nodes[indices[i % indices.length]];
    const id = `${indices.join('-')}-${performance.now()}`;
    sends.push(fleet.send(node, {id}).then(answer => answer.status));
  }, REQUEST_INTERVAL_MS);
  try {
    await during();
  } finally {
    clearInterval(timer);
  }
  return Promise.all(sends);
}

async function runsIn(
  fleet: platformFleet.PlatformFleet,
  windowMs: number,
): Promise<number> {
  const {runs} = fleet.nodes[0].server;
  const before = runs.length;
  await wait(windowMs);
  return runs.length - before;
}

test('a server gets several times the limit that it names', async () => {
  await using fleet = await startFleet();
  const [{server}] = fleet.nodes;
  const counts: number[] = [];
  const statuses = await underLoad(fleet, [0, NEIGHBOUR], async () => {
    server.limit = String(LIMIT_PER_SECOND);
    await wait(CONTACT_MS);
    counts.push(await runsIn(fleet, WINDOW_MS));
    server.limit = undefined;
    await wait(CONTACT_MS);
    counts.push(await runsIn(fleet, WINDOW_MS));
  });
  const [limited, unlimited] = counts;
  assert.ok(limited <= MAX_IN_WINDOW, `${limited} in ${WINDOW_MS} ms`);
  assert.ok(limited > 0, 'none while limited');
  assert.ok(unlimited > MAX_IN_WINDOW, `${unlimited} after the limit`);
  const refused = statuses.filter(status => status !== 200);
  assert.deepEqual(refused, []);
});

test('a server gets requests after its answers said that it leaves', async () => {
  await using fleet = await startFleet();
  const [{server}] = fleet.nodes;
  const counts: number[] = [];
  await underLoad(fleet, [0, NEIGHBOUR], async () => {
    server.statesLeaving = true;
    await wait(DRAIN_MS);
    counts.push(await runsIn(fleet, DRAIN_MS));
  });
  // The node beside the server restarts; neither heartbeats nor health checks tell it.
  fleet.nodes[0].process.signal('SIGKILL');
  await fleet.nodes[0].process.exitStatus();
  await fleet.restart(fleet.nodes[0]);
  await underLoad(fleet, [NEIGHBOUR], async () => {
    counts.push(await runsIn(fleet, DRAIN_MS));
  });
  assert.deepEqual(counts, [0, 0]);
});
