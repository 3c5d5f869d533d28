import * as assert from 'node:assert/strict';
import * as net from 'node:net';
import * as nodeTest from 'node:test';
import * as timers from 'node:timers/promises';

import * as documents from '../stand_ins/platform/documents.js';
import * as platformFleet from './platform_fleet.js';

const {test} = nodeTest;

const CALLERS = 80;

/** Time from a request until its caller leaves. */
const LEAVE_MS = 60;

/** Time for which connections are not accepted; too short to count as a pause of the process. */
const BUSY_MS = 180;

/** Time in which a request that was read would reach its server. */
const ARRIVAL_MS = 700;

function textOf(id: string, body: string): string {
  const method = body === '' ? 'GET' : 'POST';
  return (
    `${method} /${body === '' ? 'history' : 'place'}/1 HTTP/1.1\r\n` +
    `Host: ${documents.HOST}\r\nRequest-Id: ${id}\r\nDeadline-Ms: 5000\r\n` +
    `Content-Length: ${body.length}\r\n\r\n${body}`
  );
}

for (const body of ['', 'order']) {
  const method = body === '' ? 'GET' : 'POST';
  // Node.js accepts one connection a turn: requests of callers that had left reached servers.
  test(`no ${method} of a caller that left before it was accepted reaches a server`, async () => {
    await using fleet = await platformFleet.PlatformFleet.start(2);
    const [node] = fleet.nodes;
    const [host, port] = node.callers.split(':');
    const ids = Array.from({length: CALLERS}, (unused, i) => `gone-${i}`);
    node.process.signal('SIGSTOP');
    const sockets = ids.map(id => {
      const socket = net.connect({host, port: Number(port)});
      socket.on('error', () => undefined);
      socket.write(textOf(id, body));
      return socket;
    });
    await timers.setTimeout(LEAVE_MS);
    for (const socket of sockets) socket.destroy();
    await timers.setTimeout(BUSY_MS - LEAVE_MS);
    node.process.signal('SIGCONT');
    await timers.setTimeout(ARRIVAL_MS);
    const runs = ids.reduce((sum, id) => sum + fleet.runsOf(id), 0);
    assert.equal(runs, 0);
    const {status} = await fleet.send(node, {id: 'after'});
    assert.equal(status, 200);
  });
}
