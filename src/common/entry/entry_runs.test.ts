import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as fc from 'fast-check';

import * as world from './entry_world.test.js';

const SEED = Number(process.env['SEED'] ?? 20_261_203);
const RUNS = 400;

function share(most: number): fc.Arbitrary<number> {
  return fc.integer({min: 0, max: 100}).map(n => (most * n) / 100);
}

const FAULTS: fc.Arbitrary<world.Faults> = fc.record({
  full: share(0.7),
  refusing: share(0.3),
  silent: share(0.3),
  dying: share(0.5),
  duplicate: share(0.3),
  foreign: share(0.2),
  errorStatus: share(0.2),
});

const SCENARIO: fc.Arbitrary<world.Scenario> = fc.record({
  seed: fc.integer({min: 1, max: 1_000_000}),
  gates: fc.integer({min: 2, max: 6}),
  requests: fc.constant(80),
  faults: FAULTS,
});

nodeTest.test(
  `requests end once, in time and truthfully over ${RUNS} runs, seed ${SEED}`,
  () => {
    let answered = 0;
    fc.assert(
      fc.property(SCENARIO, scenario => {
        const w = new world.World(scenario);
        w.run();
        answered += w.entry.counters.get('entry.answered');
      }),
      {seed: SEED, numRuns: RUNS},
    );
    assert.ok(answered > RUNS);
  },
);
