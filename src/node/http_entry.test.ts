import * as assert from 'node:assert/strict';
import * as net from 'node:net';
import * as nodeTest from 'node:test';

import * as fc from 'fast-check';

import * as configurationInForce from '../common/configuration/configuration_in_force.js';
import * as fleetView from '../common/control/fleet_view.js';
import * as counters from '../common/counters.js';
import * as peer from '../generated/peer.js';
import * as child from '../../test/paths/child.js';
import * as fleet from '../../test/paths/fleet.js';
import * as callerMemory from './caller_memory.js';
import * as httpEntry from './http_entry.js';
import * as httpHeaders from './http_headers.js';
import * as requestFingerprint from './request_fingerprint.js';

const SEED = Number(process.env['SEED'] ?? 5);
const TIMEOUT_MS = 5_000;
const MAX_BODY_BYTES = 1_024;
const MEMORY_MB = 250;

/** A listening HTTP entry, and the events it emitted. */
interface TestEntry extends AsyncDisposable {
  readonly port: number;
  readonly count: counters.MemoryCounters;
  readonly events: readonly httpEntry.HttpEntryEvent[];
}

async function startEntry(
  onRequest: (
    entry: httpEntry.HttpEntry,
    requestId: string,
    body: Buffer,
  ) => void,
  serverSources: readonly string[] = ['127.0.0.1'],
): Promise<TestEntry> {
  const [port] = await child.freePorts(1);
  const count = new counters.MemoryCounters();
  const configuration = new configurationInForce.ConfigurationInForce(
    1,
    fleet.testConfiguration(),
  );
  const entry = new httpEntry.HttpEntry(
    {
      ip: '127.0.0.1',
      port,
      maxBodyBytes: MAX_BODY_BYTES,
      maxHeaderBytes: 2_048,
      maxCalls: 16,
      memory: callerMemory.CallerMemory.ofProcess(MEMORY_MB),
      maxConnections: 64,
      serverSources,
    },
    {configuration} as unknown as fleetView.FleetView,
    await requestFingerprint.RequestFingerprint.load(),
    count,
  );
  const events: httpEntry.HttpEntryEvent[] = [];
  void entry.events.observe(event => {
    events.push(event);
    if (event.kind !== 'caller-request') return;
    onRequest(entry, event.request.requestId, event.request.body);
  });
  await entry.listen();
  return {
    port,
    count,
    events,
    [Symbol.asyncDispose]: () => entry[Symbol.asyncDispose](),
  };
}

function startEchoEntry(): Promise<TestEntry> {
  return startEntry((entry, requestId, body) =>
    entry.respond(requestId, peer.CallAnswer.fromPartial({status: 200, body})),
  );
}

/** Sends bytes on a new connection and returns all that is received until it closes. */
function sendRaw(port: number, bytes: Uint8Array): Promise<string> {
  return new Promise(resolve => {
    const socket = net.connect(port, '127.0.0.1');
    let received = '';
    socket.on('data', chunk => (received += chunk.toString('latin1')));
    socket.on('error', () => undefined);
    socket.on('close', () => resolve(received));
    socket.end(bytes);
  });
}

nodeTest.test(
  `malformed HTTP is counted and later requests are served, seed ${SEED}`,
  async () => {
    await using entry = await startEchoEntry();
    const junk = fc.uint8Array({minLength: 1, maxLength: 200});
    for (const bytes of fc.sample(junk, {seed: SEED, numRuns: 100})) {
      await sendRaw(entry.port, bytes);
    }
    await sendRaw(
      entry.port,
      Buffer.from('GET / HTTP/1.1\r\nbad header\r\n\r\n'),
    );
    const long = `GET /orders HTTP/1.1\r\nx: ${'y'.repeat(4_096)}\r\n\r\n`;
    await sendRaw(entry.port, Buffer.from(long));
    assert.ok(entry.count.get('malformed.http') > 90);
    const answer = await fleet.call(entry.port, {
      method: 'POST',
      path: '/orders/1',
      body: 'bleach',
    });
    assert.equal(answer.status, 200);
    assert.equal(answer.body.toString(), 'bleach');
  },
);

nodeTest.test('a body above the size limit is refused as not run', async () => {
  await using entry = await startEchoEntry();
  const answer = await fleet.call(entry.port, {
    method: 'POST',
    path: '/orders/1',
    body: 'x'.repeat(MAX_BODY_BYTES + 1),
  });
  assert.equal(answer.status, 413);
  assert.equal(answer.headers['geraniumloft-outcome'], 'not-run');
  assert.equal(entry.events.length, 0);
});

nodeTest.test(
  'malformed headers of a call are refused as not run',
  async () => {
    await using entry = await startEchoEntry();
    for (const name of [
      httpHeaders.DEADLINE_HEADER,
      httpHeaders.DEPTH_HEADER,
      httpHeaders.RETRIES_LEFT_HEADER,
    ]) {
      const answer = await fleet.call(entry.port, {
        path: '/orders/1',
        headers: {[name]: '-1'},
      });
      assert.equal(answer.status, 400);
      assert.equal(answer.headers['geraniumloft-reason'], 'bad-request');
    }
    assert.equal(entry.events.length, 0);
  },
);

