import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as fixtures from './serving_fixtures.test.js';

const {test} = nodeTest;

const LIMIT_OF_TEN_SLOTS = 8;

test('a request read late from a replaced link is answered over the later one', () => {
  const harness = new fixtures.GateHarness().open();
  const key = harness.call();
  harness.resend(key, 3, 20);
  harness.resend(key, 2, 30);
  harness.gate.onLinkLost(2, 40);
  harness.answered(key, 50);
  assert.deepEqual(harness.output.answerLinks, [3]);
});

test('a call resent over a new link runs once and is answered there', () => {
  const harness = new fixtures.GateHarness().open();
  const key = harness.call();
  harness.gate.onLinkLost(1, 10);
  const dispatch = fixtures.dispatch();
  harness.gate.onCall({key, linkId: 2, dispatch}, 20);
  harness.answered(key, 30);
  harness.gate.onCall({key, linkId: 3, dispatch}, 40);
  assert.equal(harness.output.runs.length, 1);
  assert.equal(harness.output.answers.length, 2);
});

test('a repeatable run is aborted if its entry does not reconnect', () => {
  const harness = new fixtures.GateHarness().open();
  const key = harness.call();
  harness.gate.onLinkLost(1, 10);
  harness.gate.tick(900);
  assert.deepEqual(harness.output.aborted, []);
  harness.gate.tick(1_100);
  assert.deepEqual(harness.output.aborted, [key]);
});

test('a run is kept until its deadline while another link shows that its entry lives', () => {
  const harness = new fixtures.GateHarness().open();
  harness.entriesUp.add('e');
  const key = harness.call({timeLeftMs: 10_000});
  harness.gate.onLinkLost(1, 10);
  for (let now = 100; now <= 9_000; now += 100) harness.gate.tick(now);
  harness.answered(key, 9_100);
  harness.resend(key, 2, 9_200);
  assert.deepEqual(harness.output.aborted, []);
  assert.deepEqual(harness.output.answerLinks, [2]);
});

test('a waiting request runs after its link was lost while its entry lives', () => {
  const harness = new fixtures.GateHarness().open();
  const times = {timeLeftMs: 10_000, objectiveLeftMs: 10_000};
  const keys = Array.from({length: LIMIT_OF_TEN_SLOTS}, () =>
    harness.call(times),
  );
  harness.entriesUp.add('e');
  const key = harness.call(times);
  harness.gate.onLinkLost(1, 10);
  for (let now = 100; now <= 3_000; now += 100) harness.gate.tick(now);
  harness.answered(keys[0], 3_100);
  assert.ok(harness.isRunning(key));
});

test('a run ends a second after the last sign of its entry', () => {
  const harness = new fixtures.GateHarness().open();
  harness.entriesUp.add('e');
  const key = harness.call({timeLeftMs: 10_000});
  harness.gate.onLinkLost(1, 0);
  harness.gate.tick(1_000);
  harness.entriesUp.delete('e');
  harness.gate.tick(1_900);
  assert.deepEqual(harness.output.aborted, []);
  harness.gate.tick(2_000);
  assert.deepEqual(harness.output.aborted, [key]);
});

test('runs of a repeatable request end at once when its entry has started again', () => {
  const harness = new fixtures.GateHarness().open();
  const safe = harness.callFrom('node-1@500', {repeatable: true});
  harness.callFrom('node-1@500', {repeatable: false});
  harness.callFrom('node-1@600', {repeatable: true});
  harness.callFrom('node-11@500', {repeatable: true});
  harness.gate.onEntryStarted('node-1', 600, 10);
  assert.deepEqual(harness.output.aborted, [safe]);
});

test('a former process of an entry that is read late ends no runs of the present one', () => {
  const harness = new fixtures.GateHarness().open();
  harness.callFrom('node-1@600');
  harness.gate.onEntryStarted('node-1', 500, 10);
  assert.deepEqual(harness.output.aborted, []);
});

test('a pause of the gate does not end a run whose entry has asked for it meanwhile', () => {
  const harness = new fixtures.GateHarness().open();
  const key = harness.call({timeLeftMs: 10_000});
  harness.gate.onLinkLost(1, 10);
  harness.gate.onResumed(4_000, 4_000);
  // The timers come before the sockets are read.
  harness.gate.tick(4_100);
  harness.resend(key, 2, 4_110);
  harness.answered(key, 4_120);
  assert.deepEqual(harness.output.aborted, []);
  assert.deepEqual(harness.output.answerLinks, [2]);
});

test('a pause of the gate does not end the wait for the health check of a broken run', () => {
  const harness = new fixtures.GateHarness().open();
  const key = harness.call({timeLeftMs: 10_000});
  harness.gate.onRunEnded(key, {kind: 'broken'}, 10);
  harness.gate.onResumed(4_000, 4_000);
  harness.gate.tick(4_020);
  harness.gate.onHealthFailed('refused', 4_030);
  assert.deepEqual(harness.output.suspects, ['f1']);
});

test('a broken run whose link is lost is not refused as not run', () => {
  const harness = new fixtures.GateHarness().open();
  const key = harness.call({repeatable: false, timeLeftMs: 5_000});
  harness.gate.onLinkLost(1, 10);
  harness.gate.onRunEnded(key, {kind: 'broken'}, 1_000);
  harness.gate.tick(1_200);
  harness.resend(key, 2, 1_300, {repeatable: false});
  assert.equal(harness.output.refusals[0].mayHaveRun, true);
});

// A gate that had been paused ended runs whose callers still had time.
test('a run of a request that may have waited unread is kept until its latest deadline', () => {
  const harness = new fixtures.GateHarness().open();
  const dispatch = fixtures.dispatch({timeLeftMs: 2_000});
  const key = 'e/1';
  harness.gate.onCall({key, linkId: 1, dispatch, waitedMs: 1_300}, 100);
  harness.gate.tick(1_200);
  assert.deepEqual(harness.output.aborted, []);
  harness.gate.tick(2_400);
  assert.deepEqual(harness.output.aborted, [key]);
});
