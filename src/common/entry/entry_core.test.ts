import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as peer from '../../generated/peer.js';
import * as fixtures from './entry_fixtures.test.js';

const {NO_ROOM, DEADLINE, NO_SERVER} = peer.RefusalReason;
const {NOT_RUN, UNKNOWN} = peer.Outcome;

function kinds(actions: readonly {readonly kind: string}[]): readonly string[] {
  return actions.map(a => a.kind);
}

nodeTest.test('an answer is passed to the caller once', () => {
  const entry = new fixtures.Entry(new fixtures.FakeFleet(['a']));
  const d = entry.send(fixtures.request('r'));
  assert.equal(d.call.callId, 'r.1');
  assert.deepEqual(kinds(entry.answer(d)), ['respond']);
  assert.deepEqual(entry.answer(d), []);
});

nodeTest.test('drops an answer from a node that got no attempt', () => {
  const entry = new fixtures.Entry(new fixtures.FakeFleet(['a', 'b']));
  const d = entry.send(fixtures.request('r'));
  const other = {...d, nodeId: d.nodeId === 'a' ? 'b' : 'a'};
  assert.deepEqual(entry.answer(other), []);
  assert.deepEqual(kinds(entry.answer(d)), ['respond']);
});

nodeTest.test('tries another member after a refusal without a run', () => {
  const entry = new fixtures.Entry(new fixtures.FakeFleet(['a', 'b']));
  const first = entry.send(fixtures.request('r'));
  const second = fixtures.dispatched(entry.refuse(first));
  assert.notEqual(second.nodeId, first.nodeId);
  assert.equal(entry.counters.get('retry.no-room'), 1);
  const end = fixtures.refused(entry.refuse(second));
  assert.equal(end.reason, NO_ROOM);
  assert.equal(end.outcome, NOT_RUN);
});

nodeTest.test('ends an open request as unknown at the deadline', () => {
  const entry = new fixtures.Entry(new fixtures.FakeFleet(['a']));
  entry.send(fixtures.request('r'));
  assert.equal(entry.core.nextWakeMs(), 1_000);
  const actions = entry.tickAt(1_000);
  assert.deepEqual(kinds(actions), ['refuse', 'cancel']);
  assert.equal(fixtures.refused(actions).reason, DEADLINE);
  assert.equal(fixtures.refused(actions).outcome, UNKNOWN);
});

nodeTest.test('cancels the attempts of a caller that disconnected', () => {
  const entry = new fixtures.Entry(new fixtures.FakeFleet(['a']));
  const d = entry.send(fixtures.request('r'));
  const gone = entry.handle({kind: 'caller-gone', requestId: 'r'});
  assert.deepEqual(kinds(gone), ['cancel']);
  assert.deepEqual(entry.answer(d), []);
  assert.equal(entry.core.nextWakeMs(), undefined);
});

nodeTest.test('refuses a request as not run without members', () => {
  const entry = new fixtures.Entry(new fixtures.FakeFleet([]));
  const req = fixtures.request('r');
  const end = fixtures.refused(entry.handle({kind: 'request', request: req}));
  assert.equal(end.reason, NO_SERVER);
  assert.equal(end.outcome, NOT_RUN);
});

nodeTest.test('refuses calls beyond the maximum without an attempt', () => {
  const fleet = new fixtures.FakeFleet(['a']);
  const entry = new fixtures.Entry(fleet, {maxCalls: 1});
  entry.send(fixtures.request('r'));
  const req = fixtures.request('s');
  const end = fixtures.refused(entry.handle({kind: 'request', request: req}));
  assert.equal(end.reason, NO_ROOM);
});

const SERVER_DIED = {
  reason: peer.RefusalReason.SERVER_FAILED,
  outcome: UNKNOWN,
  serverDied: true,
};
const NON_IDEMPOTENT = fixtures.requestClass({
  name: 'order',
  idempotent: false,
});
const MUST_ARRIVE = fixtures.requestClass({kind: 'must-arrive'});

