import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as serving from '../../generated/serving.js';
import * as fixtures from './serving_fixtures.test.js';

const {test} = nodeTest;
const {Reason} = serving;

const GATES = [fixtures.gate('near'), fixtures.gate('far')];

/** Reports the last attempt as one whose gate is silent. */
function silenceLast(harness: fixtures.EntryHarness, now: number): void {
  const {nodeId, dispatch} = harness.last;
  harness.entry.onOutcomeUnknown(nodeId, dispatch.call, now);
}

/** Answers an attempt by its position in the order of sending. */
function answer(
  harness: fixtures.EntryHarness,
  position: number,
  status: number,
  now: number,
): void {
  const {nodeId, dispatch} = harness.sent[position];
  const call = dispatch.call;
  const load = undefined;
  const body = Buffer.alloc(0);
  const value = {call, status, headers: [], body, load};
  harness.entry.onAnswer(nodeId, value, now);
}

function statuses(harness: fixtures.EntryHarness): readonly number[] {
  return harness.responses.map(({status}) => status);
}

// An entry gave callers 502 while servers were at work behind silent gates.
for (const overrides of [{attempts: 1}, {attempts: 2, repeatable: false}]) {
  const kind = overrides.attempts === 1 ? 'one attempt' : 'no second run';
  test(`a request with ${kind} waits for a gate that is silent`, () => {
    const harness = new fixtures.EntryHarness(GATES);
    harness.request(overrides);
    silenceLast(harness, 600);
    assert.equal(harness.sent.length, 1);
    assert.equal(harness.givenUp.length, 0);
    answer(harness, 0, 200, 1_000);
    assert.deepEqual(statuses(harness), [200]);
  });
}

test('a request that may be repeated runs a second time beside a silent gate, once', () => {
  const harness = new fixtures.EntryHarness(GATES);
  harness.request({attempts: 2});
  silenceLast(harness, 600);
  assert.equal(harness.sent.length, 2);
  assert.notEqual(harness.sent[0].nodeId, harness.sent[1].nodeId);
  silenceLast(harness, 700);
  assert.equal(harness.sent.length, 2);
  answer(harness, 0, 200, 800);
  assert.deepEqual(statuses(harness), [200]);
  assert.deepEqual(harness.withdrawn, [harness.sent[1].dispatch.call]);
});

test('a refused second attempt leaves the first one open whose gate is silent', () => {
  const harness = new fixtures.EntryHarness(GATES);
  harness.request({attempts: 2});
  silenceLast(harness, 600);
  harness.refuseLast(Reason.OVERLOADED, {}, 610);
  assert.equal(harness.givenUp.length, 0);
  answer(harness, 0, 200, 900);
  assert.deepEqual(statuses(harness), [200]);
});

test("a server's error is returned at once if the only other gate is silent", () => {
  const harness = new fixtures.EntryHarness(GATES);
  harness.request({attempts: 2});
  silenceLast(harness, 600);
  answer(harness, 1, 500, 700);
  assert.deepEqual(statuses(harness), [500]);
});

test('a request whose gate stays silent ends at its timeout as possibly run', () => {
  const harness = new fixtures.EntryHarness(GATES);
  harness.request({attempts: 1, timeoutMs: 1_200});
  silenceLast(harness, 600);
  harness.entry.tick(1_199);
  assert.equal(harness.givenUp.length, 0);
  harness.entry.tick(1_200);
  const [{reason, mayHaveRun}] = harness.givenUp;
  assert.deepEqual({reason, mayHaveRun}, {reason: 'timeout', mayHaveRun: true});
});

test('a request ends at once when the gate that it waits for has lost its process', () => {
  const harness = new fixtures.EntryHarness(GATES);
  harness.request({attempts: 1});
  const {nodeId, dispatch} = harness.last;
  silenceLast(harness, 600);
  harness.entry.onLinkFailed(nodeId, dispatch.call, true, 700);
  const [{reason, mayHaveRun}] = harness.givenUp;
  assert.deepEqual(
    {reason, mayHaveRun},
    {
      reason: 'server-failed',
      mayHaveRun: true,
    },
  );
});

test('a request that a silent gate turns out not to have run goes to another gate', () => {
  const harness = new fixtures.EntryHarness(GATES);
  harness.request({attempts: 1, repeatable: false});
  silenceLast(harness, 600);
  harness.refuseLast(Reason.CLOSED, {}, 700);
  assert.equal(harness.sent.length, 2);
  harness.refuseLast(Reason.OVERLOADED, {}, 710);
  assert.equal(harness.givenUp[0].mayHaveRun, false);
});

test('a run behind a gate that responds again counts once', () => {
  const harness = new fixtures.EntryHarness([GATES[0]]);
  harness.request({attempts: 2});
  const {nodeId, dispatch} = harness.last;
  silenceLast(harness, 600);
  harness.entry.onGateResponds(nodeId, dispatch.call);
  harness.refuseLast(Reason.BROKEN, {mayHaveRun: true}, 700);
  assert.equal(harness.sent.length, 2);
  harness.refuseLast(Reason.BROKEN, {mayHaveRun: true}, 710);
  assert.equal(harness.sent.length, 2);
  assert.equal(harness.givenUp.length, 1);
});

test('a retry that the budget forbids is tried again while the gate is silent', () => {
  const budget = {ratio: 0.2, slack: 0};
  const harness = new fixtures.EntryHarness(GATES, budget);
  // The first failure uses up the budget.
  harness.request({attempts: 2});
  harness.refuseLast(Reason.BROKEN, {mayHaveRun: true}, 5);
  answer(harness, 1, 200, 10);
  harness.request({attempts: 2}, 20);
  silenceLast(harness, 620);
  assert.equal(harness.sent.length, 3);
  for (let i = 0; i < 20; i++) harness.request({attempts: 1}, 700);
  const before = harness.sent.length;
  harness.entry.tick(1_121);
  assert.equal(harness.sent.length, before + 1);
});

// An entry that had been paused gave callers 504 before their time was up.
test('an open attempt is awaited longer if the request may be newer than assumed', () => {
  const harness = new fixtures.EntryHarness(GATES);
  const route = {attempts: 1, timeoutMs: 4_000};
  harness.request(route, 0, {timeLeftMs: 1_000, waitedMs: 800});
  assert.equal(harness.last.dispatch.timeLeftMs, 1_000);
  harness.entry.tick(1_299);
  assert.equal(harness.givenUp.length, 0);
  harness.entry.tick(1_300);
  assert.equal(harness.givenUp.length, 1);
});

test('a route is not exceeded by a request that may be newer than assumed', () => {
  const harness = new fixtures.EntryHarness(GATES);
  const route = {attempts: 1, timeoutMs: 1_100};
  harness.request(route, 0, {timeLeftMs: 1_000, waitedMs: 800});
  harness.entry.tick(1_099);
  assert.equal(harness.givenUp.length, 0);
  harness.entry.tick(1_100);
  assert.equal(harness.givenUp.length, 1);
});

test('the time for which a request was held before it was sent counts for the route', () => {
  const harness = new fixtures.EntryHarness(GATES);
  const route = {attempts: 1, timeoutMs: 1_200, objectiveMs: 800};
  harness.request(route, 300, {timeLeftMs: 2_000, heldMs: 300});
  const {timeLeftMs, objectiveLeftMs} = harness.last.dispatch;
  assert.deepEqual([timeLeftMs, objectiveLeftMs], [900, 500]);
  harness.entry.tick(1_200);
  assert.equal(harness.givenUp.length, 1);
});
