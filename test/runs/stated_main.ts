/**
 * Runs fleets in virtual time whose servers state limits and leave, with consecutive seeds:
 * `node build/test/runs/stated_main.js --seed 100 --runs 50 --nodes 40 --seconds 20`.
 */
import * as util from 'node:util';

import * as statedFleet from './stated_fleet.js';

const MS_PER_SECOND = 1_000;

const {values} = util.parseArgs({
  options: {
    seed: {type: 'string', default: '100'},
    runs: {type: 'string', default: '50'},
    nodes: {type: 'string', default: '40'},
    seconds: {type: 'string', default: '20'},
    rate: {type: 'string', default: '6'},
  },
});

const first = Number(values.seed);
const runs = Number(values.runs);
let failed = 0;
for (let seed = first; seed < first + runs; seed++) {
  const breaches = statedFleet.runWithFaults(
    {
      seed,
      nodes: Number(values.nodes),
      requestsPerSecond: Number(values.rate),
    },
    Number(values.seconds) * MS_PER_SECOND,
  );
  if (breaches.length === 0) continue;
  failed++;
  console.log(`seed ${seed}: FAILED`);
  for (const line of breaches) console.log(`  ${line}`);
}
console.log(`${runs - failed} passed, ${failed} failed`);
process.exitCode = failed > 0 ? 1 : 0;
