import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as timers from 'node:timers/promises';

import * as documents from '../stand_ins/platform/documents.js';
import * as platformFleet from './platform_fleet.js';

const {test} = nodeTest;

/** A server that is cold during the whole test. */
const COLD_LEFT_MS = 20_000;

/** More than a request waits for a load report, less than the rest of the first second. */
const MAX_WAIT_MS = 300;

/** Time for which requests of a former process count. */
const SECOND_MS = 1_000;

/** Age of a server, at the start of its node, with which a former process may have known it. */
const KNOWN_AGE_MS = 5_000;

/** Fields of a node's log line of a run. */
interface LoggedRun {
  readonly at: string;
  /** Start of the process, in Unix milliseconds. */
  readonly process: number;
  readonly waitedMs: number;
}

/** Start of the first run after a restart. */
interface FirstRun {
  /** Time that the request waited at the gate. */
  readonly waitedMs: number;
  /** Age of the node's process at the start of the run. */
  readonly processAgeMs: number;
}

/** Restarts a node beside a cold server and sends a request. */
async function runAfterRestart(serverAgeMs: number): Promise<FirstRun> {
  await using fleet = await platformFleet.PlatformFleet.start(1);
  const [node] = fleet.nodes;
  node.process.signal('SIGKILL');
  await node.process.exitStatus();
  node.server.instanceId = 'cold';
  node.server.coldLeftMs = COLD_LEFT_MS;
  node.server.startMs = Date.now() - serverAgeMs;
  const restarted = await fleet.restart(node);
  assert.equal(await node.server.announce(node.control), 200);
  assert.equal((await fleet.send(restarted, {id: 'first'})).status, 200);
  const line = restarted.process.printed
    .split('\n')
    .find(text => text.includes('"event":"run"') && text.includes('"first"'));
  assert.ok(line, restarted.process.printed);
  const run = JSON.parse(line) as LoggedRun;
  return {
    waitedMs: run.waitedMs,
    processAgeMs: Date.parse(run.at) - run.process,
  };
}

// After a loss of power server and node start together, and the server may be a little older.
test('a cold server that started with its node gets requests at once', async () => {
  const {waitedMs} = await runAfterRestart(0);
  assert.ok(waitedMs < MAX_WAIT_MS, `waited ${waitedMs} ms`);
});

// A former process may have sent such a server as many requests as it carries in a second.
test('a cold server that is older than its node gets requests after a second', async () => {
  const {processAgeMs} = await runAfterRestart(KNOWN_AGE_MS);
  assert.ok(processAgeMs >= SECOND_MS, `ran after ${processAgeMs} ms`);
});

const COLD_PER_S = 11;

/** Most requests that a cold server may get in a second, as the platform's limits allow. */
const MAX_COLD_RUNS = COLD_PER_S * 1.5 + 5;

/** Interval of requests at a server that is half busy. */
const SENT_EVERY_MS = 12;
const WORK_MS = 60;

/** Times that the server becomes cold, each at another moment between two health checks. */
const COLD_STARTS = 5;
const PHASE_MS = 90;
const COLD_MS = 1_200;
const WARM_MS = 1_500;

/** Sends requests until the signal, then waits for their answers. */
async function keepSending(
  fleet: platformFleet.PlatformFleet,
  signal: AbortSignal,
): Promise<void> {
  const [node] = fleet.nodes;
  const sent: Array<Promise<unknown>> = [];
  const startedMs = performance.now();
  while (!signal.aborted) {
    sent.push(fleet.send(node, {id: `r${sent.length}`}));
    const dueMs = startedMs + sent.length * SENT_EVERY_MS;
    await timers.setTimeout(Math.max(0, dueMs - performance.now()));
  }
  await Promise.all(sent);
}

/** Returns the highest number of times within a second. */
function mostPerSecond(timesMs: readonly number[]): number {
  const counts = timesMs.map(
    fromMs =>
      timesMs.filter(ms => ms >= fromMs && ms < fromMs + SECOND_MS).length,
  );
  return Math.max(0, ...counts);
}

// Between two health checks such a server got as many requests as before (review/5).
test('a server that becomes cold while busy gets no more requests than it bears', async () => {
  await using fleet = await platformFleet.PlatformFleet.start(1, {
    configuration: {
      services: [{...documents.service('orders'), cold_per_s: COLD_PER_S}],
    },
  });
  const [{server}] = fleet.nodes;
  server.mode = {kind: 'ok', workMs: WORK_MS};
  const coldRunsMs: number[] = [];
  server.onRun = () => {
    if (server.coldLeftMs > 0) coldRunsMs.push(performance.now());
  };
  const stopped = new AbortController();
  const sending = keepSending(fleet, stopped.signal);
  for (let i = 0; i < COLD_STARTS; i++) {
    await timers.setTimeout(WARM_MS + i * PHASE_MS);
    server.coldLeftMs = COLD_MS;
    await timers.setTimeout(COLD_MS);
    server.coldLeftMs = 0;
  }
  stopped.abort();
  await sending;
  const most = mostPerSecond(coldRunsMs);
  assert.ok(most > 0 && most <= MAX_COLD_RUNS, `${most} runs in a second`);
});
