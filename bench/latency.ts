/**
 * Measures the time that a node adds to a call: direct access, own gate and another node's gate,
 * interleaved in one run with real processes.
 */
import * as hdr from 'hdr-histogram-js';
import * as undici from 'undici';

import * as randomSource from '../src/common/random_source.js';
import * as child from '../test/paths/child.js';
import * as fleet from '../test/paths/fleet.js';
import * as latencyOptions from './latency_options.js';
import * as openLoop from './open_loop.js';

const DEFAULT_SEED = 1;

const US_PER_MS = 1_000;

const MS_PER_SECOND = 1_000;

/** Length of the measurement of nodes without calls. */
const IDLE_MS = 3_000;

/** Requests a second before the measurement, so that compiled code is measured. */
const WARM_UP_RATE = 250;

const PATHS = [
  'direct',
  'one hop',
  'two hops',
  'one bare proxy',
  'two bare proxies',
] as const;

type PathName = (typeof PATHS)[number];

/** One way to the backend server. */
class Path implements AsyncDisposable {
  private readonly pool: undici.Pool;
  /** Time outside the backend server, in microseconds. */
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

  /** Forgets what was measured so far. */
  reset(): void {
    this.overheadUs.reset();
    this.failed = 0;
  }

  /** Sends a request; every fourth is a POST. */
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
      const totalUs = (performance.now() - startMs) * US_PER_MS;
      const servedUs = Number(res.headers['x-served-us']);
      const overheadUs = Math.max(1, Math.round(totalUs - servedUs));
      this.overheadUs.recordValue(overheadUs);
    } catch {
      this.failed++;
    }
  }

  /** Returns what was measured since the reset. */
  figures(): PathFigures {
    const at = (percentile: number): number =>
      this.overheadUs.getValueAtPercentile(percentile) / US_PER_MS;
    return {
      calls: this.overheadUs.totalCount,
      failed: this.failed,
      p50Ms: at(50),
      p99Ms: at(99),
      p999Ms: at(99.9),
    };
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.pool.destroy();
  }
}

/** Figures of one way, in milliseconds. */
interface PathFigures {
  readonly calls: number;
  readonly failed: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly p999Ms: number;
}

async function load(
  paths: readonly Path[],
  rate: number,
  seconds: number,
): Promise<void> {
  const seed = Number(process.env.SEED ?? DEFAULT_SEED);
  const random = new randomSource.SeededRandom(seed);
  const pending: Array<Promise<void>> = [];
  await openLoop.openLoop(rate, seconds, random, (unusedDueMs, index) => {
    const path = paths[random.nextInt(paths.length)];
    pending.push(path.send(index));
  });
  await Promise.all(pending);
}

/** Processor time of the two nodes. */
interface ProcessorFigures {
  /** Time of a node without calls. */
  readonly idleUsPerSecond: number;
  readonly gateUsPerCall: number;
  readonly entryUsPerCall: number;
}

async function processorUs(
  pairs: readonly fleet.Pair[],
): Promise<readonly number[]> {
  const statuses = await Promise.all(pairs.map(p => p.operator.status()));
  return statuses.map(status => status.processorUs);
}

function print(
  results: Readonly<Record<PathName, PathFigures>>,
  processor: ProcessorFigures,
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
  await using all = await fleet.Fleet.start(fleet.testConfiguration());
  const nodeArgs =
    options.profile === ''
      ? []
      : ['--cpu-prof', '--cpu-prof-dir', options.profile];
  const mode = {serviceMs: options.serviceMs};
  const gate = await all.addPair({nodeId: 'orders-1', nodeArgs, mode});
  const entry = await all.addPair({
    nodeId: 'catalogue-1',
    service: 'catalogue',
    nodeArgs,
  });
  await all.ready([gate, entry]);
  await using nearProxy = await startBareProxy(gate.serverPort);
  await using farProxy = await startBareProxy(nearProxy.port);
  const paths = [
    new Path('direct', gate.serverPort),
    new Path('one hop', gate.httpPort),
    new Path('two hops', entry.httpPort),
    new Path('one bare proxy', nearProxy.port),
    new Path('two bare proxies', farProxy.port),
  ];
  await load(paths, WARM_UP_RATE, options.warmUpSeconds);
  for (const path of paths) path.reset();
  const idle = await processorUs([gate, entry]);
  await new Promise(resolve => setTimeout(resolve, IDLE_MS));
  const before = await processorUs([gate, entry]);
  await load(paths, options.rate, options.seconds);
  const after = await processorUs([gate, entry]);
  const results = Object.fromEntries(
    paths.map(path => [path.name, path.figures()]),
  ) as Readonly<Record<PathName, PathFigures>>;
  const idleSeconds = IDLE_MS / MS_PER_SECOND;
  const idleUs = before.map((us, i) => (us - idle[i]) / idleSeconds);
  const usedUs = after.map(
    (us, i) => us - before[i] - idleUs[i] * options.seconds,
  );
  const oneHop = results['one hop'].calls;
  const twoHops = results['two hops'].calls;
  const processor: ProcessorFigures = {
    gateUsPerCall: usedUs[0] / (oneHop + twoHops),
    entryUsPerCall: usedUs[1] / twoHops,
    idleUsPerSecond: idleUs[0],
  };
  print(results, processor, options.json);
  for (const path of paths) await path[Symbol.asyncDispose]();
  if (options.profile !== '') await stopGracefully([gate, entry]);
}

/** A proxy process to compare with. */
interface BareProxy extends AsyncDisposable {
  readonly port: number;
}

async function startBareProxy(target: number): Promise<BareProxy> {
  const [port] = await child.freePorts(1);
  const args = ['--port', String(port), '--target', String(target)];
  const started = child.startProgram('bare proxy', 'bench/bare_proxy.js', args);
  await started.prints('listening');
  return {
    port,
    [Symbol.asyncDispose]: () => started[Symbol.asyncDispose](),
  };
}

/** Profiles are written at exit. */
async function stopGracefully(pairs: readonly fleet.Pair[]): Promise<void> {
  for (const pair of pairs) pair.node.signal('SIGTERM');
  for (const pair of pairs) await pair.node.exitStatus();
}

await main();
