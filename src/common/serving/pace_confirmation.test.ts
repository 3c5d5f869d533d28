import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as serving from '../../generated/serving.js';
import * as randomSource from '../random_source.js';
import * as units from '../units.js';
import * as callKey from './call_key.js';
import * as fixtures from './serving_fixtures.test.js';

const {test} = nodeTest;

const STALLED_PERCENT = 500;
const STALL_MS: units.Millis = 150;
const CALM_MS: units.Millis = 450;
const RUN_MS: units.Millis = 120;

/** Run that starts during a stall, as it is short at the pace of a stall too. */
const SHORT_RUN_MS: units.Millis = 20;

const REQUEST_INTERVAL_MS: units.Millis = 90;
const SAMPLE_INTERVAL_MS: units.Millis = 100;
const SAMPLE_TRIP_MS: units.Millis = 2;
const END_MS: units.MonotonicMs = 60_000;

/** Returns the pace of a server that neighbours stall for a quarter of the time, by millisecond. */
function stalls(random: randomSource.RandomSource): readonly number[] {
  const paces: number[] = [];
  let isStalled = false;
  while (paces.length <= END_MS) {
    const meanMs = isStalled ? STALL_MS : CALM_MS;
    const lengthMs = Math.ceil(-meanMs * Math.log(1 - random.next()));
    const percent = isStalled ? STALLED_PERCENT : 100;
    for (let i = 0; i < lengthMs; i++) paces.push(percent);
    isStalled = !isStalled;
  }
  return paces;
}

function load(pacePercent: number) {
  return {running: 0, waiting: 0, slots: 10, pacePercent};
}

/** Sends requests at a fixed interval; returns the pace at the start of each run. */
function playRequests(seed: number): readonly number[] {
  const paces = stalls(new randomSource.SeededRandom(seed));
  const harness = new fixtures.GateHarness().open();
  const {gate, output} = harness;
  harness.answered(harness.call({}, 0), RUN_MS);
  const startPaces: number[] = [];
  const ends = new Map<number, string>();
  let sampleAtMs = 0;
  let samplesRequested = 0;
  for (let now = RUN_MS + 1; now < END_MS; now++) {
    const runs = output.runs.length;
    if (now % SAMPLE_INTERVAL_MS === 0) sampleAtMs = now;
    if (sampleAtMs === now) {
      gate.onServerLoad(load(paces[now]), now);
      harness.healthy('i-1', now);
    }
    const ended = ends.get(now);
    if (ended !== undefined) {
      gate.onServerLoad(load(paces[now]), now);
      harness.answered(ended, now);
    }
    if (now % REQUEST_INTERVAL_MS === 0) {
      harness.call({redirectable: true}, now);
    }
    if (gate.nextWakeMs(now) <= now) gate.tick(now);
    for (const {key} of output.runs.slice(runs)) {
      startPaces.push(paces[now]);
      ends.set(now + (RUN_MS * paces[now]) / 100, key);
    }
    if (output.loadSamples > samplesRequested) {
      samplesRequested = output.loadSamples;
      sampleAtMs = now + SAMPLE_TRIP_MS;
    }
  }
  return startPaces;
}

for (const seed of [1, 2, 3]) {
  test(`runs do not start on a pace that was current before a stall, seed ${seed}`, () => {
    const paces = playRequests(seed);
    assert.ok(paces.length > 300);
    const slow = paces.filter(pace => pace === STALLED_PERCENT).length;
    assert.ok(slow <= 0.02 * paces.length, `${slow} of ${paces.length} slow`);
  });
}

// The entry of the same node is told of a refusal at once and may send the request back: another
// one that waited started then, and was refused as not run, so that it ran twice (TWICE).
test('a request that starts while another one is refused is not refused as not run', () => {
  const harness = new fixtures.GateHarness().open();
  const {gate, output} = harness;
  for (let now = 0; now < 500; now += 50) {
    harness.answered(harness.call({}, now), now + SHORT_RUN_MS);
  }
  gate.onServerLoad(load(100), 500);
  const keys = [1, 2].map(() => harness.call({redirectable: true}, 600));
  const refused: string[] = [];
  output.refuse = (unusedLinkId, {call, mayHaveRun}) => {
    if (!mayHaveRun) refused.push(callKey.format('e', call));
    if (refused.length === 1) harness.call({redirectable: false}, 601);
  };
  gate.onServerLoad(load(STALLED_PERCENT), 601);
  for (const key of keys) {
    assert.ok(harness.isRunning(key) !== refused.includes(key), key);
  }
});

test('a request that ends while another one is refused is refused once', () => {
  const harness = new fixtures.GateHarness().open();
  const {gate, output} = harness;
  gate.onServerLoad(load(100), 0);
  const keys = [1, 2, 3].map(() => harness.call({redirectable: true}, 100));
  const refused: string[] = [];
  output.refuse = (unusedLinkId, {call}) => {
    refused.push(callKey.format('e', call));
    if (refused.length === 1) gate.stop(102);
  };
  gate.onServerLoad(load(STALLED_PERCENT), 102);
  assert.deepEqual([...refused].sort(), [...keys].sort());
});

test('a waiting request is redirected when a sample shows a stall', () => {
  const harness = new fixtures.GateHarness().open();
  harness.gate.onServerLoad(load(100), 0);
  harness.call({redirectable: true}, 100);
  assert.equal(harness.output.loadSamples, 1);
  assert.equal(harness.output.runs.length, 0);
  harness.gate.onServerLoad(load(STALLED_PERCENT), 102);
  assert.deepEqual(harness.output.reasons, [serving.Reason.STALLED]);
});

test('a server that does not report its pace gets requests at once', () => {
  const harness = new fixtures.GateHarness().open();
  const report = {running: 0, waiting: 0, slots: 10, pacePercent: undefined};
  harness.gate.onServerLoad(report, 0);
  harness.call({}, 1_000);
  assert.equal(harness.output.runs.length, 1);
  assert.equal(harness.output.loadSamples, 0);
});

test('one sample is requested for all requests that wait', () => {
  const harness = new fixtures.GateHarness().open();
  harness.gate.onServerLoad(load(100), 0);
  for (let i = 0; i < 3; i++) harness.call({}, 100);
  assert.equal(harness.output.loadSamples, 1);
  harness.gate.onServerLoad(load(100), 102);
  harness.healthy('i-1', 102);
  assert.equal(harness.output.runs.length, 3);
});
