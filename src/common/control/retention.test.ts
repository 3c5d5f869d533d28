import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as changes from '../../../test/fakes/changes.js';
import * as virtualFleet from '../../../test/fakes/virtual_fleet.js';
import * as peer from '../../generated/peer.js';

const SEED = Number(process.env.SEED ?? 1);
console.log(`SEED=${SEED}`);

const MINUTE_MS = 60_000;
const RETENTION_MINUTES = 15;

/** Runs the fleet while the log drops records older than its retention time. */
function runWithRetention(
  fleet: virtualFleet.VirtualControlFleet,
  minutes: number,
): void {
  const lengths: number[] = [];
  for (let i = 0; i < minutes; i++) {
    lengths.push(fleet.log.appendedRecords.length);
    fleet.runFor(MINUTE_MS);
    if (i < RETENTION_MINUTES) continue;
    const kept =
      fleet.log.appendedRecords.length - lengths[i - RETENTION_MINUTES];
    fleet.log.retainNewest(kept);
  }
}

nodeTest.test(
  'a configuration survives log retention and a restart of all nodes',
  () => {
    const members = virtualFleet.fleetMembers(4, 4);
    const fleet = new virtualFleet.VirtualControlFleet({seed: SEED, members});
    fleet.startAll(500);
    fleet.runFor(5_000);
    changes.publish(fleet, 'a', 0);
    runWithRetention(fleet, 32);
    assert.ok(fleet.log.firstOffset > 10, 'the change is dropped');
    const snapshots = fleet.log.appendedRecords
      .map(r => peer.LogRecord.decode(r.bytes).body)
      .filter(b => b?.$case === 'snapshot');
    assert.ok(snapshots.length >= 2 && snapshots.length <= 4);
    for (const {nodeId} of members) fleet.kill(nodeId);
    for (const member of members) fleet.start({...member, incarnation: 2});
    fleet.runFor(10_000);
    for (const {core} of fleet.nodes.values()) {
      assert.equal(core.configuration?.revision, 1);
    }
    changes.publish(fleet, 'b', 1);
    fleet.runFor(3_000);
    for (const {core} of fleet.nodes.values()) {
      assert.equal(core.configuration?.revision, 2);
    }
  },
);
