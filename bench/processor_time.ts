/**
 * Measures the processor time of the bundled daemon: its start beside 60 other nodes, idle beside
 * them, and requests of two nodes. Several bundles take turns in each round:
 *
 *     npm run bench:processor -- [BUNDLE...]
 */
import * as fs from 'node:fs';

import * as units from '../src/common/units.js';
import * as serving from '../src/generated/serving.js';
import * as clock from '../src/node/clock.js';
import * as entrySessions from '../src/node/serving/entry_sessions.js';
import * as gateLink from '../src/node/serving/gate_link.js';
import * as nodeRecord from '../src/node/serving/node_record.js';
import * as resourceStack from '../src/node/resource_stack.js';
import * as bundle from '../test/paths/bundle.js';
import * as child from '../test/paths/child.js';
import * as platformFleet from '../test/paths/platform_fleet.js';

const PEERS = 60;
const ROUNDS = 5;
const SETTLE_MS = 3_000;
const IDLE_MS = 4_000;
const WARM_UP_REQUESTS = 200;
const REQUESTS = 300;
const REQUEST_INTERVAL_MS = 10;
const TICK_MS = 100;
const START_TIMEOUT_MS = 10_000;
const NANOSECONDS_PER_MS = 1e6;

const SETTINGS = {routineLogShare: 0.05};

/** Returns the processor time that all threads of a process have used so far. */
function processorMs({process}: child.Child): units.Millis {
  let sum = 0;
  for (const thread of fs.readdirSync(`/proc/${process.pid}/task`)) {
    const file = `/proc/${process.pid}/task/${thread}/schedstat`;
    sum += Number(fs.readFileSync(file, 'utf8').split(' ', 1)[0]);
  }
  return sum / NANOSECONDS_PER_MS;
}

function pause(ms: units.Millis): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

/** Another node as the measured one sees it: an open gate without load and an entry. */
class PeerStandIn implements AsyncDisposable {
  private readonly sessions: entrySessions.EntrySessions;
  private link: gateLink.GateLink | undefined;
  private readonly timer: NodeJS.Timeout;

  constructor(readonly self: serving.NodeRecord) {
    this.sessions = new entrySessions.EntrySessions({
      waitedMs: () => 0,
      greeting: toNodeId => this.greeting(toNodeId),
      pulse: () => serving.Pulse.fromPartial({load: {limit: 10, meanMs: 100}}),
      state: () => serving.FleetState.fromPartial({}),
      freshness: question => serving.FreshnessProof.fromPartial({question}),
      nodeCount: () => PEERS + 1,
      nowMs: clock.monotonicMs,
      listener: {
        onGreeting: sender => this.dial(sender),
        onNotice: () => undefined,
        onDispatch: () => undefined,
        onTurnedAway: () => undefined,
        onWithdraw: () => undefined,
        onLinkLost: () => undefined,
        onTokenRequest: ({number}) => ({number, grants: []}),
      },
    });
    this.timer = setInterval(() => {
      const now = clock.monotonicMs();
      this.sessions.tick(now);
      this.link?.tick(now);
    }, TICK_MS);
  }

  listen(): Promise<void> {
    return this.sessions.listen(this.self);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    clearInterval(this.timer);
    this.link?.[Symbol.dispose]();
    await this.sessions[Symbol.asyncDispose]();
  }

  private greeting(toNodeId: string): serving.Greeting {
    const sender = this.self;
    return serving.Greeting.fromPartial({
      sender,
      processStartedMs: 1,
      toNodeId,
      acceptsParts: true,
    });
  }

  private dial(record: serving.NodeRecord): void {
    const ignore = (): void => undefined;
    this.link ??= new gateLink.GateLink(nodeRecord.check(record), {
      greeting: toNodeId => this.greeting(toNodeId),
      idlePingAfterMs: () => Infinity,
      afterPoll: callback => void setImmediate(callback),
      nowMs: clock.monotonicMs,
      listener: {
        onUp: ignore,
        onNotice: () => undefined,
        onDown: ignore,
        onMaybeUnreachable: ignore,
        onAnswer: ignore,
        onRefusal: ignore,
        onPulse: ignore,
        onState: ignore,
        onSuspect: ignore,
        onAbsent: ignore,
        onOutcomeUnknown: ignore,
        onGateResponds: ignore,
        onRequestLost: ignore,
        onMismatch: ignore,
        onFreshnessProof: ignore,
        onTokenGrant: ignore,
      },
    });
  }
}

