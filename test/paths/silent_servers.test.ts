/** Connections between a node and its backend server that go silent while new ones work. */
import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as timers from 'node:timers/promises';

import * as platformFleet from './platform_fleet.js';

const {test} = nodeTest;

const WORK_MS = 150;

/** Requests at work at the same time, each of which leaves an idle connection. */
const CONCURRENT = 6;

/** Time in which a health check notices that a connection is silent: its interval and timeout. */
const NOTICE_MS = 1_000;

/** Times from the answers until the connections go silent, in an interval of health checks. */
const PHASES_MS = [0, 130, 260, 390];

/** Sends requests at the same time and returns the statuses of the answers. */
async function sendAll(
  fleet: platformFleet.PlatformFleet,
  prefix: string,
): Promise<readonly number[]> {
  const [node] = fleet.nodes;
  const ids = Array.from({length: CONCURRENT}, (_, i) => `${prefix}${i}`);
  const answers = await Promise.all(ids.map(id => fleet.send(node, {id})));
  return answers.map(({status}) => status);
}

// A request sent on an idle connection that had gone silent got no answer until its deadline.
test('requests after a silent health check are answered over new connections', async () => {
  await using fleet = await platformFleet.PlatformFleet.start(1, {
    relaysServers: true,
  });
  const [{server, serverRelay}] = fleet.nodes;
  assert.ok(serverRelay);
  server.mode = {kind: 'ok', workMs: WORK_MS};
  const allOk = Array.from({length: CONCURRENT}, () => 200);
  for (const phaseMs of PHASES_MS) {
    assert.deepEqual(await sendAll(fleet, `before${phaseMs}-`), allOk);
    await timers.setTimeout(phaseMs);
    serverRelay.silence();
    await timers.setTimeout(NOTICE_MS);
    assert.deepEqual(await sendAll(fleet, `after${phaseMs}-`), allOk);
  }
});
