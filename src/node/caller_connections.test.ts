import * as assert from 'node:assert/strict';
import * as http from 'node:http';
import * as net from 'node:net';
import * as nodeTest from 'node:test';

import * as child from '../../test/paths/child.js';
import * as callerConnections from './caller_connections.js';
import * as callerMemory from './caller_memory.js';

const {test} = nodeTest;

const TIMEOUT_MS = 5_000;

/** More than the operating system takes for a caller that does not read. */
const LARGE_BYTES = 32 * 1024 * 1024;

const REQUEST = 'GET / HTTP/1.1\r\nHost: h\r\n\r\n';

/** An HTTP server that records its open responses, for the test to write. */
class Harness implements AsyncDisposable {
  readonly resets: callerConnections.ResetReason[] = [];
  readonly responses: http.ServerResponse[] = [];
  readonly memory: callerMemory.CallerMemory;
  private readonly connections: callerConnections.CallerConnections;
  private readonly server = http.createServer((req, res) => {
    this.responses.push(res);
    this.connections.add(res, () => undefined);
  });
  private readonly sockets: net.Socket[] = [];

  constructor(maxBytes: number) {
    this.memory = new callerMemory.CallerMemory(maxBytes);
    this.connections = new callerConnections.CallerConnections({
      memory: this.memory,
      onReset: reason => this.resets.push(reason),
    });
  }

  async listen(): Promise<void> {
    await new Promise<void>(resolve =>
      this.server.listen(0, '127.0.0.1', resolve),
    );
  }

  /** Connects a caller that sends a request and reads nothing; resolves with its response. */
  async call(): Promise<http.ServerResponse> {
    const count = this.responses.length;
    this.connect().write(REQUEST);
    await until(() => this.responses.length > count);
    return this.responses[count];
  }

  connect(): net.Socket {
    const {port} = this.server.address() as net.AddressInfo;
    const socket = net.connect(port, '127.0.0.1').pause();
    socket.on('error', () => undefined);
    this.sockets.push(socket);
    return socket;
  }

  answer(res: http.ServerResponse, bytes: number): void {
    res.writeHead(200, {'Content-Length': bytes});
    this.connections.hold(res, bytes);
    res.end(Buffer.alloc(bytes));
  }

  isOpen(res: http.ServerResponse): boolean {
    return this.connections.isOpen(res);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const socket of this.sockets) socket.destroy();
    const closed = new Promise(resolve => this.server.close(resolve));
    this.server.closeAllConnections();
    await closed;
  }
}

function until(condition: () => boolean): Promise<void> {
  return child.waitUntil(condition, TIMEOUT_MS, () => String(condition));
}

test('the connection whose answers hold most is reset when the memory is used up', async () => {
  await using harness = new Harness(LARGE_BYTES + 100);
  await harness.listen();
  const large = await harness.call();
  const small = await harness.call();
  harness.answer(large, LARGE_BYTES);
  harness.answer(small, 200);
  await until(() => !harness.isOpen(large) && !harness.isOpen(small));
  assert.deepEqual(harness.resets, ['caller memory used up']);
  assert.ok(large.req.socket.destroyed);
  assert.ok(!small.req.socket.destroyed);
  assert.equal(harness.memory.usedBytes, 0);
});

test('an answer that was passed to the operating system is not counted', async () => {
  await using harness = new Harness(LARGE_BYTES);
  await harness.listen();
  const res = await harness.call();
  harness.answer(res, 200);
  assert.equal(harness.memory.usedBytes, 200);
  await until(() => !harness.isOpen(res));
  assert.equal(harness.memory.usedBytes, 0);
  assert.deepEqual(harness.resets, []);
});
