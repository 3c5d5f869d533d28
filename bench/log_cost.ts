/**
 * Measures what the log of the platform's daemon costs: processor time and bytes a request with no,
 * the usual and all routine lines, in turn, with real processes.
 */
import * as fs from 'node:fs';

import * as units from '../src/common/units.js';
import * as platformFleet from '../test/paths/platform_fleet.js';

const NODES = 2;
const REQUESTS_PER_SECOND = 60;
const WARM_UP_MS = 2_000;
const MEASURED_MS = 8_000;
const ROUNDS = 3;
const TICKS_PER_SECOND = 100;

const VARIANTS = [
  {name: 'least log', settings: {routineLogShare: 0, logBytesPerSecond: 1_000}},
  {name: 'usual log', settings: {routineLogShare: 0.05}},
  {
    name: 'whole log',
    settings: {routineLogShare: 1, logBytesPerSecond: 10_000_000},
  },
];

/** Processor time of a process so far, in milliseconds. */
function processorMs(pid: number): number {
  const [, rest] = fs.readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ');
  const fields = rest.split(' ');
  const [user, system] = [Number(fields[11]), Number(fields[12])];
  return ((user + system) * units.MS_PER_SECOND) / TICKS_PER_SECOND;
}

/** Sends requests for a while; returns how many. */
async function sendFor(
  fleet: platformFleet.PlatformFleet,
  ms: number,
  prefix: string,
): Promise<number> {
  const open: Array<Promise<unknown>> = [];
  const endMs = performance.now() + ms;
  while (performance.now() < endMs) {
    const node = fleet.nodes[open.length % fleet.nodes.length];
    open.push(fleet.send(node, {id: `${prefix}${open.length}`}));
    await new Promise(resolve =>
      setTimeout(resolve, units.MS_PER_SECOND / REQUESTS_PER_SECOND),
    );
  }
  await Promise.all(open);
  return open.length;
}

/** Returns processor time and bytes of log a request. */
async function measure(
  settings: object,
): Promise<{readonly ms: number; readonly bytes: number}> {
  await using fleet = await platformFleet.PlatformFleet.start(NODES, {
    settings,
  });
  await sendFor(fleet, WARM_UP_MS, 'w');
  const cost = (): number =>
    fleet.nodes.reduce(
      (sum, node) => sum + processorMs(node.process.process.pid ?? 0),
      0,
    );
  const printed = (): number =>
    fleet.nodes.reduce((sum, node) => sum + node.process.printed.length, 0);
  const [beforeMs, beforeBytes] = [cost(), printed()];
  const requests = await sendFor(fleet, MEASURED_MS, 'm');
  return {
    ms: (cost() - beforeMs) / requests,
    bytes: (printed() - beforeBytes) / requests,
  };
}

for (let round = 1; round <= ROUNDS; round++) {
  for (const {name, settings} of VARIANTS) {
    const {ms, bytes} = await measure(settings);
    console.log(
      `round ${round}, ${name}: ${ms.toFixed(2)} ms of processor time and ` +
        `${bytes.toFixed(0)} bytes of log a request`,
    );
  }
}
