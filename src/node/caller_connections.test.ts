import * as assert from 'node:assert/strict';
import * as http from 'node:http';
import * as net from 'node:net';
import * as nodeTest from 'node:test';
import * as timers from 'node:timers/promises';

import * as child from '../../test/paths/child.js';
import * as callerConnections from './caller_connections.js';
import * as callerMemory from './caller_memory.js';

const {test} = nodeTest;

const TIMEOUT_MS = 5_000;

/** More than the operating system takes for a caller that does not read. */
const LARGE_BYTES = 32 * 1024 * 1024;

const REQUEST = 'GET / HTTP/1.1\r\nHost: h\r\n\r\n';

/** Several times what Node.js reads at once. */
const MANY = 8 * Math.ceil((64 * 1024) / REQUEST.length);

const UNTAKEN_MS = 150;

/** Time in which requests that the server can read arrive. */
const SETTLE_MS = 300;

/** An HTTP server that records its open responses, for the test to write. */
class Harness implements AsyncDisposable {
  readonly resets: callerConnections.ResetReason[] = [];
  readonly responses: http.ServerResponse[] = [];
  readonly memory: callerMemory.CallerMemory;
  private readonly connections: callerConnections.CallerConnections;
  private readonly server = http.createServer((req, res) => {
    if (this.connections.add(res, () => undefined)) this.responses.push(res);
    else this.ignored++;
  });
  ignored = 0;
  pauses = 0;
  private readonly sockets: net.Socket[] = [];

  constructor(maxBytes: number, untakenMs?: number) {
    this.memory = new callerMemory.CallerMemory(maxBytes);
    this.connections = new callerConnections.CallerConnections({
      memory: this.memory,
      onReset: reason => this.resets.push(reason),
      onPaused: () => this.pauses++,
    });
    this.connections.watch(this.server, untakenMs);
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

  /** Ends the connection of a response with it. */
  endWith(res: http.ServerResponse): boolean {
    return this.connections.endWith(res);
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

function settle(): Promise<void> {
  return timers.setTimeout(SETTLE_MS);
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
  const requestBytes = harness.memory.usedBytes;
  harness.answer(res, 200);
  assert.equal(harness.memory.usedBytes, requestBytes + 200);
  await until(() => !harness.isOpen(res));
  assert.equal(harness.memory.usedBytes, 0);
  assert.deepEqual(harness.resets, []);
});

test('a caller that reads gets all answers in order, however many requests it sends', async () => {
  await using harness = new Harness(LARGE_BYTES);
  await harness.listen();
  const socket = harness.connect();
  let received = '';
  socket.on('data', chunk => (received += String(chunk))).resume();
  socket.write(REQUEST.repeat(MANY));
  await until(() => harness.responses.length > 0);
  for (let i = 0; i < MANY; i++) {
    await until(() => harness.responses.length > i);
    harness.responses[i].end(`#${i};`);
  }
  await until(() => received.includes(`#${MANY - 1};`));
  const numbers = received.match(/(?<=#)\d+(?=;)/g)?.map(Number);
  assert.deepEqual(
    numbers,
    Array.from({length: MANY}, (unused, i) => i),
  );
  assert.equal(harness.memory.usedBytes, 0);
});

test('a connection with many open requests is not read', async () => {
  await using harness = new Harness(Infinity);
  await harness.listen();
  harness.connect().write(REQUEST.repeat(MANY));
  await until(() => harness.responses.length > 0);
  await settle();
  assert.ok(harness.responses.length < MANY / 2);
  assert.equal(harness.pauses, 1);
  const read = harness.responses.length;
  // Node.js resumes the socket for each of these.
  for (const res of harness.responses.slice(1, 100)) res.end();
  await settle();
  assert.equal(harness.responses.length, read);
});

test('a caller that sends on while its connection ends is not read without end', async () => {
  await using harness = new Harness(Infinity);
  await harness.listen();
  const socket = harness.connect();
  socket.write(REQUEST);
  await until(() => harness.responses.length > 0);
  const [res] = harness.responses;
  assert.ok(harness.endWith(res));
  socket.write(REQUEST.repeat(MANY));
  await until(() => harness.ignored > 0);
  await settle();
  assert.ok(harness.ignored < MANY / 2);
  res.end();
  await until(() => res.req.socket.destroyed);
  assert.equal(harness.memory.usedBytes, 0);
});

test('a connection whose caller takes nothing of its answer is reset', async () => {
  await using harness = new Harness(Infinity, UNTAKEN_MS);
  await harness.listen();
  const res = await harness.call();
  harness.answer(res, LARGE_BYTES);
  await until(() => !harness.isOpen(res));
  assert.deepEqual(harness.resets, ['answer not taken']);
});

test('a caller may wait longer for an answer', async () => {
  await using harness = new Harness(Infinity, UNTAKEN_MS);
  await harness.listen();
  const res = await harness.call();
  await timers.setTimeout(4 * UNTAKEN_MS);
  assert.ok(harness.isOpen(res));
  harness.answer(res, 200);
  await until(() => !harness.isOpen(res));
  assert.ok(res.writableFinished);
  assert.deepEqual(harness.resets, []);
});
