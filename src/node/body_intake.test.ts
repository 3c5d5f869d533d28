import * as assert from 'node:assert/strict';
import * as http from 'node:http';
import * as net from 'node:net';
import * as nodeTest from 'node:test';

import * as bodyIntake from './body_intake.js';
import * as callerMemory from './caller_memory.js';

const {test} = nodeTest;

const TIMEOUT_MS = 5_000;

const LONG_MS = 60_000;

/** Callers' memory of the tests, in bytes; large bodies take three quarters of it. */
const MAX_BYTES = 1024 * 1024;

const MAX_BODY_BYTES = 2 * MAX_BYTES;

const HALF_BYTES = MAX_BYTES / 2;

/** A server that reads bodies and answers when the test says so. */
class Harness implements AsyncDisposable {
  readonly memory = new callerMemory.CallerMemory(MAX_BYTES);
  readonly intake = new bodyIntake.BodyIntake({
    memory: this.memory,
    nowMs: () => performance.now(),
  });
  /** Outcomes by the target of the request. */
  readonly outcomes = new Map<string, string>();
  readonly bodies = new Map<string, bodyIntake.HeldBody>();
  timeLeftMs = LONG_MS;
  private readonly sockets: net.Socket[] = [];
  private readonly server = http.createServer((req, res) => {
    const target = req.url ?? '';
    const held = this.intake.take(req, {
      maxBytes: MAX_BODY_BYTES,
      timeLeftMs: this.timeLeftMs,
      onExceeded: () => req.socket.destroy(),
      onTaken: taken => {
        const text =
          taken.kind === 'whole' ? `${taken.body.length}` : taken.kind;
        this.outcomes.set(target, text);
      },
    });
    this.bodies.set(target, held);
    res.once('close', () => held[Symbol.dispose]());
  });

  static async open(): Promise<Harness> {
    const harness = new Harness();
    await new Promise<void>(resolve =>
      harness.server.listen(0, '127.0.0.1', resolve),
    );
    return harness;
  }

  /** Sends the head of a request and `bytes` of its body. */
  send(target: string, header: string, bytes: Buffer | string): net.Socket {
    const {port} = this.server.address() as net.AddressInfo;
    const socket = net.connect({host: '127.0.0.1', port});
    this.sockets.push(socket);
    socket.on('error', () => undefined);
    socket.write(`POST ${target} HTTP/1.1\r\nHost: h\r\n${header}\r\n\r\n`);
    socket.write(bytes);
    return socket;
  }

  /** Sends a whole request with a body of the length. */
  upload(target: string, length: number): net.Socket {
    return this.send(target, `Content-Length: ${length}`, Buffer.alloc(length));
  }

  /** Resolves with the outcome of a request. */
  async outcomeOf(target: string): Promise<string> {
    await this.until(() => this.outcomes.has(target));
    return this.outcomes.get(target) ?? '';
  }

  async until(condition: () => boolean): Promise<void> {
    const endMs = performance.now() + TIMEOUT_MS;
    while (!condition()) {
      assert.ok(performance.now() < endMs, `timed out: ${condition}`);
      await new Promise(resolve => setTimeout(resolve, 5));
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const socket of this.sockets) socket.destroy();
    const closed = new Promise(resolve => this.server.close(resolve));
    this.server.closeAllConnections();
    await closed;
  }
}

test('a large body waits while others take the memory, a small one does not', async () => {
  await using harness = await Harness.open();
  harness.upload('/first', HALF_BYTES);
  assert.equal(await harness.outcomeOf('/first'), String(HALF_BYTES));
  harness.upload('/second', HALF_BYTES);
  await harness.until(() => harness.bodies.has('/second'));
  harness.upload('/small', 1_000);
  assert.equal(await harness.outcomeOf('/small'), '1000');
  assert.equal(harness.outcomes.has('/second'), false);
  harness.bodies.get('/first')?.[Symbol.dispose]();
  assert.equal(await harness.outcomeOf('/second'), String(HALF_BYTES));
  assert.ok((harness.bodies.get('/second')?.waitedMs ?? 0) > 0);
  assert.equal(harness.memory.usedBytes, HALF_BYTES + 1_000);
});

test('a body for which no memory comes free is given up before its time ends', async () => {
  await using harness = await Harness.open();
  harness.upload('/first', HALF_BYTES);
  await harness.outcomeOf('/first');
  harness.timeLeftMs = 200;
  harness.upload('/second', HALF_BYTES);
  assert.equal(await harness.outcomeOf('/second'), 'no-memory');
  assert.equal(harness.memory.usedBytes, HALF_BYTES);
});

