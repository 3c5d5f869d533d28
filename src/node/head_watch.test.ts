import * as assert from 'node:assert/strict';
import type * as net from 'node:net';
import * as nodeTest from 'node:test';

import * as headWatch from './head_watch.js';
import * as idleConnections from './idle_connections.js';

const {test} = nodeTest;

const HEAD_TIMEOUT_MS = 1_000;

/** A watch of one idle connection, with a loop that is turned by hand. */
function makeWatch(startBytes = 0) {
  let now = 0;
  let overdue = 0;
  const socket = {bytesRead: startBytes};
  const period: idleConnections.IdlePeriod = {
    socket: socket as net.Socket,
    startBytes,
  };
  const periods = new Set([period]);
  const callbacks: Array<() => void> = [];
  const watch = new headWatch.HeadWatch({
    idle: periods,
    headTimeoutMs: () => HEAD_TIMEOUT_MS,
    nowMs: () => now,
    afterPoll: callback => void callbacks.push(callback),
    onOverdue: () => overdue++,
  });
  return {
    /** Reads bytes, and looks at the connection at a time. */
    checkAt: (timeMs: number, bytes: number): void => {
      now = timeMs;
      socket.bytesRead += bytes;
      watch.check();
    },
    poll: (): void => {
      for (const callback of callbacks.splice(0)) callback();
    },
    startRequest: (): void => void periods.delete(period),
    overdue: () => overdue,
  };
}

test('bytes that trickle before a request count from the first one', () => {
  const {checkAt, poll, overdue} = makeWatch(500);
  for (let i = 0; i < 10; i++) checkAt(i * 100, 10);
  poll();
  assert.equal(overdue(), 0);
  checkAt(HEAD_TIMEOUT_MS, 1);
  poll();
  assert.equal(overdue(), 1);
});

test('a connection that sends nothing, or an empty line behind a body, is not overdue', () => {
  const {checkAt, poll, overdue} = makeWatch(500);
  checkAt(0, 0);
  checkAt(100, 2);
  checkAt(50_000, 0);
  poll();
  assert.equal(overdue(), 0);
});

test('more bytes than a head may have are overdue at once', () => {
  const {checkAt, poll, overdue} = makeWatch();
  checkAt(0, 200_000);
  poll();
  assert.equal(overdue(), 1);
});

test('a head that is read after a pause of the process is not overdue', () => {
  const {checkAt, poll, startRequest, overdue} = makeWatch();
  checkAt(0, 10);
  checkAt(20_000, 0);
  startRequest();
  poll();
  assert.equal(overdue(), 0);
});
