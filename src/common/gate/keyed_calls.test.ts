import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as uuid from 'uuid';

import * as peer from '../../generated/peer.js';
import * as fixtures from './gate_fixtures.test.js';

const WINDOW_MS = 600_000;
const FENCE_MS = 4_000;
const TAKEOVER_MS = 3_000;

/** Returns a key minted `ms` after the start of the test. */
function keyAt(ms: number): string {
  return uuid.v7({msecs: fixtures.at(ms).epochMs});
}

function keyed(
  callId: string,
  key: string,
  changes: Partial<peer.CallRequest> = {},
) {
  return fixtures.order(callId, {
    idempotencyKey: key,
    fingerprint: 'fp',
    ...changes,
  });
}

nodeTest.test('calls with one key run once; each gets the answer', () => {
  const {send} = fixtures.gateFixture();
  const key = keyAt(0);
  assert.deepEqual(fixtures.started(send(keyed('a', key), 0)), ['a']);
  assert.deepEqual(send(keyed('b', key), 1), []);
  const replies = fixtures.only(send(fixtures.answered('a'), 5), 'answer');
  assert.deepEqual(
    replies.map(({answer}) => [answer.callId, answer.replayed]),
    [
      ['b', true],
      ['a', false],
    ],
  );
  const [late] = fixtures.only(send(keyed('c', key), 9), 'answer');
  assert.equal(late.answer.replayed, true);
  assert.equal(late.answer.body.toString(), 'answer to a');
});

nodeTest.test('a key used with another request is refused', () => {
  const {send} = fixtures.gateFixture();
  const key = keyAt(0);
  send(keyed('a', key), 0);
  const other = keyed('b', key, {fingerprint: 'other'});
  assert.deepEqual(fixtures.refusals(send(other, 1)), ['b KEY_REUSED NOT_RUN']);
});

nodeTest.test('a gate that is not the home names the home', () => {
  const {send, view} = fixtures.gateFixture();
  view.home = {nodeId: 'gate-2', sinceMs: 0, takeoverAtMs: 0};
  const actions = send(keyed('a', keyAt(0)), 0);
  assert.deepEqual(fixtures.refusals(actions), ['a WRONG_HOME NOT_RUN']);
  const [{refusal}] = fixtures.only(actions, 'refuse');
  assert.equal(refusal.homeNodeId, 'gate-2');
});

nodeTest.test('a roster that may be out of date runs no key', () => {
  const {send, view} = fixtures.gateFixture();
  const ahead = keyed('a', keyAt(0), {rosterOffset: 11});
  assert.deepEqual(fixtures.refusals(send(ahead, 0)), [
    'a STALE_ROSTER NOT_RUN',
  ]);
  view.confirmedAgeMs = 2_001;
  assert.deepEqual(fixtures.refusals(send(keyed('b', keyAt(0)), 0)), [
    'b STALE_ROSTER NOT_RUN',
  ]);
  view.confirmedAgeMs = 0;
  view.home = undefined;
  assert.deepEqual(fixtures.refusals(send(keyed('c', keyAt(0)), 0)), [
    'c STALE_ROSTER NOT_RUN',
  ]);
});

nodeTest.test(
  'a call that waited is judged again when it is dispatched',
  () => {
    const {send, view} = fixtures.gateFixture({slots: 1});
    send(fixtures.call('first'), 0);
    send(keyed('a', keyAt(0)), 0);
    view.confirmedAgeMs = 2_001;
    const actions = send(fixtures.answered('first'), 400);
    assert.deepEqual(fixtures.refusals(actions), ['a STALE_ROSTER NOT_RUN']);
    view.confirmedAgeMs = 0;
    assert.deepEqual(fixtures.started(send(keyed('b', keyAt(0)), 401)), ['b']);
  },
);

