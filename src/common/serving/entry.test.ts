import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as serving from '../../generated/serving.js';
import * as fixtures from './serving_fixtures.test.js';

const {test} = nodeTest;
const {Reason, Closure} = serving;

const NEAR = fixtures.gate('near');
const FAR = fixtures.gate('far', {dataCentre: 'south'});

test('a request goes to the gate in its own data centre', () => {
  const harness = new fixtures.EntryHarness([FAR, NEAR]);
  harness.request();
  assert.equal(harness.last.nodeId, 'near');
});

test('a far gate is chosen if the wait at the near one would miss the objective', () => {
  const harness = new fixtures.EntryHarness([FAR, NEAR]);
  const full = fixtures.load({running: 8, waiting: 20});
  harness.reports.onLoad('near', full, 0);
  harness.request();
  assert.equal(harness.last.nodeId, 'far');
});

test('closed and unreachable gates get no requests', () => {
  const gone = fixtures.gate('gone', {reachable: false});
  const harness = new fixtures.EntryHarness([gone, NEAR, FAR]);
  const closure = Closure.SERVER_LEAVING;
  harness.reports.onLoad('near', fixtures.load({closure}), 0);
  harness.request();
  assert.equal(harness.last.nodeId, 'far');
});

test('a full gate keeps a request after two redirections while other gates have free slots', () => {
  const gates = Array.from({length: 7}, (unused, i) => fixtures.gate(`g${i}`));
  const harness = new fixtures.EntryHarness(gates);
  harness.request();
  for (let i = 0; i < 5; i++) harness.refuseLast(Reason.FULL);
  const redirecting = harness.sent.slice(0, 5).map(s => s.nodeId);
  assert.equal(new Set(redirecting).size, 5);
  assert.deepEqual(
    harness.sent.map(s => s.dispatch.redirectable),
    [true, true, true, true, true, false],
  );
});

test('a request that all gates have redirected is kept by the next one', () => {
  const harness = new fixtures.EntryHarness([
    NEAR,
    FAR,
    fixtures.gate('other'),
  ]);
  harness.request();
  for (let i = 0; i < 3; i++) harness.refuseLast(Reason.STALLED);
  assert.equal(new Set(harness.sent.map(s => s.nodeId)).size, 3);
  assert.deepEqual(
    harness.sent.map(s => s.dispatch.redirectable),
    [true, true, true, false],
  );
});

test('no gate may redirect if no other is estimated to have a free slot', () => {
  const harness = new fixtures.EntryHarness([NEAR, FAR]);
  for (const {nodeId} of [NEAR, FAR]) {
    harness.reports.onLoad(nodeId, fixtures.load({running: 8, waiting: 9}), 0);
  }
  harness.request();
  assert.equal(harness.last.dispatch.redirectable, false);
});

test('a refusal for overload ends the request as not run, with a retry delay', () => {
  const harness = new fixtures.EntryHarness([NEAR, FAR]);
  harness.request();
  harness.refuseLast(Reason.OVERLOADED);
  assert.deepEqual(harness.givenUp, [
    {reason: 'no-room', mayHaveRun: false, retryAfterMs: 40},
  ]);
});

test('a repeatable request is retried on a second server after a failure, not on a third', () => {
  const harness = new fixtures.EntryHarness([
    NEAR,
    FAR,
    fixtures.gate('other'),
  ]);
  harness.request({attempts: 2});
  harness.refuseLast(Reason.BROKEN, {mayHaveRun: true});
  assert.equal(harness.sent.length, 2);
  assert.notEqual(harness.sent[0].nodeId, harness.sent[1].nodeId);
  harness.refuseLast(Reason.BROKEN, {mayHaveRun: true});
  assert.equal(harness.sent.length, 2);
  assert.equal(harness.givenUp[0].mayHaveRun, true);
});

test('an unsafe request that may have run is not retried and is reported as possibly run', () => {
  const harness = new fixtures.EntryHarness([NEAR, FAR]);
  harness.request({repeatable: false});
  harness.refuseLast(Reason.BROKEN, {mayHaveRun: true});
  assert.equal(harness.sent.length, 1);
  assert.equal(harness.givenUp[0].mayHaveRun, true);
});

test('an unsafe request that did not run goes to another gate', () => {
  const harness = new fixtures.EntryHarness([NEAR, FAR]);
  harness.request({repeatable: false});
  harness.refuseLast(Reason.CLOSED);
  assert.equal(harness.sent.length, 2);
  harness.answerLast(200, 10);
  assert.equal(harness.responses.length, 1);
});

test('an unsafe request on a lost link is reported as possibly run', () => {
  const harness = new fixtures.EntryHarness([NEAR, FAR]);
  harness.request({repeatable: false});
  const {nodeId, dispatch} = harness.last;
  harness.entry.onLinkFailed(nodeId, dispatch.call, true, 10);
  assert.equal(harness.sent.length, 1);
  assert.equal(harness.givenUp[0].mayHaveRun, true);
});

