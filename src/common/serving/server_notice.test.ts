import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as serving from '../../generated/serving.js';
import * as fixtures from './serving_fixtures.test.js';

const {test} = nodeTest;

const {CLOSED} = serving.Reason;
const {OPEN, SERVER_LEAVING} = serving.Closure;

function notice(
  overrides: Partial<serving.ServerNotice> = {},
): serving.ServerNotice {
  return {
    instanceId: 'i-1',
    startMs: 1_000,
    limitPerSecond: undefined,
    leaving: false,
    ...overrides,
  };
}

/** Returns a gate that knows the server from a health check only, as after a restart. */
function restartedGate(): fixtures.GateHarness {
  const harness = new fixtures.GateHarness();
  harness.healthy();
  return harness;
}

test('a restarted gate runs no request of an entry that was told of the leaving', () => {
  const harness = restartedGate();
  harness.call({notice: notice({leaving: true})});
  assert.deepEqual(harness.output.reasons, [CLOSED]);
  harness.open({sequence: 9});
  assert.equal(harness.gate.closure(), SERVER_LEAVING);
  assert.equal(harness.output.runs.length, 0);
});

test('a restarted gate keeps the limit that an entry was told, until an answer says otherwise', () => {
  const harness = restartedGate();
  const told = {notice: notice({limitPerSecond: 2}), objectiveLeftMs: 1_200};
  const key = harness.call(told);
  harness.call(told);
  assert.equal(harness.output.runs.length, 0);
  harness.gate.tick(500);
  assert.equal(harness.output.runs.length, 1);
  const limit = {kind: 'none'} as const;
  const statement = {source: 'run', limit, leaving: false} as const;
  harness.gate.onStatement(key, statement, 510);
  assert.equal(harness.output.runs.length, 2);
  harness.call(told, 520);
  assert.equal(harness.gate.load(520).notice?.limitPerSecond, undefined);
});

test('a notice of another incarnation changes nothing', () => {
  const harness = new fixtures.GateHarness().open();
  harness.call({notice: notice({leaving: true, startMs: 900})});
  harness.call({notice: notice({leaving: true, instanceId: 'i-0'})});
  assert.equal(harness.gate.closure(), OPEN);
  assert.equal(harness.output.runs.length, 2);
});

test('a server that starts again with its instance id is not kept out by an old notice', () => {
  const harness = restartedGate();
  harness.call({notice: notice({leaving: true})});
  assert.equal(harness.gate.closure(), SERVER_LEAVING);
  harness.open({startMs: 5_000});
  assert.equal(harness.gate.closure(), OPEN);
  harness.call({notice: notice({leaving: true})});
  assert.equal(harness.output.runs.length, 1);
});

test('a notice binds an incarnation that becomes known after its request has arrived', () => {
  const harness = new fixtures.GateHarness().open();
  harness.gate.recheck();
  harness.call({notice: notice({instanceId: 'i-2', leaving: true})});
  harness.gate.onAnnouncement(
    fixtures.announcement({instanceId: 'i-2', startMs: 1_000, sequence: 2}),
    10,
  );
  harness.open({instanceId: 'i-2', startMs: 2_000}, 20);
  assert.equal(harness.gate.closure(), OPEN);
  harness.gate.recheck();
  const later = notice({instanceId: 'i-3', startMs: 3_000, leaving: true});
  harness.call({notice: later}, 30);
  harness.open({instanceId: 'i-3', startMs: 3_000}, 40);
  assert.equal(harness.gate.closure(), SERVER_LEAVING);
  assert.equal(harness.output.reasons.at(-1), CLOSED);
});

test('a restarted gate keeps to what another node knows before its server announces itself', () => {
  const harness = new fixtures.GateHarness();
  harness.gate.onNotice(notice({leaving: true}), 0);
  harness.open({sequence: 9}, 10);
  assert.equal(harness.gate.closure(), SERVER_LEAVING);
  harness.call({}, 20);
  assert.deepEqual(harness.output.reasons, [CLOSED]);
  harness.open({startMs: 5_000}, 30);
  assert.equal(harness.gate.closure(), OPEN);
});

test('a notice without a start does not bind a later incarnation with the same id', () => {
  const harness = new fixtures.GateHarness();
  harness.gate.onNotice(notice({leaving: true, startMs: 0}), 0);
  harness.open({startMs: 5_000}, 10);
  assert.equal(harness.gate.closure(), OPEN);
});

test('an entry tells a gate what it was told before the link was lost, until it is withdrawn', () => {
  const harness = new fixtures.EntryHarness([fixtures.gate('a')]);
  const leaving = notice({leaving: true});
  harness.reports.onLoad('a', fixtures.load({notice: leaving}), 0);
  harness.reports.forget('a');
  harness.reports.onLoad('a', fixtures.load(), 10);
  harness.request({}, 20);
  assert.deepEqual(harness.last.dispatch.notice, leaving);
  harness.reports.onLoad('a', fixtures.load({notice: notice()}), 30);
  harness.request({}, 40);
  assert.equal(harness.last.dispatch.notice, undefined);
});
