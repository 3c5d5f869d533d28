import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as fixtures from './gate_fixtures.test.js';

nodeTest.test('a gate with a stale view refuses new and queued calls', () => {
  const {send, view} = fixtures.gateFixture({slots: 1});
  send(fixtures.call('a'), 0);
  send(fixtures.call('b'), 0);
  view.stale = true;
  assert.deepEqual(fixtures.refusals(send(fixtures.call('c'), 1)), [
    'c NOT_READY NOT_RUN',
    'b NOT_READY NOT_RUN',
  ]);
  view.stale = false;
  send(fixtures.answered('a'), 2);
  assert.deepEqual(fixtures.startedCallIds(send(fixtures.call('d'), 3)), ['d']);
});

nodeTest.test('an unconfirmed view is accepted after the maximum wait', () => {
  const {gate, send, view, counters} = fixtures.gateFixture();
  view.stale = true;
  send({kind: 'tick'}, 100);
  for (let ms = 600; ms < 5_100; ms += 500) {
    assert.ok((gate.nextWakeMs() ?? Infinity) <= ms);
    assert.deepEqual(
      fixtures.startedCallIds(send(fixtures.call(`${ms}`), ms)),
      [],
    );
  }
  assert.deepEqual(fixtures.startedCallIds(send(fixtures.call('a'), 5_100)), [
    'a',
  ]);
  assert.equal(counters.get('gate.stale-accepted'), 1);
});

nodeTest.test(
  'after a pause, calls are refused until the view is confirmed again',
  () => {
    const {send, view} = fixtures.gateFixture();
    send({kind: 'tick'}, 100);
    view.confirmedAgeMs = 3_000;
    assert.deepEqual(fixtures.refusals(send(fixtures.order('a'), 3_000)), [
      'a NOT_READY NOT_RUN',
    ]);
    view.confirmedAgeMs = 50;
    assert.deepEqual(fixtures.refusals(send(fixtures.order('b'), 3_040)), [
      'b NOT_READY NOT_RUN',
    ]);
    assert.deepEqual(
      fixtures.startedCallIds(send(fixtures.order('c'), 3_050)),
      ['c'],
    );
  },
);

nodeTest.test(
  'a run that ended during a pause is answered, queued calls are refused',
  () => {
    const {send, view} = fixtures.gateFixture({slots: 1});
    send(fixtures.order('a', {deadlineMs: 9_000}), 0);
    send(fixtures.order('b', {deadlineMs: 9_000}), 0);
    view.confirmedAgeMs = 5_000;
    const resumed = send(fixtures.answered('a'), 4_000);
    assert.equal(fixtures.actionsOfKind(resumed, 'answer').length, 1);
    assert.deepEqual(fixtures.refusals(resumed), ['b NOT_READY NOT_RUN']);
  },
);

nodeTest.test('a server that is leaving or out gets no new calls', () => {
  const {send, view} = fixtures.gateFixture();
  send({kind: 'server-state', state: 'leaving', slots: 0}, 0);
  assert.deepEqual(fixtures.refusals(send(fixtures.call('a'), 1)), [
    'a LEAVING NOT_RUN',
  ]);
  send({kind: 'server-state', state: 'ready', slots: 0}, 2);
  view.configuration = fixtures.configuration({
    exceptions: [
      {
        id: 'out',
        kind: 'server-out',
        server: 'gate-1',
        reason: 'disk',
        author: 'ana',
        timeMs: 1,
      },
    ],
  });
  assert.deepEqual(fixtures.refusals(send(fixtures.call('b'), 3)), [
    'b SERVER_OUT NOT_RUN',
  ]);
  view.configuration = undefined;
  assert.deepEqual(fixtures.refusals(send(fixtures.call('c'), 4)), [
    'c NOT_READY NOT_RUN',
  ]);
});

nodeTest.test(
  'a class known only to a newer configuration is refused as not ready',
  () => {
    const {send} = fixtures.gateFixture();
    const ahead = fixtures.call('a', {
      className: 'new',
      configurationRevision: 2,
    });
    assert.deepEqual(fixtures.refusals(send(ahead, 0)), [
      'a NOT_READY NOT_RUN',
    ]);
    const unknown = fixtures.call('b', {className: 'new'});
    assert.deepEqual(fixtures.refusals(send(unknown, 0)), [
      'b NO_ROUTE NOT_RUN',
    ]);
  },
);