nodeTest.test('a silent link causes one resend, then a retry elsewhere', () => {
  const entry = new fixtures.Entry(new fixtures.FakeFleet(['a', 'b']));
  const first = entry.send(fixtures.request('r'));
  const again = fixtures.dispatched(entry.linkSilent(first));
  assert.equal(again.nodeId, first.nodeId);
  assert.equal(again.call.callId, first.call.callId);
  assert.equal(again.call.resend, true);
  assert.equal(again.call.gateIncarnation, 7);
  const elsewhere = fixtures.dispatched(entry.linkSilent(again));
  assert.notEqual(elsewhere.nodeId, first.nodeId);
  assert.equal(elsewhere.call.callId, 'r.2');
});

nodeTest.test('a request at a silent gate is answered after its pause', () => {
  const entry = new fixtures.Entry(new fixtures.FakeFleet(['a']));
  const first = entry.send(fixtures.request('r'));
  const again = fixtures.dispatched(entry.linkSilent(first));
  assert.deepEqual(entry.linkSilent(again), []);
  const later = fixtures.dispatched(entry.tickAt(50));
  assert.equal(later.call.callId, 'r.1');
  entry.nowMs = 900;
  assert.deepEqual(kinds(entry.answer(later)), ['respond']);
});

nodeTest.test('a silent gate may answer before the gate of the retry', () => {
  const entry = new fixtures.Entry(new fixtures.FakeFleet(['a', 'b']));
  const first = entry.send(fixtures.request('r'));
  const again = fixtures.dispatched(entry.linkSilent(first));
  const second = fixtures.dispatched(entry.linkSilent(again));
  assert.deepEqual(entry.refuse(second), []);
  assert.deepEqual(kinds(entry.answer(first)), ['respond']);
});

nodeTest.test('a request at silent gates is unknown at its deadline', () => {
  const entry = new fixtures.Entry(new fixtures.FakeFleet(['a']));
  const first = entry.send(fixtures.request('r'));
  entry.linkSilent(fixtures.dispatched(entry.linkSilent(first)));
  entry.tickAt(50);
  const end = fixtures.refused(entry.tickAt(1_000));
  assert.equal(end.reason, DEADLINE);
  assert.equal(end.outcome, UNKNOWN);
});

nodeTest.test('a request ends once its silent gate has ended', () => {
  const entry = new fixtures.Entry(new fixtures.FakeFleet(['a']));
  const first = entry.send(fixtures.request('r'));
  const again = fixtures.dispatched(entry.linkSilent(first));
  assert.deepEqual(entry.linkSilent(again), []);
  const later = fixtures.dispatched(entry.tickAt(50));
  assert.deepEqual(entry.linkFailed(later, false), []);
  const last = fixtures.dispatched(entry.tickAt(150));
  const end = fixtures.refused(entry.linkRefused(last));
  assert.equal(end.outcome, UNKNOWN);
});

nodeTest.test(
  'a request ends once another process is at its silent gate',
  () => {
    const entry = new fixtures.Entry(new fixtures.FakeFleet(['a']));
    const first = entry.send(fixtures.request('r'));
    const again = fixtures.dispatched(entry.linkSilent(first));
    assert.deepEqual(entry.linkSilent(again), []);
    const reason = peer.RefusalReason.LINK_FAILED;
    const end = fixtures.refused(
      entry.refuse(again, {reason, outcome: UNKNOWN}),
    );
    assert.equal(end.outcome, UNKNOWN);
  },
);

nodeTest.test('resends a non-idempotent request to its gate only', () => {
  const entry = new fixtures.Entry(new fixtures.FakeFleet(['a', 'b']));
  const req = fixtures.request('r', {requestClass: NON_IDEMPOTENT});
  const first = entry.send(req);
  const again = fixtures.dispatched(entry.linkSilent(first));
  assert.deepEqual(entry.linkSilent(again), []);
  const later = fixtures.dispatched(entry.tickAt(50));
  assert.equal(later.nodeId, first.nodeId);
  assert.equal(later.call.callId, 'r.1');
  const end = fixtures.refused(entry.tickAt(1_000));
  assert.equal(end.outcome, UNKNOWN);
});

nodeTest.test('ends as unknown if the link breaks during a resend', () => {
  const entry = new fixtures.Entry(new fixtures.FakeFleet(['a', 'b']));
  const req = fixtures.request('r', {requestClass: NON_IDEMPOTENT});
  const first = entry.send(req);
  const again = fixtures.dispatched(entry.linkFailed(first, true));
  assert.equal(again.nodeId, first.nodeId);
  assert.equal(again.call.resend, true);
  const end = fixtures.refused(entry.linkFailed(again, false));
  assert.equal(end.outcome, UNKNOWN);
});

