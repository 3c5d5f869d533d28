/**
 * Measures the cost of the log of the platform's daemon, with real processes: processor time and
 * bytes of log per request with none, the usual share and all of the routine lines. The variants
 * take turns in each round.
 */
import * as fs from 'node:fs';

import * as units from '../src/common/units.js';
import * as platformFleet from '../test/paths/platform_fleet.js';

const NODE_COUNT = 2;
const REQUESTS_PER_SECOND = 60;
const WARM_UP_MS = 2_000;
const MEASURED_MS = 8_000;
const ROUNDS = 3;
/** Unit of the processor times in /proc/PID/stat. */
const CLOCK_TICKS_PER_SECOND = 100;

const VARIANTS = [
  {name: 'least log', settings: {routineLogShare: 0, logBytesPerSecond: 1_000}},
  {name: 'usual log', settings: {routineLogShare: 0.05}},
  {
    name: 'whole log',
    settings: {routineLogShare: 1, logBytesPerSecond: 10_000_000},
  },
];

/** Returns the user and system time used by a process so far, in milliseconds. */
function processorMs(pid: number): number {
  const [, rest] = fs.readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ');
  const fields = rest.split(' ');
  const [user, system] = [Number(fields[11]), Number(fields[12])];
  return ((user + system) * units.MS_PER_SECOND) / CLOCK_TICKS_PER_SECOND;
}

/** Sends requests for `ms` milliseconds; returns their number. */
async function sendFor(
  fleet: platformFleet.PlatformFleet,
  ms: number,
  prefix: string,
): Promise<number> {
  const pending: Array<Promise<unknown>> = [];
  const endMs = performance.now() + ms;
  while (performance.now() < endMs) {
    const node = fleet.nodes[pending.length % fleet.nodes.length];
    pending.push(fleet.send(node, {id: `${prefix}${pending.length}`}));
    await new Promise(resolve =>
      setTimeout(resolve, units.MS_PER_SECOND / REQUESTS_PER_SECOND),
    );
  }
  await Promise.all(pending);
  return pending.length;
}

/** Measures processor time and bytes of log per request, over all nodes. */
async function measureVariant(
  settings: object,
): Promise<{readonly ms: number; readonly bytes: number}> {
  await using fleet = await platformFleet.PlatformFleet.start(NODE_COUNT, {
    settings,
  });
  await sendFor(fleet, WARM_UP_MS, 'w');
  const totalProcessorMs = (): number =>
    fleet.nodes.reduce(
      (sum, node) => sum + processorMs(node.process.process.pid ?? 0),
      0,
    );
  const totalLogLength = (): number =>
    fleet.nodes.reduce((sum, node) => sum + node.process.printed.length, 0);
  const [beforeMs, beforeBytes] = [totalProcessorMs(), totalLogLength()];
  const requests = await sendFor(fleet, MEASURED_MS, 'm');
  return {
    ms: (totalProcessorMs() - beforeMs) / requests,
    bytes: (totalLogLength() - beforeBytes) / requests,
  };
}

for (let round = 1; round <= ROUNDS; round++) {
  for (const {name, settings} of VARIANTS) {
    const {ms, bytes} = await measureVariant(settings);
    console.log(
      `round ${round}, ${name}: ${ms.toFixed(2)} ms of processor time and ` +
        `${bytes.toFixed(0)} bytes of log a request`,
    );
  }
}
