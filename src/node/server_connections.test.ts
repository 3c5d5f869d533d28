import * as assert from 'node:assert/strict';
import * as net from 'node:net';
import * as nodeTest from 'node:test';

import * as counters from '../common/counters.js';
import * as peer from '../generated/peer.js';
import * as serverMode from '../../test/stand_ins/server/server_mode.js';
import * as serverStandIn from '../../test/stand_ins/server/server_stand_in.js';
import * as child from '../../test/paths/child.js';
import * as serverConnections from './server_connections.js';

const TIMEOUT_MS = 5_000;
const MAX_BODY_BYTES = 2_048;

/** Connections to one address, with a clock that tests advance. */
class TestConnections implements AsyncDisposable {
  readonly count = new counters.MemoryCounters();
  readonly connections: serverConnections.ServerConnections;
  private readonly emitted: serverConnections.ServerEvent[] = [];
  nowMs = 0;

  constructor(port: number) {
    this.connections = new serverConnections.ServerConnections(
      {maxBodyBytes: MAX_BODY_BYTES, maxHeaderBytes: 4_096},
      this.count,
      () => this.nowMs,
    );
    void this.connections.events.observe(
      event => void this.emitted.push(event),
    );
    this.connections.setAddress({ip: '127.0.0.1', port});
  }

  run(callId: string, idempotent = true): void {
    this.connections.run({
      call: {
        ...peer.CallRequest.fromPartial({callId, method: 'GET', path: '/x'}),
        headers: [{name: 'Geraniumloft-Request-Id', value: callId}],
      },
      run: 1,
      idempotent,
      freshConnection: false,
      deadlineMs: 1_000,
    });
  }

  /** Resolves with the events once there are `count`. */
  async waitForEvents(
    count: number,
  ): Promise<readonly serverConnections.ServerEvent[]> {
    await child.waitUntil(
      () => this.emitted.length >= count,
      TIMEOUT_MS,
      () => `${count} events; there were ${JSON.stringify(this.emitted)}`,
    );
    return this.emitted;
  }

  /** Runs a call that must fail and returns the kind of its failure. */
  async runToFailure(callId: string): Promise<string> {
    this.run(callId);
    const event = (await this.waitForEvents(this.emitted.length + 1)).at(-1);
    assert.ok(event?.kind === 'server-failed', JSON.stringify(event));
    return event.failure.kind;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.connections[Symbol.asyncDispose]();
  }
}

async function startStandIn(change: Partial<serverMode.ServerMode>): Promise<{
  readonly server: serverStandIn.ServerStandIn;
  readonly port: number;
}> {
  const mode = {...serverMode.DEFAULT_MODE, ...change};
  const server = new serverStandIn.ServerStandIn(mode);
  return {server, port: await server.listen(0)};
}

/** Starts a server that answers every connection with the same bytes and ends it. */
async function startRawServer(answer: string): Promise<{
  readonly server: net.Server;
  readonly port: number;
}> {
  const server = net.createServer(socket => {
    socket.on('error', () => undefined);
    socket.once('data', () => socket.end(answer));
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  return {server, port: (server.address() as net.AddressInfo).port};
}

nodeTest.test('a connection carries one request after another', async () => {
  const {server, port} = await startStandIn({});
  await using owned = server;
  await using test = new TestConnections(port);
  for (const callId of ['a', 'b', 'c']) {
    test.run(callId);
    const event = (await test.waitForEvents(1 + 'abc'.indexOf(callId))).at(-1);
    assert.ok(event?.kind === 'server-answered');
    const body = JSON.parse(event.body.toString()) as {
      readonly requestId: string;
    };
    assert.equal(body.requestId, callId);
  }
  assert.equal(test.count.get('server.connection-opened'), 1);
  assert.ok(owned);
});

nodeTest.test(
  'a request that must not run twice avoids a connection that was idle for long',
  async () => {
    const {server, port} = await startStandIn({});
    await using owned = server;
    await using test = new TestConnections(port);
    test.run('a', false);
    await test.waitForEvents(1);
    test.nowMs += 900;
    test.run('b', false);
    await test.waitForEvents(2);
    assert.equal(test.count.get('server.connection-opened'), 1);
    test.nowMs += 1_100;
    test.run('c', false);
    await test.waitForEvents(3);
    assert.equal(test.count.get('server.connection-opened'), 2);
    assert.ok(owned);
  },
);

nodeTest.test('shed, foreign and cut answers are distinguished', async () => {
  for (const [change, kind] of [
    [{shed: true}, 'shed'],
    [{foreign: true}, 'bad-answer'],
    [{cutShort: true}, 'bad-answer'],
  ] as const) {
    const {server, port} = await startStandIn(change);
    await using owned = server;
    await using test = new TestConnections(port);
    assert.equal(await test.runToFailure('a'), kind);
    assert.ok(owned);
  }
});

nodeTest.test('malformed and unbounded answers are bad answers', async () => {
  const tooLong = 'x'.repeat(MAX_BODY_BYTES + 1);
  for (const [answer, kind] of [
    ['HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort', 'bad-answer'],
    ['HTTP/1.1 200 OK\r\n\r\nuntil the end', 'bad-answer'],
    [
      `HTTP/1.1 200 OK\r\nContent-Length: ${tooLong.length}\r\n\r\n${tooLong}`,
      'bad-answer',
    ],
    ['nonsense\r\n\r\n', 'bad-answer'],
    ['', 'broken'],
  ] as const) {
    const {server, port} = await startRawServer(answer);
    await using test = new TestConnections(port);
    assert.equal(await test.runToFailure('a'), kind, answer.slice(0, 40));
    server.close();
  }
});

nodeTest.test(
  'a run with a refused connection is not sent; the loss is reported after it, once',
  async () => {
    const [port] = await child.freePorts(1);
    await using test = new TestConnections(port);
    test.run('a');
    test.run('b');
    const kinds = (await test.waitForEvents(3)).map(e => e.kind);
    assert.deepEqual(kinds, ['server-failed', 'server-failed', 'server-lost']);
    test.run('c');
    const last = (await test.waitForEvents(4)).at(-1);
    assert.ok(last?.kind === 'server-failed');
    assert.equal(last.failure.kind, 'not-sent');
  },
);

nodeTest.test('the loss comes before the failures that it caused', async () => {
  const server = net.createServer(socket => {
    socket.on('error', () => undefined);
    socket.once('data', () => {
      server.close();
      socket.destroy();
    });
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as net.AddressInfo;
  await using test = new TestConnections(port);
  test.run('a');
  const kinds = (await test.waitForEvents(2)).map(e => e.kind);
  assert.deepEqual(kinds, ['server-lost', 'server-failed']);
});

nodeTest.test('an abort reaches the backend server', async () => {
  const {server, port} = await startStandIn({serviceMs: 60_000});
  await using owned = server;
  await using test = new TestConnections(port);
  test.run('a');
  await child.waitUntil(
    () => owned.runs.total === 1,
    TIMEOUT_MS,
    () => 'the run to begin',
  );
  test.connections.abort('a', 1);
  await child.waitUntil(
    () => owned.runs.cancelled === 1,
    TIMEOUT_MS,
    () => 'the cancellation',
  );
  const [event] = await test.waitForEvents(1);
  assert.equal(event.kind, 'server-failed');
  assert.equal(owned.runs.lastDeadlineMs, 1_000);
});
