import * as assert from 'node:assert/strict';
import * as http from 'node:http';
import * as nodeTest from 'node:test';
import * as timers from 'node:timers/promises';

import * as documents from '../stand_ins/platform/documents.js';
import * as platformFleet from './platform_fleet.js';

const {test} = nodeTest;

/** More than the buffers of a connection on loopback hold, as 540 KB are on a real network. */
const BODY_BYTES = 8 * 1024 * 1024;

/** The answer comes when new requests are refused and the node ends as soon as it can. */
const WORK_MS = 3_000;

const DEADLINE_MS = 9_000;

function startFleet(size: number): Promise<platformFleet.PlatformFleet> {
  const place = documents.addedRoute('place');
  return platformFleet.PlatformFleet.start(size, {
    settings: {bounds: {grace_s: 6}},
    configuration: {
      routes: [{...place, route_kind: 'unsafe', timeout_s: 10}],
    },
  });
}

/** Stops the gate at whose server a request of another node runs; returns once it runs. */
async function stopWithRun(fleet: platformFleet.PlatformFleet): Promise<{
  readonly answer: Promise<platformFleet.CallerAnswer>;
  readonly stopping: platformFleet.FleetNode;
}> {
  const [caller, stopping] = fleet.nodes;
  caller.server.mode = {kind: 'shed'};
  stopping.server.mode = {kind: 'ok', workMs: WORK_MS, bodyBytes: BODY_BYTES};
  const runs = new Promise<void>(resolve => {
    stopping.server.onRun = () => resolve();
  });
  const answer = fleet.send(caller, {
    id: 'large',
    method: 'POST',
    path: '/place/1',
    deadlineMs: DEADLINE_MS,
  });
  await runs;
  stopping.relay.limitRate(60_000_000);
  stopping.process.signal('SIGTERM');
  return {answer, stopping};
}

test('a gate that stops delivers an answer that is under way to its entry', async () => {
  await using fleet = await startFleet(2);
  const {answer, stopping} = await stopWithRun(fleet);
  const {status, body} = await answer;
  assert.deepEqual([status, body.length], [200, BODY_BYTES]);
  assert.equal(await stopping.process.exitStatus(), 0);
});

test('a gate that stops delivers an answer whose link is lost once more', async () => {
  await using fleet = await startFleet(2);
  const {answer, stopping} = await stopWithRun(fleet);
  await timers.setTimeout(WORK_MS + 100);
  stopping.relay.reset();
  const {status, body} = await answer;
  assert.deepEqual([status, body.length], [200, BODY_BYTES]);
  assert.equal(fleet.runsOf('large'), 1);
  assert.equal(await stopping.process.exitStatus(), 0);
});

test('an entry that stops sends its answer to a caller that reads slowly', async () => {
  await using fleet = await startFleet(1);
  const [node] = fleet.nodes;
  node.server.mode = {kind: 'ok', workMs: WORK_MS, bodyBytes: BODY_BYTES};
  const runs = new Promise<void>(resolve => {
    node.server.onRun = () => resolve();
  });
  const [host, port] = node.callers.split(':');
  const req = http.request({
    host,
    port,
    method: 'POST',
    path: '/place/1',
    headers: {
      Host: documents.HOST,
      'Request-Id': 'slow',
      'Deadline-Ms': DEADLINE_MS,
    },
  });
  const response = new Promise<http.IncomingMessage>((resolve, reject) => {
    req.on('response', resolve);
    req.on('error', reject);
  });
  req.end();
  await runs;
  node.process.signal('SIGTERM');
  const res = await response;
  await timers.setTimeout(500);
  let bytes = 0;
  for await (const chunk of res) bytes += (chunk as Buffer).length;
  assert.equal(bytes, BODY_BYTES);
  assert.equal(await node.process.exitStatus(), 0);
});
