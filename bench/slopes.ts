/** Measures costs at several sizes and prints the table that docs/CAPACITY.md quotes. */
import * as os from 'node:os';
import * as util from 'node:util';

import * as callCost from './slopes/call_cost.js';
import * as controlTraffic from './slopes/control_traffic.js';
import * as datagramCost from './slopes/datagram_cost.js';
import * as idleFleet from './slopes/idle_fleet.js';
import * as measurement from './slopes/measurement.js';
import * as stateMemory from './slopes/state_memory.js';

const BYTES_PER_GIB = 1024 ** 3;

/** Measurements by their name for `--only`. */
const MEASUREMENTS = {
  memory: async () => stateMemory.measureStateMemory(),
  fold: async () => stateMemory.measureFoldTime(),
  datagrams: () => datagramCost.measureDatagramCost(),
  control: async () => controlTraffic.measureControlTraffic(),
  calls: () => callCost.measureCallCost(),
  idle: () => idleFleet.measureIdleFleet(),
} as const;

const {values} = util.parseArgs({
  options: {
    only: {type: 'string', multiple: true, default: Object.keys(MEASUREMENTS)},
    json: {type: 'boolean', default: false},
  },
});

const results: measurement.Measurement[] = [];
for (const [name, measure] of Object.entries(MEASUREMENTS)) {
  if (!values.only.includes(name)) continue;
  process.stderr.write(`${name}\n`);
  results.push(...(await measure()));
}
const gib = (os.totalmem() / BYTES_PER_GIB).toFixed(0);
console.log(
  `${os.availableParallelism()} cores, ${gib} GiB, Node.js ${process.version}\n`,
);
console.log('| role | cost | size | points | slope | intercept | residual |');
console.log('|---|---|---|---|---|---|---|');
for (const result of results) console.log(measurement.formatRow(result));
if (values.json) console.log(JSON.stringify(results));
