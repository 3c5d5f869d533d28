import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as virtualFleet from '../../../test/fakes/virtual_fleet.js';
import * as peer from '../../generated/peer.js';
import * as randomSource from '../random_source.js';
import * as failureDetector from './failure_detector.js';
import * as livenessTable from './liveness_table.js';
import * as probeSchedule from './probe_schedule.js';

const [SELF, ...OTHERS] = virtualFleet.fleetMembers(5, 5);
const [SILENT] = OTHERS;
const {ALIVE, SUSPECT, DEAD} = peer.LivenessState;

function createDetector() {
  const random = new randomSource.SeededRandom(1);
  const table = new livenessTable.LivenessTable(SELF);
  const schedule = new probeSchedule.ProbeSchedule(SELF, random);
  schedule.setMembers(OTHERS);
  const detector = new failureDetector.FailureDetector(table, schedule, random);
  const state = (): peer.LivenessState => table.stateOf(SILENT.nodeId);
  return {detector, table, state};
}

nodeTest.test(
  'a silent member is probed indirectly, suspected, then declared dead',
  () => {
    const {detector, state} = createDetector();
    detector.probe(SILENT, 0);
    const indirectProbes = detector
      .step(failureDetector.ACK_TIMEOUT_MS, false)
      .filter(m => m.body?.$case === 'indirect');
    assert.equal(indirectProbes.length, 3);
    assert.ok(indirectProbes.every(m => m.to.nodeId !== SILENT.nodeId));
    detector.step(failureDetector.SUSPECT_AFTER_MS, false);
    assert.equal(state(), SUSPECT);
    const deadMs =
      failureDetector.SUSPECT_AFTER_MS + livenessTable.suspicionTimeoutMs(5);
    detector.step(deadMs - 1, false);
    assert.equal(state(), SUSPECT);
    detector.step(deadMs, false);
    assert.equal(state(), DEAD);
  },
);

nodeTest.test('a relayed ack keeps a member alive', () => {
  const {detector, state} = createDetector();
  detector.probe(SILENT, 0);
  detector.step(failureDetector.ACK_TIMEOUT_MS, false);
  detector.handleAck(OTHERS[1].nodeId, {sequence: 1}, 300);
  detector.step(failureDetector.SUSPECT_AFTER_MS, false);
  assert.equal(state(), ALIVE);
});

nodeTest.test(
  'probes sent before a pause of the node raise no suspicion',
  () => {
    const {detector, state} = createDetector();
    detector.probe(SILENT, 0);
    detector.clearOutstanding();
    detector.step(20_000, false);
    assert.equal(state(), ALIVE);
  },
);

nodeTest.test(
  'a stale node neither suspects members nor declares them dead',
  () => {
    const {detector, table, state} = createDetector();
    detector.probe(SILENT, 0);
    detector.step(failureDetector.SUSPECT_AFTER_MS, true);
    assert.equal(state(), ALIVE);
    table.suspect(SILENT, 1_000);
    detector.step(20_000, true);
    assert.equal(state(), SUSPECT);
  },
);

nodeTest.test(
  'a suspected node refutes the suspicion, and the refutation wins',
  () => {
    const {table} = createDetector();
    const about = {nodeId: SELF.nodeId, incarnation: SELF.incarnation};
    table.applyUpdate({...about, state: SUSPECT, refutation: 3}, 0);
    const [update] = table.takeUpdates(5);
    assert.deepEqual(update, {...about, state: ALIVE, refutation: 4});
    const other = createDetector().table;
    const silent = {nodeId: SILENT.nodeId, incarnation: SILENT.incarnation};
    other.applyUpdate({...silent, state: DEAD, refutation: 3}, 0);
    other.applyUpdate({...silent, state: ALIVE, refutation: 3}, 0);
    assert.equal(other.stateOf(SILENT.nodeId), DEAD);
    other.applyUpdate({...silent, state: ALIVE, refutation: 4}, 0);
    assert.equal(other.stateOf(SILENT.nodeId), ALIVE);
  },
);