test('a body longer than the memory is read when no other is held', async () => {
  await using harness = await Harness.open();
  harness.upload('/huge', MAX_BODY_BYTES);
  assert.equal(await harness.outcomeOf('/huge'), String(MAX_BODY_BYTES));
  assert.ok(harness.memory.usedBytes <= MAX_BYTES);
});

test('a body that states more than its limit is not read', async () => {
  await using harness = await Harness.open();
  harness.send('/long', `Content-Length: ${MAX_BODY_BYTES + 1}`, '');
  assert.equal(await harness.outcomeOf('/long'), 'too-long');
});

test('chunks without end are refused at the limit of one body', async () => {
  await using harness = await Harness.open();
  const socket = harness.send('/endless', 'Transfer-Encoding: chunked', '');
  const piece = `10000\r\n${'x'.repeat(0x10000)}\r\n`;
  const write = (): void => {
    while (!socket.destroyed && socket.write(piece));
  };
  socket.on('drain', write);
  write();
  assert.equal(await harness.outcomeOf('/endless'), 'too-long');
  assert.equal(harness.memory.usedBytes, 0);
});

test('uploads without a length that stop each other do not wait for ever', async () => {
  await using harness = await Harness.open();
  const length = HALF_BYTES;
  const body = `${length.toString(16)}\r\n${'x'.repeat(length)}\r\n0\r\n\r\n`;
  const targets = ['/a', '/b', '/c', '/d'];
  for (const target of targets) {
    harness.send(target, 'Transfer-Encoding: chunked', body);
  }
  await harness.until(() => harness.bodies.size === targets.length);
  await harness.until(() => {
    for (const [target, outcome] of harness.outcomes) {
      if (outcome !== 'no-memory') {
        harness.bodies.get(target)?.[Symbol.dispose]();
      }
    }
    return harness.outcomes.size === targets.length;
  });
  assert.ok([...harness.outcomes.values()].includes(String(length)));
  assert.equal(harness.memory.usedBytes, 0);
});

test('uploads that stop halfway end as late and give their memory back', async () => {
  await using harness = await Harness.open();
  harness.timeLeftMs = 200;
  harness.send('/half', 'Content-Length: 1000', 'half');
  harness.send('/large', `Content-Length: ${HALF_BYTES}`, Buffer.alloc(99_000));
  assert.equal(await harness.outcomeOf('/half'), 'late');
  assert.equal(await harness.outcomeOf('/large'), 'late');
  assert.equal(harness.memory.usedBytes, 0);
});

test('callers that leave give their memory back, one that waits when its turn comes', async () => {
  await using harness = await Harness.open();
  const first = harness.upload('/first', HALF_BYTES);
  await harness.outcomeOf('/first');
  const second = harness.upload('/second', HALF_BYTES);
  await harness.until(() => harness.bodies.has('/second'));
  second.resetAndDestroy();
  first.resetAndDestroy();
  await harness.until(() => harness.intake.queue.waitingCount === 0);
  await harness.until(() => harness.memory.usedBytes === 0);
});

test('small bodies beyond the memory are refused at once', async () => {
  await using harness = await Harness.open();
  const count = MAX_BYTES / bodyIntake.SMALL_BODY_BYTES;
  for (let i = 0; i < count; i++) {
    harness.upload(`/${i}`, bodyIntake.SMALL_BODY_BYTES);
    await harness.outcomeOf(`/${i}`);
  }
  harness.upload('/last', 1_000);
  assert.equal(await harness.outcomeOf('/last'), 'no-memory');
  assert.equal(harness.memory.usedBytes, MAX_BYTES);
});

test('a large body waits while other things are held for callers', async () => {
  await using harness = await Harness.open();
  const other = harness.memory.allocate(() => assert.fail('ended'));
  other.add(MAX_BYTES - 1_000);
  harness.upload('/large', HALF_BYTES);
  await harness.until(() => harness.intake.queue.waitingCount === 1);
  other.remove(HALF_BYTES);
  assert.equal(await harness.outcomeOf('/large'), String(HALF_BYTES));
});

test('a body that takes most ends when other things use up the memory', async () => {
  await using harness = await Harness.open();
  const socket = harness.upload('/large', HALF_BYTES);
  await harness.outcomeOf('/large');
  harness.memory.allocate(() => assert.fail('ended')).add(HALF_BYTES - 1_000);
  assert.equal(socket.destroyed, false);
  harness.memory.allocate(() => assert.fail('ended')).add(2_000);
  await harness.until(() => socket.destroyed);
  assert.equal(harness.memory.usedBytes, HALF_BYTES + 1_000);
});
