import * as assert from 'node:assert/strict';
import * as http from 'node:http';
import type * as net from 'node:net';
import * as nodeTest from 'node:test';

import * as healthChecker from './health_checker.js';
import * as platformAdapter from './platform_adapter.js';

const {test} = nodeTest;

/** Reads nothing from headers. */
const CODEC: platformAdapter.HeaderCodec = {
  readCaller: () => ({
    requestId: undefined,
    timeLeftMs: undefined,
    key: {kind: 'none'},
  }),
  originHeaders: () => [],
  isReserved: () => false,
  runHeaders: () => [],
  readAnswer: () => ({
    requestId: undefined,
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

/** Time in which a further check would reach the server. */
const SETTLE_MS = 100;

/** A checker of a local server, with a clock that the test sets. */
class Harness implements AsyncDisposable {
  now = 1_000;
  hasWaiting = false;
  checks = 0;
  private readonly server = http.createServer((unusedReq, res) => {
    this.checks++;
    res.end();
  });
  private checked: () => void = () => undefined;
  private readonly checker = new healthChecker.HealthChecker({
    http: CODEC,
    path: () => '/healthz',
    needsCheck: () => false,
    hasWaiting: () => this.hasWaiting,
    nowMs: () => this.now,
    listener: {
      onHealth: () => this.checked(),
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
