import * as assert from 'node:assert/strict';
import * as net from 'node:net';
import * as nodeTest from 'node:test';
import * as timers from 'node:timers/promises';

import * as documents from '../stand_ins/platform/documents.js';
import * as child from './child.js';
import * as platformFleet from './platform_fleet.js';

const {test} = nodeTest;

const WAIT_MS = 5_000;
const WORK_MS = 1_200;

/** Time after a caller has left in which servers may still be at work for it. */
const LEFT_MS = 500;

/** More than the server has slots. */
const REQUESTS = 12;

function textOf(id: string): string {
  return (
    `GET /history/1 HTTP/1.1\r\nHost: ${documents.HOST}\r\n` +
    `Request-Id: ${id}\r\nDeadline-Ms: 5000\r\n\r\n`
  );
}

test('no server works on for a caller that left with requests behind one another', async () => {
  await using fleet = await platformFleet.PlatformFleet.start(1, {
    configuration: {
      routes: [
        documents.addedRoute('history', {timeout_s: 5, target_latency_s: 4}),
      ],
    },
  });
  const [node] = fleet.nodes;
  node.server.mode = {kind: 'ok', workMs: WORK_MS};
  const [host, port] = node.callers.split(':');
  const socket = net.connect({host, port: Number(port)});
  const ids = Array.from({length: REQUESTS}, (unused, i) => `p${i}`);
  socket.write(ids.map(textOf).join(''));
  const runs = (): number =>
    node.server.runs.filter(run => ids.includes(run.requestId ?? '')).length;
  await child.waitUntil(
    () => runs() >= 3,
    WAIT_MS,
    () => `3 runs, not ${runs()}`,
  );
  socket.destroy();
  await timers.setTimeout(LEFT_MS);
  const begun = runs();
  assert.equal(node.server.cancelled.length, begun);
  await timers.setTimeout(WORK_MS);
  assert.equal(runs(), begun);
});
