import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as child from './child.js';
import * as platformFleet from './platform_fleet.js';

const {test} = nodeTest;

const OLD = 'v1';
const TARGET = 'v2';
const DURATION_S = 16;
const REQUESTS_PER_SECOND = 120;
const WORK_MS = 40;

/** Time between the two reads of a count that must not change. */
const STILL_MS = 1_000;

interface Status {
  readonly state: string;
  readonly target_version: string;
}

function statesOf(fleet: platformFleet.PlatformFleet): readonly string[] {
  const values = fleet.store.valuesOf('keyed.status', 'rollout/orders');
  return values.map(value => {
    const {state, target_version} = value as Status;
    assert.equal(target_version, TARGET);
    return state;
  });
}

function order(fleet: platformFleet.PlatformFleet): void {
  fleet.store.put('keyed.op', 'rollout/orders', {
    service: 'orders',
    target_version: TARGET,
    duration_s: DURATION_S,
  });
}

function runsOfVersion(
  fleet: platformFleet.PlatformFleet,
  version: string,
): number {
  return fleet.nodes
    .filter(({server}) => server.version === version)
    .reduce((sum, {server}) => sum + server.runs.length, 0);
}

/** Sends requests to all nodes in turn until it is disposed; counts the answers. */
class Load implements AsyncDisposable {
  sent = 0;
  ok = 0;
  private readonly open = new Set<Promise<void>>();
  private readonly timer: NodeJS.Timeout;

  constructor(private readonly fleet: platformFleet.PlatformFleet) {
    const gapMs = 1_000 / REQUESTS_PER_SECOND;
    this.timer = setInterval(() => this.send(), gapMs);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    clearInterval(this.timer);
    await Promise.all(this.open);
  }

  private send(): void {
    const number = ++this.sent;
    const node = this.fleet.nodes[number % this.fleet.nodes.length];
    const answered = this.fleet
      .send(node, {id: `load${number}`})
      .then(({status}) => void (this.ok += status === 200 ? 1 : 0))
      .catch(() => undefined)
      .finally(() => this.open.delete(answered));
    this.open.add(answered);
  }
}

async function startFleet(): Promise<platformFleet.PlatformFleet> {
  const versions = [OLD, OLD, TARGET, TARGET];
  const fleet = await platformFleet.PlatformFleet.start(4, {versions});
  for (const {server} of fleet.nodes) {
    server.mode = {kind: 'ok', workMs: WORK_MS};
  }
  return fleet;
}

function waitForState(
  fleet: platformFleet.PlatformFleet,
  state: string,
): Promise<void> {
  return child.waitUntil(
    () => statesOf(fleet).at(-1) === state,
    (DURATION_S + 2) * 1_000,
    () => `${state}; states ${statesOf(fleet).join()}`,
  );
}

test('a good version gets all requests, and none runs at old servers when it is done', async () => {
  await using fleet = await startFleet();
  await using load = new Load(fleet);
  order(fleet);
  await waitForState(fleet, 'done');
  assert.deepEqual(statesOf(fleet), ['running', 'done']);
  const running = fleet.nodes
    .filter(({server}) => server.version === OLD)
    .map(({server}) => server.running);
  assert.deepEqual(running, [0, 0]);
  const before = runsOfVersion(fleet, OLD);
  const {sent, ok} = load;
  await new Promise(resolve => setTimeout(resolve, STILL_MS));
  assert.equal(runsOfVersion(fleet, OLD), before);
  assert.ok(load.ok - ok > 0.9 * (load.sent - sent), 'requests are served');
});

test('a bad version gets its bounded share, is rolled back and gets nothing more', async () => {
  await using fleet = await startFleet();
  for (const {server} of fleet.nodes) {
    if (server.version === TARGET) server.mode = {kind: 'error'};
  }
  const early = runsOfVersion(fleet, TARGET);
  order(fleet);
  await child.waitUntil(
    () => statesOf(fleet).at(-1) === 'running',
    5_000,
    () => 'the order to be read',
  );
  await using load = new Load(fleet);
  await waitForState(fleet, 'rolled_back');
  assert.deepEqual(statesOf(fleet), ['running', 'rolled_back']);
  const exposed = runsOfVersion(fleet, TARGET) - early;
  assert.ok(exposed <= 0.1 * load.sent + 50, `${exposed} of ${load.sent}`);
  assert.ok(exposed > 5, `${exposed} requests prove nothing`);
  await new Promise(resolve => setTimeout(resolve, STILL_MS));
  assert.equal(runsOfVersion(fleet, TARGET) - early, exposed);
});
