/** Processor time and memory of entry and gate by calls per second, with real processes. */
import * as undici from 'undici';

import * as randomSource from '../../src/common/random_source.js';
import * as fleet from '../../test/paths/fleet.js';
import * as openLoop from '../open_loop.js';
import * as lineFit from './line_fit.js';
import * as measurement from './measurement.js';

const RATES_PER_SECOND = [0, 50, 100, 200, 400];
const MEASURED_SECONDS = 5;
const WARM_UP_RATE_PER_SECOND = 300;
const WARM_UP_SECONDS = 4;
const SEED = 1;

/** Processor time since the start, and resident memory, of the node of a pair. */
interface Usage {
  readonly processorUs: number;
  readonly residentBytes: number;
}

async function readUsage(pair: fleet.Pair): Promise<Usage> {
  const {processorUs, residentBytes} = await pair.operator.status();
  return {processorUs, residentBytes};
}

async function generateLoad(
  pool: undici.Pool,
  ratePerSecond: number,
  seconds: number,
): Promise<void> {
  if (ratePerSecond === 0) {
    await new Promise(resolve => setTimeout(resolve, seconds * 1_000));
    return;
  }
  const pending: Promise<void>[] = [];
  const random = new randomSource.SeededRandom(SEED);
  await openLoop.generateArrivals(
    ratePerSecond,
    seconds,
    random,
    (unusedDueMs, index) => {
      pending.push(send(pool, index));
    },
  );
  await Promise.all(pending);
}

async function send(pool: undici.Pool, index: number): Promise<void> {
  const res = await pool.request({method: 'GET', path: `/orders/${index}`});
  await res.body.arrayBuffer();
  if (res.statusCode !== 200) throw new Error(`status ${res.statusCode}`);
}

/** Measures the cost of calls that enter at one node and run at another. */
export async function measureCallCost(): Promise<
  readonly measurement.Measurement[]
> {
  await using testFleet = await fleet.Fleet.start(fleet.testConfiguration());
  const gate = await testFleet.addPair({nodeId: 'orders-1'});
  const entry = await testFleet.addPair({
    nodeId: 'catalogue-1',
    service: 'catalogue',
  });
  await testFleet.waitUntilReady([gate, entry]);
  const pool = new undici.Pool(`http://127.0.0.1:${entry.httpPort}`, {
    connections: 32,
  });
  await generateLoad(pool, WARM_UP_RATE_PER_SECOND, WARM_UP_SECONDS);
  const points = {
    entryUs: [] as lineFit.Point[],
    gateUs: [] as lineFit.Point[],
  };
  const memory = {entry: [] as lineFit.Point[], gate: [] as lineFit.Point[]};
  for (const rate of RATES_PER_SECOND) {
    const before = [await readUsage(entry), await readUsage(gate)];
    await generateLoad(pool, rate, MEASURED_SECONDS);
    const after = [await readUsage(entry), await readUsage(gate)];
    const usedUs = after.map(
      (u, i) => (u.processorUs - before[i].processorUs) / MEASURED_SECONDS,
    );
    points.entryUs.push({x: rate, y: usedUs[0]});
    points.gateUs.push({x: rate, y: usedUs[1]});
    memory.entry.push({x: rate, y: after[0].residentBytes});
    memory.gate.push({x: rate, y: after[1].residentBytes});
  }
  await pool.destroy();
  const size = 'calls a second';
  return [
    {
      role: 'entry',
      size,
      cost: 'us of processor a second',
      points: points.entryUs,
    },
    {
      role: 'gate',
      size,
      cost: 'us of processor a second',
      points: points.gateUs,
    },
    {role: 'entry', size, cost: 'resident bytes', points: memory.entry},
    {role: 'gate', size, cost: 'resident bytes', points: memory.gate},
  ];
}
