import * as assert from 'node:assert/strict';
import * as http from 'node:http';
import type * as net from 'node:net';
import * as nodeTest from 'node:test';

import * as healthChecker from './health_checker.js';
import * as platformAdapter from './platform_adapter.js';

const {test} = nodeTest;

/** Reads nothing from headers. */
const CODEC: platformAdapter.HeaderCodec = {
  readCaller: () => ({requestId: undefined, timeLeftMs: undefined}),
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
  }),
};

/** A checker of a local server, with a clock that the test sets. */
class Harness implements AsyncDisposable {
  now = 1_000;
  hasWaiting = false;
  private readonly server = http.createServer((unusedReq, res) => res.end());
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

  /** Starts a check and waits for its answer. */
  checkNow(): Promise<void> {
    return this.answered(() => this.checker.checkNow());
  }

  /** Runs the timers and waits for the answer of the check that is due. */
  tick(): Promise<void> {
    return this.answered(() => this.checker.tick(this.now));
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.checker[Symbol.dispose]();
    this.server.closeAllConnections();
    await new Promise(resolve => this.server.close(resolve));
  }

  private answered(begin: () => void): Promise<void> {
    return new Promise((resolve, reject) => {
      this.checked = resolve;
      begin();
      setTimeout(() => reject(new Error('no check was made')), 300).unref();
    });
  }
}

test('the load is sampled while requests wait, also when no more arrive', async () => {
  await using harness = await new Harness().open();
  await harness.checkNow();
  harness.now += 400;
  await assert.rejects(harness.tick(), /no check was made/);
  harness.hasWaiting = true;
  await harness.tick();
});