test("a server's error is returned if no other attempt succeeds", () => {
  const harness = new fixtures.EntryHarness([NEAR, FAR]);
  harness.request({attempts: 2});
  harness.answerLast(500, 10);
  harness.refuseLast(Reason.OVERLOADED, {}, 20);
  assert.deepEqual(
    harness.responses.map(answer => answer.status),
    [500],
  );
  assert.equal(harness.givenUp.length, 0);
});

test('a failed run is not retried if the time left is shorter than a run', () => {
  const harness = new fixtures.EntryHarness([NEAR, FAR]);
  harness.request();
  harness.answerLast(200, 400);
  harness.request({timeoutMs: 500}, 1_000);
  harness.answerLast(500, 1_300);
  assert.equal(harness.sent.length, 2);
  assert.equal(harness.responses.at(-1)?.status, 500);
});

test('retries stay within the budget of the fleet', () => {
  const gates = Array.from({length: 10}, (unused, i) => fixtures.gate(`g${i}`));
  const harness = new fixtures.EntryHarness(gates, {ratio: 0.2, slack: 50});
  const requests = 200;
  for (let i = 0; i < requests; i++) {
    harness.request();
    harness.refuseLast(Reason.BROKEN, {mayHaveRun: true});
    if (harness.givenUp.length < i + 1) {
      harness.refuseLast(Reason.BROKEN, {mayHaveRun: true});
    }
  }
  const retries = harness.sent.length - requests;
  assert.ok(retries <= 0.2 * requests + 50 / gates.length);
  assert.ok(retries > 0);
});

test('a shed request is retried within the budget, regardless of its attempt limit', () => {
  const gates = Array.from({length: 4}, (unused, i) => fixtures.gate(`g${i}`));
  const harness = new fixtures.EntryHarness(gates);
  harness.request({attempts: 1, repeatable: false});
  harness.refuseLast(Reason.SHED);
  harness.refuseLast(Reason.SHED);
  assert.equal(new Set(harness.sent.map(s => s.nodeId)).size, 3);
  harness.answerLast(200, 10);
  assert.equal(harness.responses.length, 1);
});

test('retries stay within the budget if all servers of a service shed', () => {
  const gates = Array.from({length: 10}, (unused, i) => fixtures.gate(`g${i}`));
  const harness = new fixtures.EntryHarness(gates, {ratio: 0.2, slack: 50});
  const requests = 200;
  for (let i = 0; i < requests; i++) {
    harness.request();
    while (harness.givenUp.length <= i) harness.refuseLast(Reason.SHED);
  }
  const retries = harness.sent.length - requests;
  assert.ok(retries <= 0.2 * requests + 50 / gates.length);
  assert.ok(retries > 0);
  assert.ok(harness.givenUp.every(g => g.reason === 'shed' && !g.mayHaveRun));
});

test('the attempt of a caller that disconnects is withdrawn', () => {
  const harness = new fixtures.EntryHarness([NEAR]);
  const id = harness.request();
  harness.entry.onCallerGone(id, 10);
  assert.deepEqual(harness.withdrawn, [harness.last.dispatch.call]);
  assert.equal(harness.entry.inProgress, 0);
});

test("the route's timeout ends a request that is running", () => {
  const harness = new fixtures.EntryHarness([NEAR]);
  harness.request({timeoutMs: 800});
  assert.equal(harness.entry.nextWakeMs() <= 800, true);
  harness.entry.tick(800);
  assert.equal(harness.givenUp.length, 1);
  assert.deepEqual(
    [harness.givenUp[0].reason, harness.givenUp[0].mayHaveRun],
    ['timeout', true],
  );
  assert.equal(harness.withdrawn.length, 1);
});

test('an unanswered run is hedged, and the first answer is returned', () => {
  const harness = new fixtures.EntryHarness([
    NEAR,
    FAR,
    fixtures.gate('other'),
  ]);
  harness.request({attempts: 3});
  harness.entry.tick(590);
  assert.equal(harness.sent.length, 2);
  harness.answerLast(200, 700);
  assert.equal(harness.responses.length, 1);
  assert.equal(harness.withdrawn.length, 1);
});

// The gate of the same node replies at once, so that a second run may end another request.
test('a request that was given up while another one is hedged is not sent', () => {
  const harness = new fixtures.EntryHarness([NEAR, FAR]);
  harness.request({attempts: 3});
  harness.request({attempts: 3});
  const [, second] = harness.sent;
  harness.onSent = () => {
    harness.onSent = () => undefined;
    const {call} = second.dispatch;
    const reason = Reason.OVERLOADED;
    const refusal = serving.Refusal.fromPartial({call, reason});
    harness.entry.onRefusal(second.nodeId, refusal, 590);
  };
  harness.entry.tick(590);
  assert.equal(harness.givenUp.length, 1);
  assert.equal(harness.sent.length, 3);
  const {requestId} = second.dispatch;
  const sent = harness.sent.map(({dispatch: d}) => d.requestId);
  assert.equal(sent.filter(id => id === requestId).length, 1);
});

