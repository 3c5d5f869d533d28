import * as assert from 'node:assert/strict';
import * as events from 'node:events';
import type * as net from 'node:net';
import * as nodeTest from 'node:test';

import * as connectionLimit from './connection_limit.js';
import * as idleConnections from './idle_connections.js';

const {test} = nodeTest;

class FakeSocket extends events.EventEmitter {
  bytesRead = 0;
  destroyed = false;

  destroy(): void {
    this.destroyed = true;
    this.emit('close');
  }
}

/** A server whose connections and requests the test makes. */
class FakeServer extends events.EventEmitter {
  readonly idle = new idleConnections.IdleConnections(this);

  connect(): FakeSocket {
    const socket = new FakeSocket();
    this.emit('connection', socket);
    return socket;
  }

  /** Starts a request; the function returned ends it. */
  request(socket: FakeSocket): () => void {
    const res = new events.EventEmitter();
    this.emit('request', {socket}, res);
    return () => void res.emit('close');
  }

  get idleSockets(): readonly net.Socket[] {
    return [...this.idle].map(({socket}) => socket);
  }
}

test('a connection is idle until a request and after its last response', () => {
  const server = new FakeServer();
  const [first, second] = [server.connect(), server.connect()];
  assert.deepEqual(server.idleSockets, [first, second]);
  const [period] = server.idle;
  const respond = [server.request(first), server.request(first)];
  assert.deepEqual(server.idleSockets, [second]);
  assert.ok(!server.idle.has(period));
  respond[0]();
  assert.deepEqual(server.idleSockets, [second]);
  first.bytesRead = 70;
  respond[1]();
  assert.deepEqual(server.idleSockets, [second, first]);
  assert.equal([...server.idle][1].startBytes, 70);
  assert.equal(server.idle.connectionCount, 2);
});

test('a connection that has closed is not counted, nor when its response ends later', () => {
  const server = new FakeServer();
  const socket = server.connect();
  const respond = server.request(socket);
  socket.destroy();
  respond();
  assert.equal(server.idle.connectionCount, 0);
});

test('the connection that has been idle for longest makes room for a new one', () => {
  const server = new FakeServer();
  let closed = 0;
  connectionLimit.limitConnections(server, server.idle, 2, () => closed++);
  const [first, second] = [server.connect(), server.connect()];
  server.request(first)();
  const third = server.connect();
  assert.deepEqual(
    [first, second, third].map(({destroyed}) => destroyed),
    [false, true, false],
  );
  assert.equal(closed, 1);
});

test('a new connection is closed if requests are under way on all others', () => {
  const server = new FakeServer();
  connectionLimit.limitConnections(server, server.idle, 1, () => undefined);
  const busy = server.connect();
  server.request(busy);
  const refused = server.connect();
  assert.ok(!busy.destroyed);
  assert.ok(refused.destroyed);
});
