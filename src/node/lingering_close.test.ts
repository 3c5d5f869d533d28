import * as assert from 'node:assert/strict';
import * as net from 'node:net';
import * as nodeTest from 'node:test';

import * as child from '../../test/paths/child.js';
import * as lingeringClose from './lingering_close.js';

const {test} = nodeTest;

const TIMEOUT_MS = 10_000;

/** Accepts one connection on a server that keeps half-open connections, as HTTP servers do. */
async function acceptOne() {
  const server = net.createServer({allowHalfOpen: true});
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const accepted = new Promise<net.Socket>(resolve =>
    server.once('connection', socket => resolve(socket.resume())),
  );
  const {port} = server.address() as net.AddressInfo;
  const client = net.connect({port, host: '127.0.0.1', allowHalfOpen: true});
  client.on('error', () => undefined);
  const socket = await accepted;
  socket.on('error', () => undefined);
  return {
    client,
    socket,
    [Symbol.dispose]: () => {
      client.destroy();
      socket.destroy();
      server.close();
    },
  };
}

function untilClosed(socket: net.Socket): Promise<void> {
  return child.waitUntil(
    () => socket.destroyed,
    TIMEOUT_MS,
    () => 'the connection to close',
  );
}

test('a connection closes though the other end neither reads nor closes', async () => {
  using pair = await acceptOne();
  pair.client.pause();
  lingeringClose.endLingering(pair.socket, 'refused');
  assert.ok(lingeringClose.limitLingering(pair.socket));
  await untilClosed(pair.socket);
});

test('a connection closes though the other end sends without end', async () => {
  using pair = await acceptOne();
  const piece = Buffer.alloc(1_024);
  const timer = setInterval(() => pair.client.write(piece), 10);
  using unusedTimer = {[Symbol.dispose]: () => clearInterval(timer)};
  lingeringClose.endLingering(pair.socket, 'refused');
  await untilClosed(pair.socket);
});

test('a connection closes after too many bytes', async () => {
  using pair = await acceptOne();
  assert.ok(!lingeringClose.limitLingering(pair.socket));
  pair.socket.on('data', () => lingeringClose.limitLingering(pair.socket));
  lingeringClose.endLingering(pair.socket, 'refused');
  pair.client.write(Buffer.alloc(8 * 1024 * 1024));
  await untilClosed(pair.socket);
  assert.ok(pair.socket.bytesRead < 2 * 1024 * 1024);
});

test('the other end gets the response while it sends', async () => {
  using pair = await acceptOne();
  let received = '';
  pair.client.on('data', chunk => (received += String(chunk)));
  pair.client.write('x'.repeat(100_000));
  lingeringClose.endLingering(pair.socket, 'refused');
  lingeringClose.endLingering(pair.socket, 'again');
  await new Promise(resolve => pair.client.once('end', resolve));
  assert.equal(received, 'refused');
  pair.client.end();
  await untilClosed(pair.socket);
});
