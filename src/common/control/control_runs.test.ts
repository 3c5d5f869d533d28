/** Property tests: many control cores in virtual time with random faults. */
import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as fc from 'fast-check';

import * as fleetRuns from '../../../test/fakes/fleet_run.js';

const SEED = Number(process.env.SEED ?? 20_261_203);
const RUNS = Number(process.env.RUNS ?? 200);
console.log(`SEED=${SEED} RUNS=${RUNS}`);

nodeTest.test('folds agree under random faults', () => {
  let steps = 0;
  let comparisons = 0;
  fc.assert(
    fc.property(fleetRuns.RUN_ARBITRARY, run => {
      const fleetRun = new fleetRuns.FleetRun(run);
      fleetRun.runAll();
      steps += fleetRun.fleet.eventCount;
      comparisons += fleetRun.checks.comparisons;
    }),
    {seed: SEED, numRuns: RUNS, endOnFailure: true, includeErrorInReport: true},
  );
  console.log(`events=${steps} folds=${comparisons}`);
  assert.ok(steps > 2_000 * RUNS);
  assert.ok(comparisons > RUNS);
});
