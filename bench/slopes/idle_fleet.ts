/** Processor time, memory and datagrams of idle nodes by number of members, with real processes. */
import * as fleet from '../../test/paths/fleet.js';
import * as operatorContract from '../../src/node/operator_contract.js';
import * as lineFit from './line_fit.js';
import * as measurement from './measurement.js';

const MEMBER_COUNTS = [2, 4, 8, 16];
const SETTLE_MS = 5_000;
const MEASURED_MS = 10_000;
const MS_PER_SECOND = 1_000;

async function readStatuses(
  pairs: readonly fleet.Pair[],
): Promise<readonly operatorContract.NodeStatus[]> {
  return Promise.all(pairs.map(pair => pair.operator.status()));
}

function meanIncrease(
  before: readonly operatorContract.NodeStatus[],
  after: readonly operatorContract.NodeStatus[],
  value: (status: operatorContract.NodeStatus) => number,
): number {
  const sum = after.reduce(
    (total, status, i) => total + value(status) - value(before[i]),
    0,
  );
  return sum / after.length;
}

async function pause(ms: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, ms));
}

/** Measures nodes with backend servers in fleets of several sizes that receive no calls. */
export async function measureIdleFleet(): Promise<
  readonly measurement.Measurement[]
> {
  const processor: lineFit.Point[] = [];
  const resident: lineFit.Point[] = [];
  const datagrams: lineFit.Point[] = [];
  for (const members of MEMBER_COUNTS) {
    await using testFleet = await fleet.Fleet.start(fleet.testConfiguration());
    const pairs = await Promise.all(
      Array.from({length: members}, (_, i) =>
        testFleet.addPair({nodeId: `orders-${i + 1}`}),
      ),
    );
    await testFleet.waitUntilReady(pairs);
    await pause(SETTLE_MS);
    const before = await readStatuses(pairs);
    await pause(MEASURED_MS);
    const after = await readStatuses(pairs);
    const seconds = MEASURED_MS / MS_PER_SECOND;
    const usedUs = meanIncrease(before, after, s => s.processorUs) / seconds;
    const sent =
      meanIncrease(before, after, s => s.counters['datagram.sent'] ?? 0) /
      seconds;
    const bytes = after.reduce((sum, s) => sum + s.residentBytes, 0) / members;
    processor.push({x: members, y: usedUs});
    resident.push({x: members, y: bytes});
    datagrams.push({x: members, y: sent});
  }
  const size = 'members';
  return [
    {
      role: 'idle node',
      size,
      cost: 'us of processor a second',
      points: processor,
    },
    {role: 'idle node', size, cost: 'resident bytes', points: resident},
    {
      role: 'idle node',
      size,
      cost: 'datagrams sent a second',
      points: datagrams,
    },
  ];
}
