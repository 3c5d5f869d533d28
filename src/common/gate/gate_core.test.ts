import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as fixtures from './gate_fixtures.test.js';

nodeTest.test('a call runs and its answer goes to its source', () => {
  const {send} = fixtures.gateFixture();
  assert.deepEqual(fixtures.startedCallIds(send(fixtures.call('a'), 0)), ['a']);
  const [reply] = fixtures.actionsOfKind(
    send(fixtures.answered('a'), 5),
    'answer',
  );
  assert.equal(reply.answer.body.toString(), 'answer to a');
  assert.deepEqual(reply.source, fixtures.SOURCE);
});

nodeTest.test('calls beyond the slots wait and run when a slot is free', () => {
  const {send} = fixtures.gateFixture({slots: 1});
  send(fixtures.call('a'), 0);
  assert.deepEqual(fixtures.startedCallIds(send(fixtures.call('b'), 1)), []);
  const actions = send(fixtures.answered('a'), 5);
  assert.deepEqual(fixtures.startedCallIds(actions), ['b']);
});

nodeTest.test(
  'a duplicate call runs once, and both senders get the answer',
  () => {
    const {send} = fixtures.gateFixture();
    send(fixtures.order('a'), 0);
    assert.deepEqual(fixtures.startedCallIds(send(fixtures.order('a'), 1)), []);
    assert.equal(
      fixtures.actionsOfKind(send(fixtures.answered('a'), 5), 'answer').length,
      1,
    );
    const late = send(fixtures.order('a'), 6);
    assert.deepEqual(fixtures.startedCallIds(late), []);
    assert.equal(fixtures.actionsOfKind(late, 'answer').length, 1);
  },
);

nodeTest.test('a resend to another incarnation has an unknown outcome', () => {
  const {send} = fixtures.gateFixture();
  const other = fixtures.order('a', {resend: true, gateIncarnation: 6});
  const actions = send(other, 0);
  assert.deepEqual(fixtures.refusals(actions), ['a LINK_FAILED UNKNOWN']);
  assert.deepEqual(fixtures.startedCallIds(actions), []);
  const own = fixtures.order('b', {resend: true, gateIncarnation: 7});
  assert.deepEqual(fixtures.startedCallIds(send(own, 0)), ['b']);
});

nodeTest.test('a cancel before the run removes the call', () => {
  const {send} = fixtures.gateFixture({slots: 1});
  send(fixtures.call('a'), 0);
  send(fixtures.call('b'), 0);
  const actions = send({kind: 'cancel', callId: 'b'}, 1);
  assert.deepEqual(fixtures.refusals(actions), ['b CANCELLED NOT_RUN']);
  assert.deepEqual(
    fixtures.startedCallIds(send(fixtures.answered('a'), 2)),
    [],
  );
});

nodeTest.test('a cancel during the run aborts it', () => {
  const {send} = fixtures.gateFixture();
  send(fixtures.order('a'), 0);
  const actions = send({kind: 'cancel', callId: 'a'}, 1);
  assert.equal(fixtures.actionsOfKind(actions, 'abort').length, 1);
  assert.deepEqual(fixtures.refusals(actions), ['a CANCELLED UNKNOWN']);
});

nodeTest.test('a request that arrives after its cancel does not run', () => {
  const {send} = fixtures.gateFixture();
  send({kind: 'cancel', callId: 'a'}, 0);
  const actions = send(fixtures.order('a'), 1);
  assert.deepEqual(fixtures.refusals(actions), ['a CANCELLED NOT_RUN']);
  assert.deepEqual(fixtures.startedCallIds(actions), []);
});

nodeTest.test(
  'an answer for a lost source is dropped, the run completes',
  () => {
    const {send} = fixtures.gateFixture({slots: 1});
    send(fixtures.order('a'), 0);
    const lost = send({kind: 'source-lost', linkId: 1}, 1);
    assert.equal(fixtures.actionsOfKind(lost, 'abort').length, 0);
    assert.deepEqual(fixtures.callActions(send(fixtures.answered('a'), 2)), []);
    assert.deepEqual(fixtures.startedCallIds(send(fixtures.call('b'), 3)), [
      'b',
    ]);
  },
);

nodeTest.test('a stop lets running calls finish, then reports drained', () => {
  const {send} = fixtures.gateFixture({slots: 1});
  send(fixtures.order('a'), 0);
  send(fixtures.call('b'), 0);
  const stopped = send({kind: 'stop'}, 1);
  assert.deepEqual(fixtures.refusals(stopped), ['b LEAVING NOT_RUN']);
  assert.equal(fixtures.actionsOfKind(stopped, 'drained').length, 0);
  assert.deepEqual(fixtures.refusals(send(fixtures.call('c'), 2)), [
    'c LEAVING NOT_RUN',
  ]);
  const last = send(fixtures.answered('a'), 3);
  assert.equal(fixtures.actionsOfKind(last, 'answer').length, 1);
  assert.equal(fixtures.actionsOfKind(last, 'drained').length, 1);
});

