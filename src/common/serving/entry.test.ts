import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as serving from '../../generated/serving.js';
import * as fixtures from './serving_fixtures.test.js';

const {test} = nodeTest;
const {Reason, Closure} = serving;

const NEAR = fixtures.gate('near');
const FAR = fixtures.gate('far', {dataCentre: 'south'});

test('a request goes to the gate in its own data centre', () => {
  const world = new fixtures.EntryWorld([FAR, NEAR]);
  world.request();
  assert.equal(world.last.nodeId, 'near');
});

test('a far gate is chosen if the wait at the near one would miss the objective', () => {
  const world = new fixtures.EntryWorld([FAR, NEAR]);
  const full = fixtures.load({running: 8, waiting: 20});
  world.reports.onLoad('near', full, 0);
  world.request();
  assert.equal(world.last.nodeId, 'far');
});

test('closed and unreachable gates get no requests', () => {
  const gone = fixtures.gate('gone', {reachable: false});
  const world = new fixtures.EntryWorld([gone, NEAR, FAR]);
  const closure = Closure.SERVER_LEAVING;
  world.reports.onLoad('near', fixtures.load({closure}), 0);
  world.request();
  assert.equal(world.last.nodeId, 'far');
});

test('a request is redirected by stalled gates at most twice', () => {
  const world = new fixtures.EntryWorld([NEAR, FAR, fixtures.gate('other')]);
  world.request();
  world.refuseLast(Reason.STALLED);
  world.refuseLast(Reason.STALLED);
  assert.equal(new Set(world.sent.map(s => s.nodeId)).size >= 2, true);
  assert.deepEqual(
    world.sent.map(s => s.dispatch.redirectable),
    [true, true, false],
  );
});

test('no gate may redirect if no other is estimated to have a free slot', () => {
  const world = new fixtures.EntryWorld([NEAR, FAR]);
  for (const {nodeId} of [NEAR, FAR]) {
    world.reports.onLoad(nodeId, fixtures.load({running: 8, waiting: 9}), 0);
  }
  world.request();
  assert.equal(world.last.dispatch.redirectable, false);
});

test('a refusal for overload ends the request as not run, with a retry delay', () => {
  const world = new fixtures.EntryWorld([NEAR, FAR]);
  world.request();
  world.refuseLast(Reason.OVERLOADED);
  assert.deepEqual(world.givenUp, [
    {reason: 'no-room', mayHaveRun: false, retryAfterMs: 40},
  ]);
});

test('a repeatable request is retried on a second server after a failure, not on a third', () => {
  const world = new fixtures.EntryWorld([NEAR, FAR, fixtures.gate('other')]);
  world.request({attempts: 2});
  world.refuseLast(Reason.BROKEN, {mayHaveRun: true});
  assert.equal(world.sent.length, 2);
  assert.notEqual(world.sent[0].nodeId, world.sent[1].nodeId);
  world.refuseLast(Reason.BROKEN, {mayHaveRun: true});
  assert.equal(world.sent.length, 2);
  assert.equal(world.givenUp[0].mayHaveRun, true);
});

test('an unsafe request that may have run is not retried and is reported as possibly run', () => {
  const world = new fixtures.EntryWorld([NEAR, FAR]);
  world.request({repeatable: false});
  world.refuseLast(Reason.BROKEN, {mayHaveRun: true});
  assert.equal(world.sent.length, 1);
  assert.equal(world.givenUp[0].mayHaveRun, true);
});

test('an unsafe request that did not run goes to another gate', () => {
  const world = new fixtures.EntryWorld([NEAR, FAR]);
  world.request({repeatable: false});
  world.refuseLast(Reason.CLOSED);
  assert.equal(world.sent.length, 2);
  world.answerLast(200, 10);
  assert.equal(world.responses.length, 1);
});

test('an unsafe request on a lost link is reported as possibly run', () => {
  const world = new fixtures.EntryWorld([NEAR, FAR]);
  world.request({repeatable: false});
  const {nodeId, dispatch} = world.last;
  world.entry.onLinkFailed(nodeId, dispatch.call, true, 10);
  assert.equal(world.sent.length, 1);
  assert.equal(world.givenUp[0].mayHaveRun, true);
});

test("a server's error is returned if no other attempt succeeds", () => {
  const world = new fixtures.EntryWorld([NEAR, FAR]);
  world.request({attempts: 2});
  world.answerLast(500, 10);
  world.refuseLast(Reason.OVERLOADED, {}, 20);
  assert.deepEqual(
    world.responses.map(answer => answer.status),
    [500],
  );
  assert.equal(world.givenUp.length, 0);
});

test('a failed run is not retried if the time left is shorter than a run', () => {
  const world = new fixtures.EntryWorld([NEAR, FAR]);
  world.request();
  world.answerLast(200, 400);
  world.request({timeoutMs: 500}, 1_000);
  world.answerLast(500, 1_300);
  assert.equal(world.sent.length, 2);
  assert.equal(world.responses.at(-1)?.status, 500);
});

test('retries stay within the budget of the fleet', () => {
  const gates = Array.from({length: 10}, (unused, i) => fixtures.gate(`g${i}`));
  const world = new fixtures.EntryWorld(gates, {ratio: 0.2, slack: 50});
  const requests = 200;
  for (let i = 0; i < requests; i++) {
    world.request();
    world.refuseLast(Reason.BROKEN, {mayHaveRun: true});
    if (world.givenUp.length < i + 1) {
      world.refuseLast(Reason.BROKEN, {mayHaveRun: true});
    }
  }
  const repeats = world.sent.length - requests;
  assert.ok(repeats <= 0.2 * requests + 50 / gates.length);
  assert.ok(repeats > 0);
});

