import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as serving from '../../generated/serving.js';
import * as serverStatement from './server_statement.js';
import * as fixtures from './serving_fixtures.test.js';

const {test} = nodeTest;

function leaving(
  source: serverStatement.AnswerKind,
): serverStatement.ServerStatement {
  return {source, limit: {kind: 'none'}, leaving: true};
}

const HEALTH = {coldLeftMs: undefined, slots: undefined};

test('after an answer that states the leaving, waiting and new requests are refused', () => {
  const harness = new fixtures.GateHarness().open({slots: 1});
  const running = harness.call();
  harness.call();
  harness.gate.onStatement(running, leaving('run'), 10);
  harness.call({}, 11);
  assert.deepEqual(
    harness.output.reasons,
    Array(2).fill(serving.Reason.CLOSED),
  );
  assert.equal(harness.gate.closure(), serving.Closure.SERVER_LEAVING);
  harness.answered(running, 20);
  assert.equal(harness.output.answers.length, 1);
});

test('a health check that states the leaving closes the gate', () => {
  const harness = new fixtures.GateHarness().open();
  const statement = leaving('health');
  const sample = {...HEALTH, healthy: false, instanceId: 'i-1', statement};
  harness.gate.onHealth(sample, 10);
  assert.equal(harness.gate.closure(), serving.Closure.SERVER_LEAVING);
});

test('a restarted gate sends a server that only a late heartbeat calls ready no request', () => {
  const harness = new fixtures.GateHarness();
  const unhealthy = {...HEALTH, healthy: false, instanceId: 'i-1'};
  harness.gate.onHealth(unhealthy, 0);
  harness.gate.onAnnouncement(fixtures.announcement({sequence: 7}), 10);
  harness.call({}, 11);
  harness.gate.onHealth(unhealthy, 12);
  harness.call({}, 13);
  assert.equal(harness.gate.closure(), serving.Closure.SERVER_ABSENT);
  assert.deepEqual(
    harness.output.reasons,
    Array(2).fill(serving.Reason.CLOSED),
  );
  assert.equal(harness.output.runs.length, 0);
  harness.healthy('i-1', 20);
  harness.call({}, 21);
  assert.equal(harness.output.runs.length, 1);
});

test('a server that was healthy keeps its requests while its health checks fail', () => {
  const harness = new fixtures.GateHarness().open();
  harness.gate.recheck();
  harness.gate.onHealth({...HEALTH, healthy: false, instanceId: 'i-1'}, 10);
  harness.call({}, 11);
  assert.equal(harness.output.runs.length, 1);
});

test('a deregistration is about the start that it states, also when only a check is known', () => {
  const harness = new fixtures.GateHarness();
  harness.healthy();
  harness.gate.onDeregistration('i-1', 1_000, 10);
  assert.equal(harness.gate.load(10).notice?.startMs, 1_000);
});

test('neither late heartbeats nor another instance end the leaving of an incarnation', () => {
  const harness = new fixtures.GateHarness().open();
  harness.gate.onStatement(harness.call(), leaving('run'), 10);
  const late = fixtures.announcement({sequence: 2});
  harness.gate.onAnnouncement(late, 20);
  harness.healthy('i-2', 30);
  assert.equal(harness.gate.closure(), serving.Closure.SERVER_ABSENT);
  harness.gate.onAnnouncement(fixtures.announcement({sequence: 3}), 40);
  harness.healthy('i-1', 50);
  assert.equal(harness.gate.closure(), serving.Closure.SERVER_LEAVING);
});

test('a new incarnation is not leaving, nor is it after a late answer of the former one', () => {
  const harness = new fixtures.GateHarness().open();
  const late = harness.call();
  harness.gate.onStatement(harness.call(), leaving('run'), 10);
  harness.open({startMs: 2_000}, 20);
  harness.gate.onStatement(late, leaving('run'), 30);
  assert.equal(harness.gate.closure(), serving.Closure.OPEN);
});