nodeTest.test(
  'a new home waits for former leases and runs no key of theirs',
  () => {
    const {send, view} = fixtures.gateFixture();
    const sinceMs = fixtures.at(0).epochMs;
    view.home = {nodeId: 'gate-1', sinceMs, takeoverAtMs: TAKEOVER_MS};
    const key = keyAt(FENCE_MS - 1);
    const early = keyed('a', key);
    assert.deepEqual(fixtures.refusals(send(early, TAKEOVER_MS - 1)), [
      'a STALE_ROSTER NOT_RUN',
    ]);
    assert.deepEqual(fixtures.refusals(send(keyed('a2', key), TAKEOVER_MS)), [
      'a2 KEY_UNACCOUNTED UNKNOWN',
    ]);
    const fresh = keyed('b', keyAt(FENCE_MS));
    assert.deepEqual(fixtures.started(send(fresh, FENCE_MS)), ['b']);
  },
);

nodeTest.test('a key older than the memory reaches back is not run', () => {
  const {send} = fixtures.gateFixture();
  const key = keyAt(0);
  send(keyed('a', key), 0);
  send(fixtures.answered('a'), 5);
  const atEnd = send(keyed('b', key), WINDOW_MS);
  assert.equal(fixtures.only(atEnd, 'answer').length, 1);
  for (const ms of [WINDOW_MS + 1_500, WINDOW_MS + 2_500, 2 * WINDOW_MS]) {
    const actions = send(keyed(`c${ms}`, key), ms);
    assert.deepEqual(fixtures.started(actions), []);
  }
});

nodeTest.test('a key minted in the future is malformed', () => {
  const {send} = fixtures.gateFixture();
  assert.deepEqual(fixtures.refusals(send(keyed('a', keyAt(1_001)), 0)), [
    'a BAD_REQUEST NOT_RUN',
  ]);
});

nodeTest.test(
  'a key without a time runs when the home is older than the window',
  () => {
    const {send, view} = fixtures.gateFixture();
    assert.deepEqual(fixtures.started(send(keyed('a', 'order-17'), 0)), ['a']);
    send(fixtures.answered('a'), 1);
    const sinceMs = fixtures.at(0).epochMs;
    view.home = {nodeId: 'gate-1', sinceMs, takeoverAtMs: 0};
    assert.deepEqual(fixtures.refusals(send(keyed('b', 'order-18'), 9_000)), [
      'b KEY_UNACCOUNTED UNKNOWN',
    ]);
  },
);

nodeTest.test('a full memory refuses new keys and keeps the old', () => {
  const {send} = fixtures.gateFixture({keys: 1, slots: 3});
  const key = keyAt(0);
  send(keyed('a', key), 0);
  assert.deepEqual(fixtures.refusals(send(keyed('b', keyAt(0)), 0)), [
    'b KEY_MEMORY_FULL NOT_RUN',
  ]);
  send(fixtures.answered('a'), 1);
  const again = send(keyed('c', key), 2);
  assert.equal(fixtures.only(again, 'answer').length, 1);
});

nodeTest.test('a key whose request did not run may run later', () => {
  const {send} = fixtures.gateFixture();
  const key = keyAt(0);
  send(keyed('a', key), 0);
  send(fixtures.failed('a', {kind: 'shed', retryAfterMs: 10}), 1);
  assert.deepEqual(fixtures.started(send(keyed('b', key), 20)), ['b']);
});

nodeTest.test('a key whose request may have run never runs again', () => {
  const {send} = fixtures.gateFixture();
  const key = keyAt(0);
  send(keyed('a', key), 0);
  send({kind: 'server-lost'}, 1);
  send({kind: 'server-state', state: 'ready', slots: 0}, 2);
  assert.deepEqual(fixtures.refusals(send(keyed('b', key), 3)), [
    'b KEY_UNACCOUNTED UNKNOWN',
  ]);
});

nodeTest.test(
  'a cancelled call with a key runs on, and its answer is kept',
  () => {
    const {send} = fixtures.gateFixture();
    const key = keyAt(0);
    send(keyed('a', key), 0);
    const cancelled = send({kind: 'cancel', callId: 'a'}, 1);
    assert.deepEqual(fixtures.refusals(cancelled), ['a CANCELLED UNKNOWN']);
    assert.equal(fixtures.only(cancelled, 'abort').length, 0);
    send(fixtures.answered('a'), 5);
    const again = send(keyed('b', key), 6);
    assert.equal(fixtures.only(again, 'answer').length, 1);
  },
);

