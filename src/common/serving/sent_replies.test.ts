import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as fixtures from './serving_fixtures.test.js';

const {test} = nodeTest;

const LONG_MS = 10_000;

test('a reply whose link is lost is awaited until it was sent over another one', () => {
  const harness = new fixtures.GateHarness().open();
  const {sentReplies} = harness.gate;
  const key = harness.call({timeLeftMs: LONG_MS});
  harness.answered(key, 10);
  assert.equal(sentReplies.lostCount(20), 0);
  harness.gate.onLinkLost(1, 20);
  assert.equal(sentReplies.lostCount(30), 1);
  harness.resend(key, 2, 40);
  assert.equal(sentReplies.lostCount(50), 0);
  assert.deepEqual([...sentReplies.unconfirmedLinks(50)], [2]);
  sentReplies.onLinkEnded(2, 60);
  assert.deepEqual([...sentReplies.unconfirmedLinks(70)], []);
  assert.equal(sentReplies.lostCount(1_000), 0);
});

test('an entry that gives up a link as it is ended may still ask for the reply', () => {
  const harness = new fixtures.GateHarness().open();
  const {sentReplies} = harness.gate;
  const key = harness.call({timeLeftMs: LONG_MS});
  harness.answered(key, 10);
  sentReplies.onLinkEnded(1, 20);
  assert.equal(sentReplies.lostCount(100), 1);
  harness.resend(key, 2, 100);
  assert.deepEqual([...sentReplies.unconfirmedLinks(2_000)], [2]);
});

test('the reply to a request that ends without a link is awaited', () => {
  const harness = new fixtures.GateHarness().open();
  const key = harness.call({timeLeftMs: LONG_MS});
  harness.gate.onLinkLost(1, 10);
  harness.answered(key, 20);
  assert.equal(harness.gate.sentReplies.lostCount(30), 1);
});

test('a lost reply is awaited while its entry is seen, until the deadline', () => {
  const harness = new fixtures.GateHarness().open();
  const {sentReplies} = harness.gate;
  harness.answered(harness.call({timeLeftMs: LONG_MS}), 10);
  harness.gate.onLinkLost(1, 20);
  assert.equal(sentReplies.lostCount(2_000), 0);
  harness.entriesUp.add('e');
  assert.equal(sentReplies.lostCount(2_000), 1);
  assert.equal(sentReplies.lostCount(LONG_MS), 0);
});

test('nobody awaits the reply to a withdrawn request or to an entry that ended', () => {
  const harness = new fixtures.GateHarness().open();
  const {gate} = harness;
  const withdrawn = harness.call({repeatable: false, timeLeftMs: LONG_MS});
  gate.onWithdraw(withdrawn, 10);
  harness.answered(withdrawn, 20);
  const ended = harness.callFrom('node-1@500', {timeLeftMs: LONG_MS});
  harness.answered(ended, 30);
  gate.onLinkLost(1, 40);
  gate.onEntryStarted('node-1', 600, 50);
  assert.equal(gate.sentReplies.lostCount(60), 0);
});
