import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as servingFleet from '../fakes/serving_fleet.js';
import * as statedFleet from './stated_fleet.js';

const {test} = nodeTest;

const LENGTH_MS = 15_000;

function limitAll(fleet: servingFleet.ServingFleet, perSecond: number): void {
  for (const node of fleet.nodes) node.nameLimit({kind: 'named', perSecond});
}

test('a fleet sends a server several times the limit that it names', () => {
  const fleet = statedFleet.fleet({seed: 1, nodes: 8, requestsPerSecond: 6});
  fleet.clock.after(2_000, () => limitAll(fleet, 1.6));
  fleet.run(LENGTH_MS);
  assert.deepEqual(fleet.audit.check(), []);
});

/** Sizes, seeds and lengths of the runs with faults. */
const FAULT_RUNS = [
  {nodes: 8, seeds: [1, 2, 3, 4, 5, 6], lengthMs: 40_000},
  {nodes: 40, seeds: [7, 8], lengthMs: 20_000},
  {nodes: 300, seeds: [9], lengthMs: 15_000},
] as const;

for (const {nodes, seeds, lengthMs} of FAULT_RUNS) {
  test(`restarts, freezes and cuts let servers get more than they stated, ${nodes} nodes`, () => {
    for (const seed of seeds) {
      const options = {seed, nodes, requestsPerSecond: 6};
      const breaches = statedFleet.runWithFaults(options, lengthMs);
      assert.deepEqual(breaches, [], `seed ${seed}`);
    }
  });
}