test('a shed request is retried within the budget, regardless of its attempt limit', () => {
  const gates = Array.from({length: 4}, (unused, i) => fixtures.gate(`g${i}`));
  const world = new fixtures.EntryWorld(gates);
  world.request({attempts: 1, repeatable: false});
  world.refuseLast(Reason.SHED);
  world.refuseLast(Reason.SHED);
  assert.equal(new Set(world.sent.map(s => s.nodeId)).size, 3);
  world.answerLast(200, 10);
  assert.equal(world.responses.length, 1);
});

test('retries stay within the budget if all servers of a service shed', () => {
  const gates = Array.from({length: 10}, (unused, i) => fixtures.gate(`g${i}`));
  const world = new fixtures.EntryWorld(gates, {ratio: 0.2, slack: 50});
  const requests = 200;
  for (let i = 0; i < requests; i++) {
    world.request();
    while (world.givenUp.length <= i) world.refuseLast(Reason.SHED);
  }
  const repeats = world.sent.length - requests;
  assert.ok(repeats <= 0.2 * requests + 50 / gates.length);
  assert.ok(repeats > 0);
  assert.ok(world.givenUp.every(g => g.reason === 'shed' && !g.mayHaveRun));
});

test('the attempt of a caller that disconnects is withdrawn', () => {
  const world = new fixtures.EntryWorld([NEAR]);
  const id = world.request();
  world.entry.onCallerGone(id, 10);
  assert.deepEqual(world.withdrawn, [world.last.dispatch.call]);
  assert.equal(world.entry.inProgress, 0);
});

test("the route's timeout ends a request that is running", () => {
  const world = new fixtures.EntryWorld([NEAR]);
  world.request({timeoutMs: 800});
  assert.equal(world.entry.nextWakeMs() <= 800, true);
  world.entry.tick(800);
  assert.equal(world.givenUp.length, 1);
  assert.deepEqual(
    [world.givenUp[0].reason, world.givenUp[0].mayHaveRun],
    ['timeout', true],
  );
  assert.equal(world.withdrawn.length, 1);
});

test('an unanswered run is hedged, and the first answer is returned', () => {
  const world = new fixtures.EntryWorld([NEAR, FAR, fixtures.gate('other')]);
  world.request({attempts: 3});
  world.entry.tick(590);
  assert.equal(world.sent.length, 2);
  world.answerLast(200, 700);
  assert.equal(world.responses.length, 1);
  assert.equal(world.withdrawn.length, 1);
});

test('a request at a gate that may be unreachable is hedged at once', () => {
  const world = new fixtures.EntryWorld([NEAR, FAR, fixtures.gate('other')]);
  world.request();
  world.request({repeatable: false});
  const [first] = world.sent;
  world.entry.onMaybeUnreachable(first.nodeId, 180);
  assert.equal(world.sent.length, 3);
  assert.notEqual(world.last.nodeId, first.nodeId);
  assert.equal(world.last.dispatch.requestId, 'r1');
});

test('a gate that may be unreachable is chosen last', () => {
  const doubtful = fixtures.gate('doubtful', {doubtful: true});
  const world = new fixtures.EntryWorld([doubtful, FAR]);
  world.request();
  assert.equal(world.last.nodeId, 'far');
  assert.equal(world.last.dispatch.redirectable, false);
});

test('a node accumulates the retries of three seconds, not more', () => {
  const gates = Array.from({length: 50}, (unused, i) => fixtures.gate(`g${i}`));
  const world = new fixtures.EntryWorld(gates, {ratio: 0.2, slack: 50});
  for (let i = 0; i < 200; i++) {
    world.request({}, i * 100);
    world.answerLast(200, i * 100);
  }
  let repeats = 0;
  for (let i = 0; i < 20; i++) {
    const before = world.sent.length;
    world.request({}, 20_000);
    world.refuseLast(Reason.BROKEN, {mayHaveRun: true}, 20_000);
    repeats += world.sent.length - before - 1;
    if (world.sent.length > before + 1) world.answerLast(200, 20_000);
  }
  assert.ok(repeats >= 3 && repeats <= 0.2 * 50 + 1, `${repeats}`);
});

test('an answer to an attempt that has ended is ignored', () => {
  const world = new fixtures.EntryWorld([NEAR]);
  world.request();
  world.answerLast(200, 10);
  world.answerLast(200, 20);
  assert.equal(world.responses.length, 1);
});

test('a refused hedge does not end the first attempt', () => {
  const world = new fixtures.EntryWorld([NEAR, FAR, fixtures.gate('other')]);
  world.request({attempts: 3});
  const [first] = world.sent;
  world.entry.tick(590);
  assert.equal(world.sent.length, 2);
  world.refuseLast(Reason.OVERLOADED, {}, 600);
  assert.deepEqual([world.givenUp, world.withdrawn], [[], []]);
  const {call} = first.dispatch;
  const answer = serving.Answer.fromPartial({call, status: 200});
  world.entry.onAnswer(first.nodeId, answer, 700);
  assert.equal(world.responses.length, 1);
});
