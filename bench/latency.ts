/**
 * Measures the latency that nodes add to a call, with real processes. Direct access, one hop (the
 * node of the backend server), two hops (through another node) and pass-through proxies are
 * interleaved in one run.
 */
import * as hdr from 'hdr-histogram-js';
import * as undici from 'undici';

import * as randomSource from '../src/common/random_source.js';
import * as child from '../test/paths/child.js';
import * as fleet from '../test/paths/fleet.js';
import * as latencyOptions from './latency_options.js';
import * as openLoop from './open_loop.js';

const DEFAULT_SEED = 1;

const MICROSECONDS_PER_MS = 1_000;

const MS_PER_SECOND = 1_000;

/** Duration of the measurement of idle nodes. */
const IDLE_MS = 3_000;

/** Load before the measurement, so that compiled code is measured. */
const WARM_UP_RATE_PER_SECOND = 250;

const PATHS = [
  'direct',
  'one hop',
  'two hops',
  'one bare proxy',
  'two bare proxies',
] as const;

type PathName = (typeof PATHS)[number];

/** A path to the backend server, with the latency measured on it. */
class Path implements AsyncDisposable {
  private readonly pool: undici.Pool;
  /** Latency minus the time in the backend server, in microseconds. */
  private readonly overheadUs = hdr.build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 60_000_000,
    numberOfSignificantValueDigits: 3,
  });
  private failed = 0;

  constructor(
    readonly name: PathName,
    port: number,
  ) {
    this.pool = new undici.Pool(`http://127.0.0.1:${port}`, {
      connections: 32,
      pipelining: 1,
      keepAliveTimeout: 60_000,
    });
  }

  /** Clears the recorded latencies and failures. */
  reset(): void {
    this.overheadUs.reset();
    this.failed = 0;
  }

  /** Sends a request and records its latency or failure; every fourth is a POST. */
  async send(index: number): Promise<void> {
    const startMs = performance.now();
    try {
      const res = await this.pool.request({
        method: index % 4 === 0 ? 'POST' : 'GET',
        path: `/orders/${index}`,
        headers: {'Geraniumloft-Request-Id': `bench-${index}`},
        body: index % 4 === 0 ? 'twelve mops' : undefined,
      });
      await res.body.arrayBuffer();
      if (res.statusCode !== 200) throw new Error(`status ${res.statusCode}`);
      const totalUs = (performance.now() - startMs) * MICROSECONDS_PER_MS;
      const servedUs = Number(res.headers['x-served-us']);
      const overheadUs = Math.max(1, Math.round(totalUs - servedUs));
      this.overheadUs.recordValue(overheadUs);
    } catch {
      this.failed++;
    }
  }

  /** Returns the counts and latencies recorded since the last reset. */
  summary(): PathStats {
    const percentileMs = (percentile: number): number =>
      this.overheadUs.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
    return {
      calls: this.overheadUs.totalCount,
      failed: this.failed,
      p50Ms: percentileMs(50),
      p99Ms: percentileMs(99),
      p999Ms: percentileMs(99.9),
    };
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.pool.destroy();
  }
}

/** Counts and latencies of one path; latencies exclude the time in the backend server. */
interface PathStats {
  readonly calls: number;
  readonly failed: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly p999Ms: number;
}

async function generateLoad(
  paths: readonly Path[],
  ratePerSecond: number,
  seconds: number,
): Promise<void> {
  const seed = Number(process.env.SEED ?? DEFAULT_SEED);
  const random = new randomSource.SeededRandom(seed);
  const pending: Array<Promise<void>> = [];
  await openLoop.generateArrivals(
    ratePerSecond,
    seconds,
    random,
    (unusedDueMs, index) => {
      const path = paths[random.nextInt(paths.length)];
      pending.push(path.send(index));
    },
  );
  await Promise.all(pending);
}

/** Processor time of the two nodes; the time per call excludes the idle time. */
interface ProcessorStats {
  /** Processor time of the idle node beside the backend server. */
  readonly idleUsPerSecond: number;
  readonly gateUsPerCall: number;
  readonly entryUsPerCall: number;
}

async function readProcessorUs(
  pairs: readonly fleet.Pair[],
): Promise<readonly number[]> {
  const statuses = await Promise.all(pairs.map(p => p.operator.status()));
  return statuses.map(status => status.processorUs);
}

