/**
 * Runs soak tests with consecutive seeds:
 * `node build/test/soak/main.js --seed 1 --runs 50 --nodes 5`.
 */
import * as fs from 'node:fs';
import * as util from 'node:util';

import * as soakRun from './soak_run.js';

const {values} = util.parseArgs({
  options: {
    seed: {type: 'string', default: '1'},
    runs: {type: 'string', default: '10'},
    parallel: {type: 'string', default: '2'},
    nodes: {type: 'string', default: '5'},
    logs: {type: 'string', default: 'build/soak'},
  },
});

const first = Number(values.seed);
const last = first + Number(values.runs) - 1;
let next = first;
let failed = 0;

async function runSeeds(): Promise<void> {
  while (next <= last) {
    const seed = next++;
    const outcome = await soakRun.run(seed, Number(values.nodes));
    const {requests, served, faults, breaches, logs} = outcome;
    const verdict = breaches.length === 0 ? 'ok' : 'FAILED';
    console.log(`seed ${seed}: ${verdict}, ${served} of ${requests} served`);
    if (breaches.length === 0) continue;
    failed++;
    for (const line of [...faults, ...breaches]) console.log(`  ${line}`);
    fs.mkdirSync(values.logs, {recursive: true});
    fs.writeFileSync(`${values.logs}/seed-${seed}.log`, logs);
  }
}

await Promise.all(Array.from({length: Number(values.parallel)}, runSeeds));
console.log(`${last - first + 1 - failed} passed, ${failed} failed`);
process.exitCode = failed > 0 ? 1 : 0;
