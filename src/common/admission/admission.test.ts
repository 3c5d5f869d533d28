import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as tuning from '../configuration/tuning.js';
import * as randomSource from '../random_source.js';
import * as admission from './admission.js';

const SEED = Number(process.env['SEED'] ?? 1);
const SLOTS = 12;
const SERVICE_MS = 10;
const COLD_START_MS = 5_000;

const ITEM = {
  className: 'price',
  classKind: 'interactive',
  deadlineMs: 1e9,
} as const;

interface Load {
  /** Requests that the server can run at a time; above it all requests slow down. */
  readonly capacity: (ms: number) => number;
  /** Factor on the service time. */
  readonly slowness: (ms: number) => number;
  readonly status?: number;
}

/** Simulates a backend server at its limit, in 1 ms ticks; returns the limit after each tick. */
function drive(
  gate: admission.Admission<typeof ITEM>,
  load: Load,
  fromMs: number,
  toMs: number,
): {readonly limits: readonly number[]; readonly overloadedMs: number} {
  const random = new randomSource.SeededRandom(SEED);
  const limits: number[] = [];
  let running: {readonly startedMs: number; readonly leftMs: number}[] = [];
  let overloadedMs = 0;
  for (let ms = fromMs; ms < toMs; ms++) {
    while (running.length < gate.limit) {
      const leftMs = SERVICE_MS * (0.5 + random.next());
      running.push({startedMs: ms, leftMs});
    }
    const utilisation = running.length / load.capacity(ms);
    if (utilisation > 1) overloadedMs++;
    const rate = 1 / load.slowness(ms) / Math.max(1, utilisation * utilisation);
    running = running.map(r => ({...r, leftMs: r.leftMs - rate}));
    for (const run of running.filter(r => r.leftMs <= 0)) {
      gate.onAnswered(ITEM, load.status ?? 200, run.startedMs, ms);
    }
    running = running.filter(r => r.leftMs > 0);
    gate.detectCold(
      () => running.map(r => ({item: ITEM, startedMs: r.startedMs})),
      ms,
    );
    limits.push(gate.limit);
  }
  return {limits, overloadedMs};
}

function createAdmission(): admission.Admission<typeof ITEM> {
  return new admission.Admission<typeof ITEM>({
    random: new randomSource.SeededRandom(SEED),
    tuning: () => ({...tuning.DEFAULT_TUNING, coldStartMs: COLD_START_MS}),
    slots: () => SLOTS,
    inFlight: () => 0,
  });
}

function warmAdmission(): admission.Admission<typeof ITEM> {
  const gate = createAdmission();
  drive(gate, HEALTHY, 0, 2_000);
  return gate;
}

const HEALTHY: Load = {capacity: () => SLOTS, slowness: () => 1};

function rampingCapacity(startMs: number): Load['capacity'] {
  return ms =>
    Math.min(SLOTS, 1 + ((SLOTS - 1) * (ms - startMs)) / COLD_START_MS);
}

nodeTest.test(
  'an announced cold server never gets more requests than it can run',
  () => {
    const gate = createAdmission();
    gate.beginSlowStart(0);
    assert.equal(gate.limit, 1);
    const run = drive(
      gate,
      {...HEALTHY, capacity: rampingCapacity(0)},
      0,
      8_000,
    );
    assert.equal(run.overloadedMs, 0);
    assert.equal(gate.isCold, false);
    assert.equal(gate.limit, SLOTS);
  },
);

nodeTest.test('a server that gains its capacity late is not overloaded', () => {
  const gate = createAdmission();
  gate.beginSlowStart(0);
  const late = (ms: number) => (ms < 0.4 * COLD_START_MS ? 2 : SLOTS);
  const run = drive(gate, {...HEALTHY, capacity: late}, 0, 8_000);
  assert.equal(run.overloadedMs, 0);
  assert.equal(gate.limit, SLOTS);
});

nodeTest.test('slow start does not advance by time alone', () => {
  const gate = createAdmission();
  gate.beginSlowStart(0);
  gate.onAnswered(ITEM, 200, 2 * COLD_START_MS - SERVICE_MS, 2 * COLD_START_MS);
  assert.equal(gate.limit, 1);
  assert.equal(gate.isCold, true);
});

nodeTest.test('bursts of a noisy neighbour do not set slow start back', () => {
  const gate = createAdmission();
  gate.beginSlowStart(0);
  const noisy: Load = {...HEALTHY, slowness: ms => (ms % 250 < 50 ? 8 : 1)};
  const {limits} = drive(gate, noisy, 0, 8_000);
  const setBack = limits.filter((limit, i) => limit < (limits[i - 1] ?? 0));
  assert.deepEqual(setBack, []);
  assert.equal(gate.limit, SLOTS);
});

nodeTest.test('slow answers set slow start back', () => {
  const gate = createAdmission();
  gate.beginSlowStart(0);
  drive(gate, HEALTHY, 0, 3_000);
  const before = gate.limit;
  const slow: Load = {...HEALTHY, slowness: () => 8};
  drive(gate, slow, 3_000, 3_300);
  assert.ok(gate.limit <= before / 2, `${gate.limit} of ${before}`);
});

nodeTest.test('a warm server that turns cold without a signal is found', () => {
  const gate = warmAdmission();
  const cold: Load = {...HEALTHY, capacity: rampingCapacity(2_000)};
  const run = drive(gate, cold, 2_000, 9_000);
  const detectedMs = run.limits.findIndex(limit => limit === 1);
  assert.ok(detectedMs >= 0 && detectedMs <= 500, `after ${detectedMs} ms`);
  assert.ok(run.overloadedMs <= 1_000, `overloaded for ${run.overloadedMs} ms`);
  assert.equal(gate.limit, SLOTS);
});

nodeTest.test(
  'bursts of a noisy neighbour do not look like a cold server',
  () => {
    const gate = warmAdmission();
    const noisy: Load = {...HEALTHY, slowness: ms => (ms % 200 < 50 ? 5 : 1)};
    const run = drive(gate, noisy, 2_000, 12_000);
    assert.equal(gate.isCold, false);
    assert.ok(Math.min(...run.limits) >= SLOTS / 2);
  },
);

nodeTest.test(
  'lost and regained capacity are detected like a cold start',
  () => {
    const gate = warmAdmission();
    const shrunk: Load = {...HEALTHY, capacity: () => SLOTS / 3};
    const run = drive(gate, shrunk, 2_000, 9_000);
    const late = run.limits.slice(1_000);
    assert.ok(Math.max(...late) < SLOTS);
    drive(gate, HEALTHY, 9_000, 16_000);
    assert.equal(gate.limit, SLOTS);
  },
);

nodeTest.test(
  'a server that fails fast reports a low limit and long times',
  () => {
    const gate = warmAdmission();
    const healthyMs = gate.reportedMs;
    const failing: Load = {...HEALTHY, slowness: () => 0.1, status: 500};
    drive(gate, failing, 2_000, 2_500);
    assert.equal(gate.limit, 1);
    assert.ok(gate.reportedMs > 10 * healthyMs);
    drive(gate, HEALTHY, 2_500, 6_000);
    assert.equal(gate.limit, SLOTS);
  },
);

nodeTest.test('a server that sheds gets a lower limit', () => {
  const gate = warmAdmission();
  for (let ms = 0; ms < 100; ms += 20) gate.onShed(2_000 + ms);
  assert.ok(gate.limit < SLOTS && gate.limit >= 1);
});
