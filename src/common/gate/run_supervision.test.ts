import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as fixtures from './gate_fixtures.test.js';

const PROGRESS_TIMEOUT_MS = 150;

nodeTest.test(
  'an idempotent call without a response runs again, the first answer wins',
  () => {
    const {gate, send} = fixtures.gateFixture();
    send(fixtures.call('a'), 0);
    assert.equal(gate.nextWakeMs(), PROGRESS_TIMEOUT_MS);
    const [second] = fixtures.actionsOfKind(
      send({kind: 'tick'}, PROGRESS_TIMEOUT_MS),
      'run',
    );
    assert.equal(second.run, 2);
    assert.equal(second.freshConnection, true);
    const last = send(fixtures.answered('a', 2), 160);
    assert.equal(fixtures.actionsOfKind(last, 'answer').length, 1);
    assert.equal(fixtures.actionsOfKind(last, 'abort')[0].run, 1);
    assert.deepEqual(
      fixtures.callActions(send(fixtures.answered('a', 1), 161)),
      [],
    );
  },
);

nodeTest.test(
  'without free slots, runs without a response are aborted for second runs',
  () => {
    const {send} = fixtures.gateFixture({slots: 2});
    send(fixtures.call('a'), 0);
    send(fixtures.call('b'), 0);
    const timedOut = send({kind: 'tick'}, PROGRESS_TIMEOUT_MS);
    assert.equal(fixtures.actionsOfKind(timedOut, 'abort').length, 2);
    assert.deepEqual(fixtures.startedCallIds(timedOut), []);
    const afterAbort = send({kind: 'tick'}, PROGRESS_TIMEOUT_MS + 50);
    assert.deepEqual(fixtures.startedCallIds(afterAbort), ['a', 'b']);
  },
);

nodeTest.test('second runs do not double the load of a slow server', () => {
  const {send, counters} = fixtures.gateFixture({slots: 1});
  for (let i = 0; i < 100; i++) {
    const startMs = i * 400;
    send(fixtures.call(`c${i}`, {deadlineMs: 2_000}), startMs);
    send({kind: 'tick'}, startMs + 399);
    send(fixtures.answered(`c${i}`, 1), startMs + 399);
    send(fixtures.answered(`c${i}`, 2), startMs + 399);
  }
  assert.ok(counters.get('gate.second-run') <= 30);
});

nodeTest.test('a call that is not idempotent gets no second run', () => {
  const {send} = fixtures.gateFixture();
  send(fixtures.order('a', {deadlineMs: 1_000}), 0);
  for (let ms = 0; ms < 1_000; ms += 50) {
    assert.deepEqual(fixtures.startedCallIds(send({kind: 'tick'}, ms)), []);
  }
  assert.deepEqual(fixtures.refusals(send({kind: 'tick'}, 1_000)), [
    'a DEADLINE UNKNOWN',
  ]);
});

nodeTest.test('a call of which no byte was sent is sent once more', () => {
  const {send} = fixtures.gateFixture();
  send(fixtures.order('a'), 0);
  const again = send(fixtures.failed('a', {kind: 'not-sent'}), 1);
  assert.deepEqual(fixtures.startedCallIds(again), ['a']);
  const last = send(fixtures.failed('a', {kind: 'not-sent'}, 2), 2);
  assert.deepEqual(fixtures.refusals(last), ['a SERVER_FAILED NOT_RUN']);
});

nodeTest.test(
  'calls running when the server dies have an unknown outcome',
  () => {
    const {gate, send} = fixtures.gateFixture({slots: 1});
    send(fixtures.order('a'), 0);
    send(fixtures.order('b'), 0);
    const actions = send({kind: 'server-lost'}, 1);
    assert.deepEqual(fixtures.refusals(actions), [
      'a SERVER_FAILED UNKNOWN',
      'b SERVER_ABSENT NOT_RUN',
    ]);
    const [first] = fixtures.actionsOfKind(actions, 'refuse');
    assert.equal(first.refusal.serverDied, true);
    assert.equal(gate.loadReport().inFlight, 0);
  },
);

nodeTest.test(
  'a call whose deadline cannot be met is refused immediately',
  () => {
    const {send} = fixtures.gateFixture({slots: 1});
    send(fixtures.call('a', {deadlineMs: 5_000}), 0);
    send(fixtures.answered('a'), 100);
    send(fixtures.call('b', {deadlineMs: 5_000}), 100);
    const actions = send(fixtures.call('c', {deadlineMs: 150}), 100);
    assert.deepEqual(fixtures.refusals(actions), ['c DEADLINE NOT_RUN']);
    const [refused] = fixtures.actionsOfKind(actions, 'refuse');
    assert.ok(refused.refusal.retryAfterMs > 0);
  },
);

nodeTest.test('a full queue refuses the call of lowest priority', () => {
  const {send, view} = fixtures.gateFixture({slots: 1});
  view.configuration = fixtures.configuration({defaults: {queueLength: 1}});
  send(fixtures.call('a'), 0);
  send(fixtures.call('h', {className: 'history'}), 0);
  assert.deepEqual(fixtures.refusals(send(fixtures.call('b'), 0)), [
    'h NO_ROOM NOT_RUN',
  ]);
  assert.deepEqual(fixtures.refusals(send(fixtures.call('c'), 0)), [
    'c NO_ROOM NOT_RUN',
  ]);
});

nodeTest.test(
  'a call that is not idempotent is refused when the table of calls is full',
  () => {
    const {send} = fixtures.gateFixture({slots: 1, calls: 2});
    for (let i = 0; i < 16; i++) {
      send(fixtures.order(`o${i}`), i);
      send(fixtures.answered(`o${i}`), i);
    }
    assert.deepEqual(fixtures.refusals(send(fixtures.order('x'), 16)), [
      'x NO_ROOM NOT_RUN',
    ]);
    assert.deepEqual(fixtures.startedCallIds(send(fixtures.call('y'), 16)), [
      'y',
    ]);
    assert.deepEqual(
      fixtures.startedCallIds(send(fixtures.order('o0'), 17)),
      [],
    );
  },
);