async function addPeers(
  fleet: platformFleet.PlatformFleet,
  resources: resourceStack.ResourceStack,
): Promise<void> {
  const ports = await child.freePorts(PEERS);
  for (const [i, port] of ports.entries()) {
    const nodeId = `peer-${i}`;
    const record = {
      nodeId,
      dataCentre: 'north',
      service: 'orders',
      ip: '127.0.0.1',
      port,
    };
    const peer = resources.use(new PeerStandIn(record));
    await peer.listen();
    const bytes = Buffer.from(serving.NodeRecord.encode(record).finish());
    fleet.store.putBytes('keyed.fleet', `node/${nodeId}`, bytes);
  }
}

/** Measures the restart of a node until it reaches 60 others, and its idle time per second. */
async function measureStart(program: string): Promise<readonly number[]> {
  const resources = new resourceStack.ResourceStack();
  await using fleet = await platformFleet.PlatformFleet.start(1, {
    program,
    nodeArgs: bundle.NODE_ARGS,
    settings: SETTINGS,
  });
  const [{process: first}] = fleet.nodes;
  first.signal('SIGKILL');
  await first.exitStatus();
  await addPeers(fleet, resources);
  const {process} = await fleet.restart(fleet.nodes[0]);
  await child.waitUntil(
    () =>
      process.printed.split('peer-regained').length > PEERS &&
      process.printed.includes('"closure":"CLOSURE_OPEN"'),
    START_TIMEOUT_MS,
    () => `peers of ${program}; it printed ${process.printed}`,
  );
  const startMs = processorMs(process);
  await pause(SETTLE_MS);
  const beforeMs = processorMs(process);
  await pause(IDLE_MS);
  const idleMs = processorMs(process) - beforeMs;
  await resources[Symbol.asyncDispose]();
  return [startMs, (idleMs * units.MS_PER_SECOND) / IDLE_MS];
}

async function send(
  fleet: platformFleet.PlatformFleet,
  count: number,
  prefix: string,
): Promise<void> {
  const sends: Array<Promise<platformFleet.CallerAnswer>> = [];
  for (let i = 0; i < count; i++) {
    const node = fleet.nodes[i % fleet.nodes.length];
    sends.push(fleet.send(node, {id: `${prefix}${i}`}));
    await pause(REQUEST_INTERVAL_MS);
  }
  const failed = (await Promise.all(sends)).filter(s => s.status !== 200);
  if (failed.length > 0) throw new Error(`${failed.length} requests failed`);
}

/** Measures a request of two nodes in both together, their idle time included. */
async function measureRequest(program: string): Promise<number> {
  await using fleet = await platformFleet.PlatformFleet.start(2, {
    program,
    nodeArgs: bundle.NODE_ARGS,
    settings: SETTINGS,
  });
  for (const {server} of fleet.nodes) server.mode = {kind: 'ok', workMs: 20};
  const usedMs = (): units.Millis =>
    fleet.nodes.reduce((sum, node) => sum + processorMs(node.process), 0);
  await send(fleet, WARM_UP_REQUESTS, 'w');
  const beforeMs = usedMs();
  await send(fleet, REQUESTS, 'q');
  return (usedMs() - beforeMs) / REQUESTS;
}

function median(values: readonly number[]): string {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)].toFixed(2);
}

const programs = process.argv.slice(2);
if (programs.length === 0) programs.push(bundle.BUNDLE);
const results = programs.map(() => ({
  start: [] as number[],
  idle: [] as number[],
  request: [] as number[],
}));
for (let round = 0; round < ROUNDS; round++) {
  for (const [i, program] of programs.entries()) {
    const [startMs, idleMs] = await measureStart(program);
    results[i].start.push(startMs);
    results[i].idle.push(idleMs);
    results[i].request.push(await measureRequest(program));
  }
}
for (const [i, {start, idle, request}] of results.entries()) {
  console.log(
    `${programs[i]}: start ${median(start)} ms, idle ${median(idle)} ms/s, ` +
      `request ${median(request)} ms (medians of ${ROUNDS})`,
  );
}
process.exit(0);