nodeTest.test(
  'a full home delegates; a lost delegation is never run again',
  () => {
    const {send, view} = fixtures.gateFixture({slots: 1});
    view.configuration = fixtures.configuration({defaults: {queueLength: 0}});
    send(fixtures.call('first'), 0);
    const load = peer.LoadReport.create({limit: 4});
    send({kind: 'sibling-load', nodeId: 'gate-2', load}, 0);
    const key = keyAt(0);
    const [given] = fixtures.only(send(keyed('a', key), 1), 'delegate');
    assert.equal(given.nodeId, 'gate-2');
    assert.equal(given.call.delegated, true);
    assert.deepEqual(
      fixtures.refusals(send({kind: 'delegate-lost', callId: 'a'}, 2)),
      ['a LINK_FAILED UNKNOWN'],
    );
    assert.deepEqual(fixtures.refusals(send(keyed('b', key), 3)), [
      'b KEY_UNACCOUNTED UNKNOWN',
    ]);
  },
);

nodeTest.test(
  'a home whose server is out delegates and keeps the memory',
  () => {
    const {send, view} = fixtures.gateFixture();
    view.configuration = fixtures.configuration({
      exceptions: [fixtures.serverOut('gate-1')],
    });
    const key = keyAt(0);
    const [given] = fixtures.only(send(keyed('a', key), 1), 'delegate');
    assert.equal(given.call.delegated, true);
    assert.notEqual(given.nodeId, 'gate-1');
    const answer = peer.CallAnswer.create({
      callId: 'a',
      status: 200,
      body: Buffer.from('done'),
    });
    const ended = send({kind: 'delegate-answered', answer}, 2);
    assert.equal(fixtures.only(ended, 'answer').length, 1);
    const [replay] = fixtures.only(send(keyed('b', key), 3), 'answer');
    assert.equal(replay.answer.replayed, true);
    assert.deepEqual(fixtures.refusals(send(fixtures.call('c'), 4)), [
      'c SERVER_OUT NOT_RUN',
    ]);
  },
);

nodeTest.test(
  'a stop hands keys to their next home before it is drained',
  () => {
    const old = fixtures.gateFixture();
    const key = keyAt(0);
    old.send(keyed('a', key), 0);
    assert.equal(
      fixtures.only(old.send({kind: 'stop'}, 1), 'drained').length,
      0,
    );
    const answered = old.send(fixtures.answered('a'), 5);
    assert.equal(fixtures.only(answered, 'drained').length, 0);
    const next = {
      nodeId: 'gate-2',
      sinceMs: fixtures.at(6).epochMs,
      takeoverAtMs: 3_006,
    };
    old.view.home = next;
    const moved = old.send({kind: 'tick'}, 6);
    assert.deepEqual(
      moved.map(action => action.kind),
      ['hand-over', 'drained'],
    );
    const heir = fixtures.gateFixture({nodeId: 'gate-2'});
    heir.view.home = next;
    const [{handover}] = fixtures.only(moved, 'hand-over');
    heir.send({kind: 'keys-received', handover}, 7);
    const [reply] = fixtures.only(heir.send(keyed('b', key), 8), 'answer');
    assert.equal(reply.answer.body.toString(), 'answer to a');
    assert.equal(reply.answer.replayed, true);
  },
);

nodeTest.test('a stop without another home waits for a bounded time', () => {
  const {send, counters} = fixtures.gateFixture();
  send(keyed('a', keyAt(0)), 0);
  send(fixtures.answered('a'), 1);
  assert.equal(fixtures.only(send({kind: 'stop'}, 2), 'drained').length, 0);
  const last = send({kind: 'tick'}, 5_002);
  assert.equal(fixtures.only(last, 'drained').length, 1);
  assert.equal(counters.get('gate.key-lost'), 1);
});