nodeTest.test('tries another member if the attempt was never sent', () => {
  const entry = new fixtures.Entry(new fixtures.FakeFleet(['a', 'b']));
  const req = fixtures.request('r', {requestClass: NON_IDEMPOTENT});
  const first = entry.send(req);
  const other = fixtures.dispatched(entry.linkFailed(first, false));
  assert.notEqual(other.nodeId, first.nodeId);
  assert.equal(other.call.resend, false);
});

nodeTest.test('must-arrive requests wait for capacity and are answered', () => {
  const entry = new fixtures.Entry(new fixtures.FakeFleet(['a', 'b']));
  const req = fixtures.request('r', {requestClass: MUST_ARRIVE});
  const first = entry.send(req);
  const second = fixtures.dispatched(entry.refuse(first));
  assert.deepEqual(entry.refuse(second), []);
  const wakeMs = entry.core.nextWakeMs() ?? 0;
  assert.ok(wakeMs >= 20 && wakeMs < 1_000);
  const third = fixtures.dispatched(entry.tickAt(wakeMs));
  assert.deepEqual(kinds(entry.answer(third)), ['respond']);
});

nodeTest.test('refuses interactive requests of a full service at once', () => {
  const entry = new fixtures.Entry(new fixtures.FakeFleet(['a', 'b']));
  let last;
  for (let i = 0; i < 200; i++) {
    let d = entry.send(fixtures.request(`r${i}`));
    for (;;) {
      const actions = entry.refuse(d);
      if (actions.some(a => a.kind === 'refuse')) {
        last = fixtures.refused(actions);
        break;
      }
      d = fixtures.dispatched(actions);
    }
  }
  assert.equal(last?.reason, NO_ROOM);
  assert.equal(last?.retryAfterMs, 20);
  assert.ok(entry.counters.get('entry.attempts') < 1.1 * 200);
});

nodeTest.test('hedges a slow attempt and cancels the slower one', () => {
  const entry = new fixtures.Entry(new fixtures.FakeFleet(['a', 'b']));
  const requestClass = fixtures.requestClass({hedgeAfterMs: 30});
  const first = entry.send(fixtures.request('r', {requestClass}));
  const hedge = fixtures.dispatched(entry.tickAt(30));
  assert.notEqual(hedge.nodeId, first.nodeId);
  assert.deepEqual(kinds(entry.answer(hedge)), ['respond', 'cancel']);
  assert.deepEqual(entry.answer(first), []);
  assert.equal(entry.counters.get('entry.unmatched'), 1);
});

nodeTest.test('returns an error answer if no later attempt succeeds', () => {
  const entry = new fixtures.Entry(new fixtures.FakeFleet(['a', 'b']));
  const first = entry.send(fixtures.request('r'));
  const actions = entry.answer(first, {status: 500});
  const second = fixtures.dispatched(actions);
  const end = entry.refuse(second, {reason: peer.RefusalReason.QUARANTINED});
  assert.deepEqual(kinds(end), ['respond']);
});

nodeTest.test('sends the number of retries left with each attempt', () => {
  const entry = new fixtures.Entry(new fixtures.FakeFleet(['a', 'b']));
  const first = entry.send(fixtures.request('r', {retriesLeft: 1}));
  const left = (d: typeof first) =>
    d.call.headers.find(h => h.name === 'geraniumloft-retries-left')?.value;
  assert.equal(left(first), '1');
  const failure = {
    reason: peer.RefusalReason.SERVER_FAILED,
    outcome: UNKNOWN,
  };
  const second = fixtures.dispatched(entry.refuse(first, failure));
  assert.equal(left(second), '0');
  const end = fixtures.refused(entry.refuse(second, failure));
  assert.equal(end.outcome, UNKNOWN);
});

