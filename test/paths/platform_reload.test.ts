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

/** Starts requests on kept connections and lets `change` happen while they run. */
async function answersAround(
  fleet: platformFleet.PlatformFleet,
  change: (node: platformFleet.FleetNode) => Promise<void>,
): Promise<readonly number[]> {
  const [node] = fleet.nodes;
  for (const {server} of fleet.nodes) {
    server.mode = {kind: 'well', workMs: WORK_MS};
  }
  const agent = new http.Agent({keepAlive: true, maxSockets: REQUESTS});
  const round = (name: string): ReadonlyArray<Promise<number>> =>
    Array.from({length: REQUESTS}, async (unused, i) => {
      const req = {id: `${name}${i}`, agent};
      return (await fleet.send(node, req)).status;
    });
  const before = round('before');
  await child.until(
    () => fleet.nodes.some(({server}) => server.running > 0),
    WAIT_MS,
    () => 'requests to run',
  );
  await change(node);
  const after = round('after');
  const statuses = await Promise.all([...before, ...after]);
  agent.destroy();
  return statuses;
}

function printed(node: platformFleet.FleetNode, text: string): Promise<void> {
  return child.until(
    () => node.process.printed.includes(text),
    WAIT_MS,
    () => `${node.name} to print ${text}`,
  );
}

test('a signal to reload cuts no request and keeps connections', async () => {
  await using fleet = await platformFleet.PlatformFleet.start(2);
  const statuses = await answersAround(fleet, async node => {
    node.process.signal('SIGHUP');
    await printed(node, '"event":"reload"');
  });
  assert.deepEqual([...new Set(statuses)], [200]);
});

test('a changed settings file is taken without a signal', async () => {
  await using fleet = await platformFleet.PlatformFleet.start(2);
  const [, other] = fleet.nodes;
  const statuses = await answersAround(fleet, async node => {
    const settings = JSON.parse(fs.readFileSync(node.settings, 'utf8'));
    const changed = {...settings, service: 'renamed'};
    fs.writeFileSync(node.settings, JSON.stringify(changed));
    await printed(node, '"service":"renamed"');
  });
  assert.deepEqual([...new Set(statuses)], [200]);
  assert.ok(other.server.ran.length > 0);
});

test('broken settings are refused with their faults, the old ones stay', async () => {
  await using fleet = await platformFleet.PlatformFleet.start(2);
  const statuses = await answersAround(fleet, async node => {
    fs.writeFileSync(node.settings, '{"nodeId": ');
    node.process.signal('SIGHUP');
    await printed(node, '"event":"reload-refused"');
  });
  assert.deepEqual([...new Set(statuses)], [200]);
});
