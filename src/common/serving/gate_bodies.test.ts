import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as serving from '../../generated/serving.js';
import * as fixtures from './serving_fixtures.test.js';

const {test} = nodeTest;
const {FULL, OVERLOADED} = serving.Reason;

const BODY = Buffer.alloc(0.6 * fixtures.BODY_BYTES);

// Bodies of all entries met at one gate without a bound, and its process was killed (review/6).
test('a request whose body does not fit is refused as not run', () => {
  const harness = new fixtures.GateHarness().open();
  const first = harness.call({body: BODY});
  harness.call({body: BODY, redirectable: true});
  harness.call({body: BODY});
  assert.deepEqual(harness.output.reasons, [FULL, OVERLOADED]);
  assert.ok(harness.output.refusals.every(({mayHaveRun}) => !mayHaveRun));
  harness.call({body: Buffer.from('short')});
  assert.equal(harness.output.runs.length, 2);
  harness.answered(first, 10);
  harness.call({body: BODY}, 20);
  assert.equal(harness.output.runs.length, 3);
});

test('all ways in which a request ends give its memory back', () => {
  const ends: ReadonlyArray<
    (harness: fixtures.GateHarness, key: string) => void
  > = [
    (harness, key) => harness.gate.onWithdraw(key, 10),
    (harness, key) => harness.gate.onRunEnded(key, {kind: 'not-sent'}, 10),
    harness => harness.gate.tick(5_000),
    (harness, key) => {
      harness.gate.onRunEnded(key, {kind: 'broken'}, 10);
      harness.gate.onHealthFailed('refused', 11);
    },
  ];
  for (const end of ends) {
    const harness = new fixtures.GateHarness().open();
    const key = harness.call({body: BODY});
    assert.equal(harness.bodyMemory.usedBytes, BODY.length);
    end(harness, key);
    assert.equal(harness.bodyMemory.usedBytes, 0);
  }
});

test('a resend without its body finds the request that runs', () => {
  const harness = new fixtures.GateHarness().open();
  const key = harness.call({body: BODY});
  const dispatch = fixtures.dispatch({call: 1});
  harness.gate.onCall({key, linkId: 2, dispatch, lacksBody: true}, 10);
  assert.deepEqual(harness.output.refusals, []);
  harness.answered(key, 20);
  assert.deepEqual(harness.output.answerLinks, [2]);
});

test('a request without its body is refused as not run', () => {
  const harness = new fixtures.GateHarness().open();
  const dispatch = fixtures.dispatch({redirectable: true});
  const call = {key: 'e/1', linkId: 1, dispatch, lacksBody: true};
  harness.gate.onCall(call, 10);
  assert.deepEqual(harness.output.reasons, [FULL]);
  assert.equal(harness.output.runs.length, 0);
});