nodeTest.test('explains why each member is excluded or avoided', () => {
  const fleet = new fixtures.FakeFleet(['a', 'b', 'c']);
  fleet.put(fixtures.member('c'), {roster: 'leaving'});
  const entry = new fixtures.Entry(fleet);
  const first = entry.send(fixtures.request('r'));
  entry.linkFailed(first, false);
  const {members, selector, fullShare} = entry.core.explain(
    fixtures.SERVICE,
    fixtures.at(0),
  );
  assert.equal(selector, 'redirect');
  assert.equal(fullShare, 0);
  assert.deepEqual(
    members.map(m => m.exclusion ?? m.reservation),
    [undefined, 'failed-lately', 'leaving'],
  );
  assert.equal(members[0].estimate.ownOutstanding, 1);
  assert.equal(members[1].nodeId, first.nodeId);
  assert.equal(members[1].avoidedForMs, 1_000);
});

nodeTest.test('a retry reports backend server deaths to its gate', () => {
  const entry = new fixtures.Entry(new fixtures.FakeFleet(['a', 'b']));
  const first = entry.send(fixtures.request('r'));
  assert.equal(first.call.deaths, undefined);
  const second = fixtures.dispatched(entry.refuse(first, SERVER_DIED));
  assert.equal(second.call.deaths, 1);
});

nodeTest.test('later requests report deaths until they expire', () => {
  const entry = new fixtures.Entry(new fixtures.FakeFleet(['a', 'b']));
  const first = entry.send(fixtures.request('r'));
  const second = fixtures.dispatched(entry.refuse(first, SERVER_DIED));
  fixtures.refused(entry.refuse(second, SERVER_DIED));
  const next = entry.send(fixtures.request('s'));
  assert.equal(next.call.deaths, 2);
  entry.answer(next);
  entry.tickAt(60_000);
  const later = entry.send(fixtures.request('t'));
  assert.equal(later.call.deaths, undefined);
});

// Calls of one crash added their deaths up, which quarantined the request (issue 66).
nodeTest.test('a crash is one death for equal requests', () => {
  const entry = new fixtures.Entry(new fixtures.FakeFleet(['a', 'b']));
  const first = entry.send(fixtures.request('r'));
  const equal = entry.send(fixtures.request('s'));
  const retries = [first, equal].map(sent =>
    fixtures.dispatched(entry.refuse(sent, SERVER_DIED)),
  );
  assert.deepEqual(
    retries.map(({call}) => call.deaths),
    [1, 1],
  );
  assert.equal(entry.send(fixtures.request('t')).call.deaths, 1);
});

nodeTest.test('an answer clears a single backend server death', () => {
  const entry = new fixtures.Entry(new fixtures.FakeFleet(['a', 'b']));
  const first = entry.send(fixtures.request('r'));
  entry.answer(fixtures.dispatched(entry.refuse(first, SERVER_DIED)));
  assert.equal(entry.send(fixtures.request('s')).call.deaths, undefined);
});

nodeTest.test('offers redirections only while they find free capacity', () => {
  const entry = new fixtures.Entry(new fixtures.FakeFleet(['a', 'b']));
  const other = (d: {readonly nodeId: string}) => ({
    alternatives: [
      {nodeId: d.nodeId === 'a' ? 'b' : 'a', load: fixtures.load(1)},
    ],
  });
  for (let i = 0; i < 100; i++) {
    const d = entry.send(fixtures.request(`found${i}`));
    if (d.call.redirectable !== true) continue;
    const next = fixtures.dispatched(entry.refuse(d, other(d)));
    assert.equal(next.nodeId, other(d).alternatives[0].nodeId);
    assert.equal(next.call.redirectable, undefined);
    entry.answer(next);
  }
  const found = entry.counters.get('retry.no-room');
  assert.ok(found >= 50);
  for (let i = 0; i < 100; i++) {
    const d = entry.send(fixtures.request(`full${i}`));
    const actions = entry.refuse(d, d.call.redirectable ? other(d) : {});
    if (actions[0].kind === 'dispatch') entry.refuse(actions[0]);
  }
  assert.ok(entry.counters.get('retry.no-room') - found <= 20);
  const d = entry.send(fixtures.request('last'));
  assert.equal(d.call.redirectable, undefined);
});

nodeTest.test('sends no hedge to a busy member', () => {
  const entry = new fixtures.Entry(new fixtures.FakeFleet(['a', 'b']));
  for (const nodeId of ['a', 'b']) {
    entry.handle({kind: 'load', nodeId, load: fixtures.load(8)});
  }
  const requestClass = fixtures.requestClass({hedgeAfterMs: 10});
  entry.send(fixtures.request('r', {requestClass}));
  assert.deepEqual(entry.tickAt(10), []);
});