nodeTest.test('a data centre that is out refuses queued and new calls', () => {
  const {send, view} = fixtures.gateFixture({slots: 1});
  send(fixtures.call('a'), 0);
  send(fixtures.call('b'), 0);
  view.configuration = fixtures.configuration({
    exceptions: [fixtures.dataCentreOut('dc-1')],
  });
  assert.deepEqual(fixtures.refusals(send(fixtures.call('c'), 1)), [
    'c DATA_CENTRE_OUT NOT_RUN',
    'b DATA_CENTRE_OUT NOT_RUN',
  ]);
  assert.equal(
    fixtures.actionsOfKind(send(fixtures.answered('a'), 2), 'answer').length,
    1,
  );
});

nodeTest.test(
  'a run past its deadline is aborted with an unknown outcome',
  () => {
    const {gate, send} = fixtures.gateFixture({slots: 1});
    send(fixtures.order('a', {deadlineMs: 100}), 0);
    send(fixtures.order('b', {deadlineMs: 90}), 0);
    assert.equal(gate.nextWakeMs(), 90);
    assert.deepEqual(fixtures.refusals(send({kind: 'tick'}, 90)), [
      'b DEADLINE NOT_RUN',
    ]);
    const actions = send({kind: 'tick'}, 100);
    assert.equal(fixtures.actionsOfKind(actions, 'abort').length, 1);
    assert.deepEqual(fixtures.refusals(actions), ['a DEADLINE UNKNOWN']);
  },
);

nodeTest.test(
  'a shed call is reported as not run, a broken one as unknown',
  () => {
    const {gate, send} = fixtures.gateFixture();
    send(fixtures.order('a'), 0);
    send(fixtures.order('b'), 0);
    const shed = send(
      fixtures.failed('a', {kind: 'shed', retryAfterMs: 70}),
      1,
    );
    assert.deepEqual(fixtures.refusals(shed), ['a SERVER_SHED NOT_RUN']);
    send(fixtures.failed('b', {kind: 'broken'}), 1);
    const broken = send({kind: 'tick'}, gate.nextWakeMs() ?? 0);
    assert.deepEqual(fixtures.refusals(broken), ['b SERVER_FAILED UNKNOWN']);
    assert.equal(
      fixtures.actionsOfKind(broken, 'refuse')[0].refusal.serverDied,
      false,
    );
  },
);

const SLOW_START = {coldStartMs: 5_000};

nodeTest.test('a data centre that returns goes through slow start', () => {
  const {gate, send, view} = fixtures.gateFixture({slots: 4});
  view.configuration = fixtures.configuration({
    exceptions: [fixtures.dataCentreOut('dc-1')],
  });
  send({kind: 'tick'}, 1);
  view.configuration = fixtures.configuration({defaults: SLOW_START});
  send(fixtures.call('a'), 2);
  assert.equal(gate.loadReport().limit, 1);
  assert.equal(gate.loadReport().cold, true);
});

nodeTest.test('slow start begins when the server is ready, not before', () => {
  const {gate, send, view} = fixtures.gateFixture({slots: 4, state: 'absent'});
  view.configuration = fixtures.configuration({defaults: SLOW_START});
  send({kind: 'server-state', state: 'starting', slots: 0}, 0);
  for (let i = 0; i < 50; i++) {
    send(fixtures.call(`c${i}`), i * 200);
    send(fixtures.answered(`c${i}`), i * 200 + 5);
  }
  assert.equal(gate.loadReport().limit, 1);
  send({kind: 'server-state', state: 'ready', slots: 0}, 10_000);
  for (let i = 0; i < 50; i++) {
    send(fixtures.call(`d${i}`), 10_000 + i * 200);
    send(fixtures.answered(`d${i}`), 10_000 + i * 200 + 5);
  }
  assert.equal(gate.loadReport().limit, 4);
  assert.equal(gate.loadReport().cold, false);
});

nodeTest.test('a call refused on arrival does not run when sent again', () => {
  const {send, view} = fixtures.gateFixture();
  view.stale = true;
  assert.deepEqual(fixtures.refusals(send(fixtures.order('a'), 0)), [
    'a NOT_READY NOT_RUN',
  ]);
  view.stale = false;
  const again = send(fixtures.order('a'), 50);
  assert.deepEqual(fixtures.startedCallIds(again), []);
  assert.deepEqual(fixtures.refusals(again), ['a NOT_READY NOT_RUN']);
});