test('a request at a gate that may be unreachable is hedged at once', () => {
  const harness = new fixtures.EntryHarness([
    NEAR,
    FAR,
    fixtures.gate('other'),
  ]);
  harness.request();
  harness.request({repeatable: false});
  const [first] = harness.sent;
  harness.entry.onMaybeUnreachable(first.nodeId, 180);
  assert.equal(harness.sent.length, 3);
  assert.notEqual(harness.last.nodeId, first.nodeId);
  assert.equal(harness.last.dispatch.requestId, 'r1');
});

test('a gate that may be unreachable is chosen last', () => {
  const maybeUnreachable = fixtures.gate('maybe-unreachable', {
    maybeUnreachable: true,
  });
  const harness = new fixtures.EntryHarness([maybeUnreachable, FAR]);
  harness.request();
  assert.equal(harness.last.nodeId, 'far');
  assert.equal(harness.last.dispatch.redirectable, false);
});

test('a node accumulates the retries of three seconds, not more', () => {
  const gates = Array.from({length: 50}, (unused, i) => fixtures.gate(`g${i}`));
  const harness = new fixtures.EntryHarness(gates, {ratio: 0.2, slack: 50});
  for (let i = 0; i < 200; i++) {
    harness.request({}, i * 100);
    harness.answerLast(200, i * 100);
  }
  let retries = 0;
  for (let i = 0; i < 20; i++) {
    const before = harness.sent.length;
    harness.request({}, 20_000);
    harness.refuseLast(Reason.BROKEN, {mayHaveRun: true}, 20_000);
    retries += harness.sent.length - before - 1;
    if (harness.sent.length > before + 1) harness.answerLast(200, 20_000);
  }
  assert.ok(retries >= 3 && retries <= 0.2 * 50 + 1, `${retries}`);
});

test('an answer to an attempt that has ended is ignored', () => {
  const harness = new fixtures.EntryHarness([NEAR]);
  harness.request();
  harness.answerLast(200, 10);
  harness.answerLast(200, 20);
  assert.equal(harness.responses.length, 1);
});

test('a refused hedge does not end the first attempt', () => {
  const harness = new fixtures.EntryHarness([
    NEAR,
    FAR,
    fixtures.gate('other'),
  ]);
  harness.request({attempts: 3});
  const [first] = harness.sent;
  harness.entry.tick(590);
  assert.equal(harness.sent.length, 2);
  harness.refuseLast(Reason.OVERLOADED, {}, 600);
  assert.deepEqual([harness.givenUp, harness.withdrawn], [[], []]);
  const {call} = first.dispatch;
  const answer = serving.Answer.fromPartial({call, status: 200});
  harness.entry.onAnswer(first.nodeId, answer, 700);
  assert.equal(harness.responses.length, 1);
});

test('when all gates have used up their rates, the caller is told when the first has a start', () => {
  const harness = new fixtures.EntryHarness([
    fixtures.gate('a'),
    fixtures.gate('b'),
  ]);
  harness.request();
  const {RATE_LIMITED, OVERLOADED} = serving.Reason;
  harness.refuseLast(RATE_LIMITED, {retryAfterMs: 900});
  harness.refuseLast(RATE_LIMITED, {retryAfterMs: 400});
  assert.equal(harness.last.dispatch.redirectable, false);
  harness.refuseLast(OVERLOADED, {retryAfterMs: 700});
  const [{reason, retryAfterMs, mayHaveRun}] = harness.givenUp;
  assert.deepEqual([reason, retryAfterMs, mayHaveRun], ['no-room', 400, false]);
});

test('a gate without starts at present is chosen last and never for a second run', () => {
  const harness = new fixtures.EntryHarness([
    fixtures.gate('a'),
    fixtures.gate('b'),
  ]);
  const limited = fixtures.load({
    startWaitMs: 800,
    notice: {
      instanceId: 'i-1',
      startMs: 1_000,
      limitPerSecond: 1,
      leaving: false,
    },
  });
  harness.reports.onLoad('a', limited, 0);
  harness.request();
  assert.equal(harness.last.nodeId, 'b');
  harness.entry.tick(500);
  assert.equal(harness.sent.length, 1);
  harness.request({}, 900);
  harness.request({}, 900);
  assert.deepEqual(harness.sent.map(sent => sent.nodeId).sort(), [
    'a',
    'b',
    'b',
  ]);
});
