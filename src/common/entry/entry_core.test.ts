import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as peer from '../../generated/peer.js';
import * as fixtures from './entry_fixtures.test.js';

const {NO_ROOM, DEADLINE, NO_SERVER} = peer.RefusalReason;
const {NOT_RUN, UNKNOWN} = peer.Outcome;

function kinds(actions: readonly {readonly kind: string}[]): readonly string[] {
  return actions.map(a => a.kind);
}

nodeTest.test('an answer of the attempt goes to its caller once', () => {
  const entry = new fixtures.Entry(new fixtures.FakeFleet(['a']));
  const d = entry.send(fixtures.request('r'));
  assert.equal(d.call.callId, 'r.1');
  assert.deepEqual(kinds(entry.answer(d)), ['respond']);
  assert.deepEqual(entry.answer(d), []);
});

nodeTest.test('an answer from a node that was not asked is dropped', () => {
  const entry = new fixtures.Entry(new fixtures.FakeFleet(['a', 'b']));
  const d = entry.send(fixtures.request('r'));
  const other = {...d, nodeId: d.nodeId === 'a' ? 'b' : 'a'};
  assert.deepEqual(entry.answer(other), []);
  assert.deepEqual(kinds(entry.answer(d)), ['respond']);
});

nodeTest.test('a refusal that did not run is tried at another member', () => {
  const entry = new fixtures.Entry(new fixtures.FakeFleet(['a', 'b']));
  const first = entry.send(fixtures.request('r'));
  const second = fixtures.dispatched(entry.refuse(first));
  assert.notEqual(second.nodeId, first.nodeId);
  assert.equal(entry.counters.get('retry.no-room'), 1);
  const end = fixtures.refused(entry.refuse(second));
  assert.equal(end.reason, NO_ROOM);
  assert.equal(end.outcome, NOT_RUN);
});

nodeTest.test('the deadline ends a request at once as unknown', () => {
  const entry = new fixtures.Entry(new fixtures.FakeFleet(['a']));
  entry.send(fixtures.request('r'));
  assert.equal(entry.core.nextWakeMs(), 1_000);
  const actions = entry.tickAt(1_000);
  assert.deepEqual(kinds(actions), ['refuse', 'cancel']);
  assert.equal(fixtures.refused(actions).reason, DEADLINE);
  assert.equal(fixtures.refused(actions).outcome, UNKNOWN);
});

nodeTest.test('a caller that left has its attempts cancelled', () => {
  const entry = new fixtures.Entry(new fixtures.FakeFleet(['a']));
  const d = entry.send(fixtures.request('r'));
  const gone = entry.handle({kind: 'caller-gone', requestId: 'r'});
  assert.deepEqual(kinds(gone), ['cancel']);
  assert.deepEqual(entry.answer(d), []);
  assert.equal(entry.core.nextWakeMs(), undefined);
});

nodeTest.test('without a member the request is refused as not run', () => {
  const entry = new fixtures.Entry(new fixtures.FakeFleet([]));
  const req = fixtures.request('r');
  const end = fixtures.refused(entry.handle({kind: 'request', request: req}));
  assert.equal(end.reason, NO_SERVER);
  assert.equal(end.outcome, NOT_RUN);
});

nodeTest.test('calls beyond the bound are refused at once', () => {
  const fleet = new fixtures.FakeFleet(['a']);
  const entry = new fixtures.Entry(fleet, {maxCalls: 1});
  entry.send(fixtures.request('r'));
  const req = fixtures.request('s');
  const end = fixtures.refused(entry.handle({kind: 'request', request: req}));
  assert.equal(end.reason, NO_ROOM);
});