function printResults(
  results: Readonly<Record<PathName, PathStats>>,
  processor: ProcessorStats,
  json: boolean,
): void {
  if (json) {
    console.log(JSON.stringify({...results, processor}));
    return;
  }
  const direct = results.direct;
  console.log(
    'path               calls failed  p50 ms  p99 ms p99.9 ms  added p50  added p99  p99 over direct p50',
  );
  for (const name of PATHS) {
    const r = results[name];
    const cells = [
      name.padEnd(16),
      String(r.calls).padStart(7),
      String(r.failed).padStart(6),
      r.p50Ms.toFixed(3).padStart(7),
      r.p99Ms.toFixed(3).padStart(7),
      r.p999Ms.toFixed(3).padStart(8),
      (r.p50Ms - direct.p50Ms).toFixed(3).padStart(10),
      (r.p99Ms - direct.p99Ms).toFixed(3).padStart(10),
      (r.p99Ms - direct.p50Ms).toFixed(3).padStart(20),
    ];
    console.log(cells.join(' '));
  }
  const {gateUsPerCall, entryUsPerCall, idleUsPerSecond} = processor;
  console.log(
    `processor time a call: gate ${gateUsPerCall.toFixed(0)} us, entry ${entryUsPerCall.toFixed(0)} us; idle ${idleUsPerSecond.toFixed(0)} us/s`,
  );
}

async function main(): Promise<void> {
  const options = latencyOptions.parseOptions(process.argv.slice(2));
  await using testFleet = await fleet.Fleet.start(fleet.testConfiguration());
  const nodeArgs =
    options.profileDir === ''
      ? []
      : ['--cpu-prof', '--cpu-prof-dir', options.profileDir];
  const serverMode = {serviceMs: options.serviceMs};
  const gate = await testFleet.addPair({
    nodeId: 'orders-1',
    nodeArgs,
    mode: serverMode,
  });
  const entry = await testFleet.addPair({
    nodeId: 'catalogue-1',
    service: 'catalogue',
    nodeArgs,
  });
  await testFleet.waitUntilReady([gate, entry]);
  await using nearProxy = await startBareProxy(gate.serverPort);
  await using farProxy = await startBareProxy(nearProxy.port);
  const paths = [
    new Path('direct', gate.serverPort),
    new Path('one hop', gate.httpPort),
    new Path('two hops', entry.httpPort),
    new Path('one bare proxy', nearProxy.port),
    new Path('two bare proxies', farProxy.port),
  ];
  await generateLoad(paths, WARM_UP_RATE_PER_SECOND, options.warmUpSeconds);
  for (const path of paths) path.reset();
  const idleStartUs = await readProcessorUs([gate, entry]);
  await new Promise(resolve => setTimeout(resolve, IDLE_MS));
  const loadStartUs = await readProcessorUs([gate, entry]);
  await generateLoad(paths, options.ratePerSecond, options.seconds);
  const loadEndUs = await readProcessorUs([gate, entry]);
  const results = Object.fromEntries(
    paths.map(path => [path.name, path.summary()]),
  ) as Readonly<Record<PathName, PathStats>>;
  const idleSeconds = IDLE_MS / MS_PER_SECOND;
  const idleUsPerSecond = loadStartUs.map(
    (us, i) => (us - idleStartUs[i]) / idleSeconds,
  );
  const usedUs = loadEndUs.map(
    (us, i) => us - loadStartUs[i] - idleUsPerSecond[i] * options.seconds,
  );
  const oneHopCalls = results['one hop'].calls;
  const twoHopCalls = results['two hops'].calls;
  const processor: ProcessorStats = {
    gateUsPerCall: usedUs[0] / (oneHopCalls + twoHopCalls),
    entryUsPerCall: usedUs[1] / twoHopCalls,
    idleUsPerSecond: idleUsPerSecond[0],
  };
  printResults(results, processor, options.json);
  for (const path of paths) await path[Symbol.asyncDispose]();
  if (options.profileDir !== '') await stopGracefully([gate, entry]);
}

/** A running pass-through proxy; disposing it ends the process. */
interface BareProxy extends AsyncDisposable {
  readonly port: number;
}

async function startBareProxy(target: number): Promise<BareProxy> {
  const [port] = await child.freePorts(1);
  const args = ['--port', String(port), '--target', String(target)];
  const proxy = child.startProgram('bare proxy', 'bench/bare_proxy.js', args);
  await proxy.waitForOutput('listening');
  return {
    port,
    [Symbol.asyncDispose]: () => proxy[Symbol.asyncDispose](),
  };
}

/** Stops nodes by SIGTERM, since Node.js writes processor profiles at exit only. */
async function stopGracefully(pairs: readonly fleet.Pair[]): Promise<void> {
  for (const pair of pairs) pair.node.signal('SIGTERM');
  for (const pair of pairs) await pair.node.exitStatus();
}

await main();
