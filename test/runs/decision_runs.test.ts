import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as fc from 'fast-check';

import * as randomSource from '../../src/common/random_source.js';
import * as decisionRun from './decision_run.js';
import * as decisionFaults from './decision_faults.js';

const DEFAULT_SEED = 20_241;
const RUNS = 200;
const MAX_FAULTS = 6;
const SHRINK_LIMIT_MS = 150_000;
const SHOWN_BREACHES = 5;
/** In this run a node is down when the second server death caused by a request is reported. */
const RESTART_SEED = 1_150;

const seed = Number(process.env.SEED ?? DEFAULT_SEED);

function faultArbitrary(): fc.Arbitrary<decisionFaults.Fault> {
  return fc.record({
    kind: fc.constantFrom(...decisionFaults.FAULT_KINDS),
    atMs: fc.nat(decisionFaults.MAX_START_MS),
    target: fc.nat(100),
    lengthMs: fc.integer({min: 1, max: decisionFaults.MAX_LENGTH_MS}),
  });
}

nodeTest.test('guarantees to callers hold under random mixes of faults', () => {
  console.log(`seed ${seed}`);
  let answered = 0;
  const property = fc.property(
    fc.noShrink(fc.nat()),
    fc.array(faultArbitrary(), {minLength: 1, maxLength: MAX_FAULTS}),
    (runSeed, mix) => {
      const outcome = decisionRun.run({seed: runSeed, faults: mix});
      assert.deepEqual(outcome.breaches.slice(0, SHOWN_BREACHES), []);
      answered += outcome.answered;
    },
  );
  fc.assert(property, {
    seed,
    numRuns: RUNS,
    interruptAfterTimeLimit: SHRINK_LIMIT_MS,
    markInterruptAsFailure: true,
  });
  assert.ok(answered > 0, 'no request was answered');
});

nodeTest.test('a restarted node has the quarantines of the fleet', () => {
  const mix = decisionFaults.draw(new randomSource.SeededRandom(RESTART_SEED));
  const outcome = decisionRun.run({seed: RESTART_SEED, faults: mix});
  assert.deepEqual(outcome.breaches, []);
});
