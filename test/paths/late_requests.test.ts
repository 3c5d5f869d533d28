import * as assert from 'node:assert/strict';
import * as http from 'node:http';
import * as nodeTest from 'node:test';
import * as timers from 'node:timers/promises';

import * as documents from '../stand_ins/platform/documents.js';
import * as platformFleet from './platform_fleet.js';

const {test} = nodeTest;

const LONG_TIMEOUT_S = 8;
const LONG_DEADLINE_MS = 8_000;
const SHORT_DEADLINE_MS = 1_000;

/** Time for which messages are held up, far longer than callers that left may have requests run. */
const HOLD_MS = 1_800;

/** Time in which a request that was held up would reach its server. */
const ARRIVAL_MS = 700;

/** An entry beside a server of another service, and one gate. */
function startFleet(): Promise<platformFleet.PlatformFleet> {
  const limits = {timeout_s: LONG_TIMEOUT_S};
  return platformFleet.PlatformFleet.start(2, {
    services: ['maps'],
    configuration: {
      routes: [
        documents.addedRoute('history', limits),
        documents.addedRoute('place', {...limits, route_kind: 'unsafe'}),
      ],
      services: ['maps', 'orders'].map(documents.service),
    },
  });
}

/** Sends a request whose caller closes the connection after a while. */
async function sendAndLeave(
  node: platformFleet.FleetNode,
  path: string,
  leaveMs: number,
): Promise<void> {
  const [host, port] = node.callers.split(':');
  const req = http.request({
    host,
    port,
    method: 'POST',
    path,
    headers: {
      Host: documents.HOST,
      'Request-Id': 'r',
      'Deadline-Ms': LONG_DEADLINE_MS,
    },
  });
  req.on('error', () => undefined);
  req.end();
  await timers.setTimeout(leaveMs);
  req.destroy();
}

/** Returns when a gate has just read its server's load, so that it starts the next run at once. */
async function startsAtOnce(
  fleet: platformFleet.PlatformFleet,
  gate: platformFleet.FleetNode,
): Promise<void> {
  const {status} = await fleet.send(gate, {id: 'warm'});
  assert.equal(status, 200);
}

for (const path of ['/history/1', '/place/1']) {
  test(`a request to ${path} that is held up beyond its deadline reaches no server`, async () => {
    await using fleet = await startFleet();
    const [entry, gate] = fleet.nodes;
    gate.relay.hold();
    const sent = fleet.send(entry, {
      id: 'r',
      path,
      deadlineMs: SHORT_DEADLINE_MS,
    });
    await timers.setTimeout(HOLD_MS);
    await startsAtOnce(fleet, gate);
    gate.relay.release();
    assert.notEqual((await sent).status, 200);
    await timers.setTimeout(ARRIVAL_MS);
    assert.equal(fleet.runsOf('r'), 0);
  });

  test(`a request to ${path} that is held up until its caller has left reaches no server`, async () => {
    await using fleet = await startFleet();
    const [entry, gate] = fleet.nodes;
    gate.relay.hold();
    await sendAndLeave(entry, path, HOLD_MS / 3);
    await timers.setTimeout((HOLD_MS * 2) / 3);
    await startsAtOnce(fleet, gate);
    gate.relay.release();
    await timers.setTimeout(ARRIVAL_MS);
    assert.equal(fleet.runsOf('r'), 0);
  });

  test(`a request to ${path} whose caller leaves while its entry is paused reaches no server`, async () => {
    await using fleet = await startFleet();
    const [entry] = fleet.nodes;
    entry.process.signal('SIGSTOP');
    await sendAndLeave(entry, path, HOLD_MS / 3);
    await timers.setTimeout((HOLD_MS * 2) / 3);
    entry.process.signal('SIGCONT');
    await timers.setTimeout(ARRIVAL_MS);
    assert.equal(fleet.runsOf('r'), 0);
  });

  test(`a request to ${path} whose caller leaves while its gate is paused reaches no server`, async () => {
    await using fleet = await startFleet();
    const [entry, gate] = fleet.nodes;
    gate.process.signal('SIGSTOP');
    await sendAndLeave(entry, path, HOLD_MS / 3);
    await timers.setTimeout((HOLD_MS * 2) / 3);
    gate.process.signal('SIGCONT');
    await timers.setTimeout(ARRIVAL_MS);
    assert.equal(fleet.runsOf('r'), 0);
  });
}
