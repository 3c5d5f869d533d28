import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as fc from 'fast-check';

import * as entrySimulation from './entry_simulation.test.js';

const SEED = Number(process.env['SEED'] ?? 20_261_203);
const RUNS = 400;

function shareUpTo(max: number): fc.Arbitrary<number> {
  return fc.integer({min: 0, max: 100}).map(n => (max * n) / 100);
}

const FAULTS: fc.Arbitrary<entrySimulation.Faults> = fc.record({
  full: shareUpTo(0.7),
  refusing: shareUpTo(0.3),
  silent: shareUpTo(0.3),
  restarting: shareUpTo(0.5),
  duplicate: shareUpTo(0.3),
  foreign: shareUpTo(0.2),
  errorStatus: shareUpTo(0.2),
});

const SCENARIO: fc.Arbitrary<entrySimulation.Scenario> = fc.record({
  seed: fc.integer({min: 1, max: 1_000_000}),
  gateCount: fc.integer({min: 2, max: 6}),
  requestCount: fc.constant(80),
  faults: FAULTS,
});

nodeTest.test(
  `requests end once, in time, with a true outcome in ${RUNS} runs, seed ${SEED}`,
  () => {
    let answered = 0;
    fc.assert(
      fc.property(SCENARIO, scenario => {
        const simulation = new entrySimulation.EntrySimulation(scenario);
        simulation.run();
        answered += simulation.entry.counters.get('entry.answered');
      }),
      {seed: SEED, numRuns: RUNS},
    );
    assert.ok(answered > RUNS);
  },
);
