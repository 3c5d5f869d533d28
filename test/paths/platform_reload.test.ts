import * as assert from 'node:assert/strict';
import * as fs from 'node:fs';
import * as http from 'node:http';
import * as nodeTest from 'node:test';

import * as child from './child.js';
import * as platformFleet from './platform_fleet.js';

const {test} = nodeTest;

const WAIT_MS = 5_000;
const WORK_MS = 400;
const REQUESTS = 10;

/** Sends requests on persistent connections around `change` and returns their statuses. */
async function statusesAround(
  fleet: platformFleet.PlatformFleet,
  change: (node: platformFleet.FleetNode) => Promise<void>,
): Promise<readonly number[]> {
  const [node] = fleet.nodes;
  for (const {server} of fleet.nodes) {
    server.mode = {kind: 'ok', workMs: WORK_MS};
  }
  const agent = new http.Agent({keepAlive: true, maxSockets: REQUESTS});
  const sendRound = (name: string): ReadonlyArray<Promise<number>> =>
    Array.from({length: REQUESTS}, async (unused, i) => {
      const req = {id: `${name}${i}`, agent};
      return (await fleet.send(node, req)).status;
    });
  const before = sendRound('before');
  await child.waitUntil(
    () => fleet.nodes.some(({server}) => server.running > 0),
    WAIT_MS,
    () => 'requests to run',
  );
  await change(node);
  const after = sendRound('after');
  const statuses = await Promise.all([...before, ...after]);
  agent.destroy();
  return statuses;
}

function waitForOutput(
  node: platformFleet.FleetNode,
  text: string,
): Promise<void> {
  return child.waitUntil(
    () => node.process.printed.includes(text),
    WAIT_MS,
    () => `${node.name} to print ${text}`,
  );
}

test('a reload by signal aborts no request and keeps connections', async () => {
  await using fleet = await platformFleet.PlatformFleet.start(2);
  const statuses = await statusesAround(fleet, async node => {
    node.process.signal('SIGHUP');
    await waitForOutput(node, '"event":"reload"');
  });
  assert.deepEqual([...new Set(statuses)], [200]);
});

test('a changed settings file is applied without a signal', async () => {
  await using fleet = await platformFleet.PlatformFleet.start(2);
  const [, other] = fleet.nodes;
  const statuses = await statusesAround(fleet, async node => {
    const settings = JSON.parse(fs.readFileSync(node.settings, 'utf8'));
    const changed = {...settings, service: 'renamed'};
    fs.writeFileSync(node.settings, JSON.stringify(changed));
    await waitForOutput(node, '"service":"renamed"');
  });
  assert.deepEqual([...new Set(statuses)], [200]);
  assert.ok(other.server.runs.length > 0);
});

test('invalid settings are refused with their errors, the old ones stay', async () => {
  await using fleet = await platformFleet.PlatformFleet.start(2);
  const statuses = await statusesAround(fleet, async node => {
    fs.writeFileSync(node.settings, '{"nodeId": ');
    node.process.signal('SIGHUP');
    await waitForOutput(node, '"event":"reload-refused"');
  });
  assert.deepEqual([...new Set(statuses)], [200]);
});
