import * as assert from 'node:assert/strict';
import * as http from 'node:http';
import type * as net from 'node:net';
import * as nodeTest from 'node:test';

import * as healthChecker from './health_checker.js';
import * as platformAdapter from './platform_adapter.js';

const {test} = nodeTest;

/** Reads nothing but the request id from headers. */
const CODEC: platformAdapter.HeaderCodec = {
  readCaller: () => ({
    requestId: undefined,
    timeLeftMs: undefined,
    key: {kind: 'none'},
  }),
  originHeaders: () => [],
  isReserved: () => false,
  runHeaders: () => [],
  readAnswer: (unusedStatus, headers) => ({
    requestId: headers.id as string | undefined,
    sealed: false,
    notRun: false,
    misdirected: false,
    instanceId: undefined,
    coldLeftMs: undefined,
    load: undefined,
    limit: {kind: 'none'},
    leaving: false,
  }),
};

/** Longer than the interval while requests wait, shorter than the idle one. */
const BETWEEN_INTERVALS_MS = 400;

const MAX_RUNS_UNCHECKED = 4;

/** Longer than the interval of checks that follow runs. */
const BETWEEN_RUNS_MS = 25;

/** Time in which a further check would reach the server. */
const SETTLE_MS = 100;

/** A checker of a local server, with a clock that the test sets. */
class Harness implements AsyncDisposable {
  now = 1_000;
  hasWaiting = false;
  checks = 0;
  /** Results of the checks. */
  readonly healthy: boolean[] = [];
  /** Writes the answer to a check. */
  reply: (res: http.ServerResponse) => void = res => res.end();
  private readonly server = http.createServer((unusedReq, res) => {
    this.checks++;
    this.reply(res);
  });
  private checked: () => void = () => undefined;
  private readonly checker = new healthChecker.HealthChecker({
    http: CODEC,
    path: () => '/healthz',
    needsCheck: () => false,
    maxRunsUnchecked: () => MAX_RUNS_UNCHECKED,
    hasWaiting: () => this.hasWaiting,
    nowMs: () => this.now,
    listener: {
      onHealth: ({healthy}) => {
        this.healthy.push(healthy);
        this.checked();
      },
      onHealthFailed: failure => assert.fail(failure),
    },
  });

  async open(): Promise<this> {
    await new Promise<void>(resolve =>
      this.server.listen(0, '127.0.0.1', resolve),
    );
    const {address, port} = this.server.address() as net.AddressInfo;
    this.checker.setServer(address, port);
    return this;
  }

  /** Waits for the answer to a check that `begin` starts. */
  answered(
    begin: (checker: healthChecker.HealthChecker) => void,
  ): Promise<void> {
    return new Promise(resolve => {
      this.checked = resolve;
      begin(this.checker);
    });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.checker[Symbol.dispose]();
    this.server.closeAllConnections();
    await new Promise(resolve => this.server.close(resolve));
  }
}

test('the load is sampled while requests wait, also when no more arrive', async () => {
  await using harness = await new Harness().open();
  await harness.answered(checker => checker.checkNow());
  harness.now += BETWEEN_INTERVALS_MS;
  harness.hasWaiting = true;
  await harness.answered(checker => checker.tick(harness.now));
  assert.equal(harness.checks, 2);
});

test('the load is sampled rarely while no request arrives or waits', async () => {
  await using harness = await new Harness().open();
  await harness.answered(checker => checker.checkNow());
  harness.now += BETWEEN_INTERVALS_MS;
  await harness.answered(checker => {
    checker.tick(harness.now);
    // Had the tick begun a check, this would make another one after it.
    checker.checkNow();
  });
  await new Promise(resolve => setTimeout(resolve, SETTLE_MS));
  assert.equal(harness.checks, 2);
});

// Such a server got as many requests as before until the next check (review/5).
test('a server that may have become cold is checked after a few runs', async () => {
  await using harness = await new Harness().open();
  await harness.answered(checker => checker.checkNow());
  harness.now += BETWEEN_RUNS_MS;
  await harness.answered(checker => {
    for (let i = 0; i < MAX_RUNS_UNCHECKED; i++) checker.onRun();
  });
  assert.equal(harness.checks, 2);
});

test('runs cause no more checks than the platform allows', async () => {
  await using harness = await new Harness().open();
  await harness.answered(checker => checker.checkNow());
  await harness.answered(checker => {
    for (let i = 0; i < 2 * MAX_RUNS_UNCHECKED; i++) checker.onRun();
    // Had a run begun a check, this would make another one after it.
    checker.checkNow();
  });
  await new Promise(resolve => setTimeout(resolve, SETTLE_MS));
  assert.equal(harness.checks, 2);
});

/** Answers to other requests that a server writes where the answer to a check is due. */
const FOREIGN: Readonly<Record<string, (res: http.ServerResponse) => void>> = {
  'the answer to a request': res => {
    res.writeHead(200, {Id: 'r1'});
    res.end();
  },
  'the refusal of a request': res => {
    res.writeHead(503, {Id: 'r1'});
    res.end();
  },
  'the start of an answer and another answer': res => {
    res.socket?.write(
      'HTTP/1.1 200 HTTP/1.1 503 Draining\r\nContent-Length: 0\r\n\r\n',
    );
  },
};

for (const [what, reply] of Object.entries(FOREIGN)) {
  test(`a check that reads ${what} is made again on a new connection`, async () => {
    await using harness = await new Harness().open();
    await harness.answered(checker => checker.checkNow());
    harness.reply = res => {
      harness.reply = again => {
        again.writeHead(503);
        again.end();
      };
      reply(res);
    };
    await harness.answered(checker => checker.checkNow());
    assert.equal(harness.checks, 3);
    assert.deepEqual(harness.healthy, [true, false]);
  });
}

test('the answers of a server that names each of them are read', async () => {
  await using harness = await new Harness().open();
  harness.reply = res => {
    res.writeHead(200, {Id: 'generated'});
    res.end();
  };
  for (let i = 0; i < 4; i++) {
    await harness.answered(checker => checker.checkNow());
  }
  assert.deepEqual(harness.healthy, [true, true, true, true]);
});
