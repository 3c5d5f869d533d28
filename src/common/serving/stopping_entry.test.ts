import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as fixtures from './serving_fixtures.test.js';
import * as serving from '../../generated/serving.js';

const {test} = nodeTest;

const {Reason} = serving;

const GATES = [fixtures.gate('n1'), fixtures.gate('n2')];

/** Long enough not to end a request before the process does. */
const LONG = {timeoutMs: 9_000};
const LONG_TIME = {timeLeftMs: 9_000};

const RUN_MS = 1_000;

/** An entry whose requests have taken `RUN_MS`, and whose process ends at 15 s. */
function stoppingEntry(noticedMs = Infinity): fixtures.EntryHarness {
  const harness = new fixtures.EntryHarness(GATES);
  for (let i = 0; i < 5; i++) {
    harness.request(LONG, i * RUN_MS, LONG_TIME);
    const {nodeId, dispatch} = harness.last;
    const answer = serving.Answer.fromPartial({
      call: dispatch.call,
      status: 200,
      load: fixtures.load(),
    });
    harness.entry.onAnswer(nodeId, answer, (i + 1) * RUN_MS);
  }
  harness.sent.length = 0;
  harness.entry.stopAt({endsMs: 15_000, noticedMs});
  return harness;
}

test('a stopping entry sends a request that is likely to be answered in time', () => {
  const harness = stoppingEntry();
  harness.request(LONG, 13_900, LONG_TIME);
  assert.equal(harness.last.dispatch.startLeftMs, 100);
});

test('a stopping entry refuses a request that takes too long as not run', () => {
  const harness = stoppingEntry();
  harness.request(LONG, 14_100, LONG_TIME);
  assert.equal(harness.sent.length, 0);
  assert.equal(harness.givenUp[0].mayHaveRun, false);
});

test('a stopping entry refuses what may outlast it once callers have noticed the stop', () => {
  const harness = stoppingEntry(13_000);
  harness.request(LONG, 13_001, LONG_TIME);
  assert.equal(harness.sent.length, 0);
  assert.equal(harness.givenUp[0].mayHaveRun, false);
  harness.request({timeoutMs: 1_500}, 13_001, LONG_TIME);
  assert.equal(harness.sent.length, 1);
});

test('a stopping entry refuses requests of routes that it does not know, unless they time out before', () => {
  const harness = stoppingEntry();
  harness.request({...LONG, name: 'new'}, 10_000, LONG_TIME);
  assert.equal(harness.sent.length, 0);
  harness.request({name: 'new', timeoutMs: 4_000}, 10_000, LONG_TIME);
  assert.equal(harness.last.dispatch.startLeftMs, undefined);
});

test('a stopping entry sends a refused request no further once it takes too long', () => {
  const harness = stoppingEntry();
  harness.request(LONG, 13_900, LONG_TIME);
  harness.refuseLast(Reason.FULL, {}, 14_100);
  assert.equal(harness.sent.length, 1);
  assert.equal(harness.givenUp[0].mayHaveRun, false);
});

test('a gate refuses a request whose run cannot begin before its entry stops', () => {
  const harness = new fixtures.GateHarness().open();
  harness.gate.recheck();
  harness.call({startLeftMs: 100, timeLeftMs: 9_000}, 0);
  harness.gate.tick(99);
  assert.deepEqual(harness.output.reasons, []);
  harness.gate.tick(101);
  assert.deepEqual(harness.output.reasons, [Reason.NO_TIME]);
  assert.equal(harness.output.refusals[0].mayHaveRun, false);
});