nodeTest.test('a caller that disconnects is reported once', async () => {
  await using entry = await startEntry(() => undefined);
  const socket = net.connect(entry.port, '127.0.0.1');
  socket.write('GET /orders/1 HTTP/1.1\r\nHost: x\r\n\r\n');
  const kinds = () => entry.events.map(event => event.kind);
  await child.waitUntil(
    () => kinds().includes('caller-request'),
    TIMEOUT_MS,
    () => 'the request',
  );
  socket.destroy();
  await child.waitUntil(
    () => kinds().includes('caller-gone'),
    TIMEOUT_MS,
    () => 'the end of the caller',
  );
  assert.deepEqual(kinds(), ['caller-request', 'caller-gone']);
});

// A caller may have left while its connection waited to be accepted.
nodeTest.test(
  'a request whose caller has left before it was read is not passed on',
  async () => {
    await using entry = await startEntry(() => undefined);
    const socket = net.connect(entry.port, '127.0.0.1');
    socket.end('GET /orders/1 HTTP/1.1\r\nHost: x\r\n\r\n');
    const kinds = () => entry.events.map(event => event.kind);
    await child.waitUntil(
      () => kinds().includes('caller-gone'),
      TIMEOUT_MS,
      () => 'the end of the caller',
    );
    assert.deepEqual(kinds(), ['caller-gone']);
  },
);

nodeTest.test(
  'refusals carry outcome, reason and the wait before a retry',
  async () => {
    await using entry = await startEntry((http, requestId) =>
      http.refuse(requestId, {
        reason: peer.RefusalReason.NO_ROOM,
        outcome: peer.Outcome.NOT_RUN,
        retryAfterMs: 1_200,
      }),
    );
    const answer = await fleet.call(entry.port, {path: '/orders/1'});
    assert.equal(answer.status, 503);
    assert.equal(answer.headers['retry-after'], '2');
    assert.equal(answer.headers['geraniumloft-retry-after-ms'], '1200');
    const problem = JSON.parse(answer.body.toString()) as object;
    assert.deepEqual(problem, {
      type: 'urn:geraniumloft:refusal:no-room',
      title: 'Refused: no-room',
      status: 503,
      detail: 'The request did not run.',
      reason: 'no-room',
      outcome: 'not-run',
      requestId: answer.headers['geraniumloft-request-id'],
    });
  },
);

nodeTest.test('an answer that is not valid HTTP is refused', async () => {
  await using entry = await startEntry((http, requestId) =>
    http.respond(requestId, {
      ...peer.CallAnswer.fromPartial({status: 200}),
      headers: [{name: 'bad name', value: 'a\nb'}],
    }),
  );
  const answer = await fleet.call(entry.port, {path: '/orders/1'});
  assert.equal(answer.status, 502);
  assert.equal(answer.headers['geraniumloft-reason'], 'bad-answer');
  assert.equal(answer.headers['geraniumloft-outcome'], 'ran');
});

nodeTest.test('announcements come from configured sources only', async () => {
  const announcement = {
    method: 'POST',
    path: '/.geraniumloft/backend-server',
    body: JSON.stringify({state: 'ready', ip: '127.0.0.1', port: 1, slots: 2}),
  };
  await using open = await startEchoEntry();
  assert.equal((await fleet.call(open.port, announcement)).status, 204);
  const malformed = {...announcement, body: '{"state":"warm"}'};
  assert.equal((await fleet.call(open.port, malformed)).status, 400);
  assert.equal(open.count.get('malformed.announcement'), 1);
  await using filtered = await startEntry(() => undefined, ['127.0.0.2']);
  assert.equal((await fleet.call(filtered.port, announcement)).status, 403);
  assert.equal(filtered.count.get('source.rejected'), 1);
  assert.equal(filtered.events.length, 0);
});

nodeTest.test(
  'a caller that disconnects has left all the requests that it sent on the connection',
  async () => {
    await using entry = await startEntry(() => undefined);
    const socket = net.connect(entry.port, '127.0.0.1');
    for (let i = 0; i < 3; i++) {
      socket.write('GET /orders/1 HTTP/1.1\r\nHost: h\r\n\r\n');
    }
    const count = (kind: httpEntry.HttpEntryEvent['kind']): number =>
      entry.events.filter(event => event.kind === kind).length;
    const waitFor = (kind: httpEntry.HttpEntryEvent['kind']): Promise<void> =>
      child.waitUntil(
        () => count(kind) === 3,
        TIMEOUT_MS,
        () => `3 of ${kind}, not ${count(kind)}`,
      );
    await waitFor('caller-request');
    socket.destroy();
    await waitFor('caller-gone');
  },
);
