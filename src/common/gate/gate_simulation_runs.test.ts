import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as fc from 'fast-check';

import * as gateSimulation from './gate_simulation.test.js';

const SEED = Number(process.env['SEED'] ?? 1);
const RUNS = Number(process.env['RUNS'] ?? 300);

nodeTest.test(
  `gates keep their guarantees in ${RUNS} random simulations`,
  () => {
    console.log(`SEED=${SEED} RUNS=${RUNS}`);
    const total = {
      executed: 0,
      answered: 0,
      refused: 0,
      secondRuns: 0,
      quarantined: 0,
    };
    fc.assert(
      fc.property(fc.integer({min: 1, max: 2 ** 31 - 1}), seed => {
        const report = new gateSimulation.Simulation(seed).run();
        for (const name of Object.keys(total) as (keyof typeof total)[]) {
          total[name] += report[name];
        }
      }),
      {seed: SEED, numRuns: RUNS, endOnFailure: true},
    );
    console.log(JSON.stringify(total));
    for (const [name, count] of Object.entries(total)) {
      assert.ok(count > 0, `no ${name} in any simulation`);
    }
  },
);
