import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as peer from '../../generated/peer.js';
import * as contract from './entry_contract.js';
import * as fixtures from './entry_fixtures.test.js';

const {RefusalReason, Outcome} = peer;

function keyed(requestId: string): contract.CallerRequest {
  const requestClass = fixtures.requestClass({idempotent: false});
  return fixtures.request(requestId, {requestClass, idempotencyKey: 'k'});
}

function entryWithHome(home: string): fixtures.Entry {
  const fleet = new fixtures.FakeFleet(['a', 'b', 'c']);
  fleet.home = home;
  return new fixtures.Entry(fleet);
}

nodeTest.test('a keyed request goes to the home of its key', () => {
  for (let i = 0; i < 20; i++) {
    assert.equal(entryWithHome('b').send(keyed(`r${i}`)).nodeId, 'b');
  }
});

nodeTest.test(
  'the word of a gate about the home is followed a few times',
  () => {
    const entry = entryWithHome('a');
    let d = entry.send(keyed('r'));
    const reason = RefusalReason.WRONG_HOME;
    for (const homeNodeId of ['b', 'c', 'b']) {
      d = fixtures.dispatched(entry.refuse(d, {reason, homeNodeId}));
      assert.equal(d.nodeId, homeNodeId);
    }
    assert.deepEqual(entry.refuse(d, {reason, homeNodeId: 'c'}), []);
  },
);

nodeTest.test('a home that cannot judge its roster is asked again', () => {
  const entry = entryWithHome('a');
  const first = entry.send(keyed('r'));
  const reason = RefusalReason.STALE_ROSTER;
  assert.deepEqual(entry.refuse(first, {reason}), []);
  entry.fleet.home = 'b';
  const next = fixtures.dispatched(entry.tickAt(entry.core.nextWakeMs() ?? 0));
  assert.equal(next.nodeId, 'b');
});

nodeTest.test(
  'without a living home the request waits, then ends not run',
  () => {
    const entry = entryWithHome('a');
    entry.fleet.put(fixtures.member('a'), {liveness: peer.LivenessState.DEAD});
    assert.deepEqual(entry.handle({kind: 'request', request: keyed('r')}), []);
    for (;;) {
      const actions = entry.tickAt(entry.core.nextWakeMs() ?? Infinity);
      if (actions.length === 0) continue;
      assert.equal(fixtures.refused(actions).outcome, Outcome.NOT_RUN);
      assert.ok(entry.nowMs <= 1_000);
      return;
    }
  },
);

nodeTest.test('a final word of the home passes through as it is', () => {
  const entry = entryWithHome('a');
  const d = entry.send(keyed('r'));
  const reason = RefusalReason.KEY_UNACCOUNTED;
  const outcome = Outcome.UNKNOWN;
  const end = fixtures.refused(entry.refuse(d, {reason, outcome}));
  assert.equal(end.reason, reason);
  assert.equal(end.outcome, outcome);
});

nodeTest.test('a home whose link broke stays unknown in the final word', () => {
  const entry = entryWithHome('a');
  const d = entry.send(keyed('r'));
  entry.linkFailed(d, true);
  const again = fixtures.dispatched(entry.tickAt(entry.core.nextWakeMs() ?? 0));
  assert.equal(again.nodeId, 'a');
  const reason = RefusalReason.KEY_MEMORY_FULL;
  const end = fixtures.refused(entry.refuse(again, {reason}));
  assert.equal(end.outcome, Outcome.UNKNOWN);
});
