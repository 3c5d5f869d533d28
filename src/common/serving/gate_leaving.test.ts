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
