import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as fleetChecks from '../../../test/fakes/fleet_checks.js';
import * as virtualFleet from '../../../test/fakes/virtual_fleet.js';

const SEED = Number(process.env.SEED ?? 1);
console.log(`SEED=${SEED}`);

const MINUTE_MS = 60_000;

nodeTest.test(
  'homes cut off from the log stop before a joiner may start key memory anew',
  () => {
    const members = virtualFleet.fleetMembers(3, 3);
    const fleet = new virtualFleet.VirtualFleet({seed: SEED, members});
    const checks = new fleetChecks.FleetChecks(fleet);
    fleet.startAll(500);
    fleet.runFor(10_000);
    const old = [...fleet.nodes.values()];
    const leases = (): readonly boolean[] =>
      old.map(n => n.core.keyLeaseValid(fleet.nowMs));
    for (const {nodeId} of members) fleet.cutFromLog.add(nodeId);
    fleet.isCut = (from, to) => (from === 'born') !== (to === 'born');
    fleet.runFor(8 * MINUTE_MS);
    assert.deepEqual(leases(), [true, true, true]);
    fleet.runFor(3 * MINUTE_MS);
    const born = fleet.start({...members[0], nodeId: 'born'});
    fleet.runFor(15_000);
    const home = born.core.keyHome('service-0', 'key');
    assert.equal(home?.nodeId, 'born');
    assert.equal(born.core.keyLeaseValid(fleet.nowMs), true);
    assert.deepEqual(leases(), [false, false, false]);
    fleet.cutFromLog.clear();
    fleet.isCut = () => false;
    checks.checkRecovers(MINUTE_MS);
    assert.ok(checks.runs > 0);
  },
);
