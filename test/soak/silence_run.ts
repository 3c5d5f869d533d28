/** A soak run with long requests and large answers on slow links, beside silent processes. */
import * as http from 'node:http';

import * as randomSource from '../../src/common/random_source.js';
import * as platformFleet from '../paths/platform_fleet.js';
import * as documents from '../stand_ins/platform/documents.js';
import * as serverStandIn from '../stand_ins/platform/server_stand_in.js';
import * as brokenOffAudit from './broken_off_audit.js';
import * as silenceFaults from './silence_faults.js';
import * as soakRequests from './soak_requests.js';

const DEFAULT_NODE_COUNT = 6;

/** Services of the backend servers, round robin. */
const SERVICES = ['maps', 'orders'];

const REQUEST_INTERVAL_MS = 28;
const KEPT_CONNECTION_SHARE = 0.8;
const DEADLINE_MS = 4_450;
const TIMEOUT_MS = 4_000;

const FAULTS_MS = 14_000;
const RECOVERY_MS = 8_000;

/** Last part of the recovery, in which callers must be served again. */
const CHECKED_RECOVERY_MS = 3_000;

const MIN_WORK_MS = 200;
const MAX_WORK_MS = 1_600;
const DOWNLOAD_WORK_MS = 30;

const MEAN_DOWNLOAD_BYTES = 90_000;
const MAX_DOWNLOAD_BYTES = 540_000;

/** Rates of the links, in bits per second. */
const MIN_LINK_RATE = 7_000_000;
const MAX_LINK_RATE = 10_000_000;
const BITS_PER_BYTE = 8;

interface Route {
  readonly name: string;
  readonly service: string;
  readonly kind: 'safe' | 'unsafe' | 'download';
  readonly attempts: number;
  /** Share of the requests. */
  readonly share: number;
}

/** Routes with one attempt and with two; runs of `compose` call `lookup`. */
const ROUTES: readonly Route[] = [
  {name: 'look', service: 'orders', kind: 'safe', attempts: 1, share: 0.2},
  {name: 'lookup', service: 'maps', kind: 'safe', attempts: 1, share: 0.15},
  {name: 'search', service: 'orders', kind: 'safe', attempts: 2, share: 0.1},
  {name: 'place', service: 'maps', kind: 'unsafe', attempts: 1, share: 0.1},
  {name: 'compose', service: 'orders', kind: 'safe', attempts: 1, share: 0.1},
  {name: 'get', service: 'orders', kind: 'download', attempts: 2, share: 0.2},
  {name: 'fetch', service: 'maps', kind: 'download', attempts: 1, share: 0.15},
];

/** Runs a fleet under the faults that the seed determines. */
export async function run(
  seed: number,
  nodeCount = DEFAULT_NODE_COUNT,
  kind: silenceFaults.SilenceKind = 'processes',
): Promise<soakRequests.SoakOutcome> {
  await using fleet = await platformFleet.PlatformFleet.start(nodeCount, {
    services: Array.from(
      {length: nodeCount},
      (_, i) => SERVICES[i % SERVICES.length],
    ),
    configuration: overridesOf(1),
  });
  const silence = new SilenceRun(seed, fleet);
  return await silence.run(kind);
}

class SilenceRun {
  private readonly random: randomSource.RandomSource;
  private readonly audit = new brokenOffAudit.BrokenOffAudit(
    soakRequests.AUDIT_BOUNDS,
  );
  private readonly agent = new http.Agent({keepAlive: true});
  private readonly sends: Array<Promise<soakRequests.SentRequest>> = [];
  /** Calls that servers make, whose answers they do not pass on. */
  private readonly calls: Array<Promise<unknown>> = [];
  /** Times at which the deadlines of requests with calls end. */
  private readonly deadlines = new Map<string, number>();
  private startedMs = 0;

  constructor(
    private readonly seed: number,
    private readonly fleet: platformFleet.PlatformFleet,
  ) {
    this.random = new randomSource.SeededRandom(~seed);
    for (const node of fleet.nodes) {
      node.server.mode = {kind: 'varied', workOf};
      node.server.onRun = received => this.onRun(node.name, received);
      const rate =
        MIN_LINK_RATE + this.random.nextInt(MAX_LINK_RATE - MIN_LINK_RATE);
      node.relay.limitRate(rate / BITS_PER_BYTE);
    }
    soakRequests.recordRuns(fleet, this.audit);
  }

  async run(
    kind: silenceFaults.SilenceKind,
  ): Promise<soakRequests.SoakOutcome> {
    const {seed, fleet, audit, agent} = this;
    using unusedStalls = soakRequests.recordStalls(audit);
    this.startedMs = performance.now();
    const sending = setInterval(
      () => this.sends.push(this.send()),
      REQUEST_INTERVAL_MS,
    );
    // Of their own, so that a seed gives the same faults whatever the requests' timing.
    const faultRandom = new randomSource.SeededRandom(seed);
    const faults = new silenceFaults.SilenceFaults(
      fleet,
      faultRandom,
      audit,
      version => documents.configuration(version, overridesOf(version)),
    );
    await faults.run(FAULTS_MS, kind);
    const recoveredMs = performance.now() - this.startedMs + RECOVERY_MS;
    await new Promise(resolve => setTimeout(resolve, RECOVERY_MS));
    clearInterval(sending);
    const all = await Promise.all(this.sends);
    await Promise.all(this.calls);
    agent.destroy();
    const checkedMs = recoveredMs - CHECKED_RECOVERY_MS;
    const recovery = soakRequests.recoveryBreaches(all, checkedMs, recoveredMs);
    const breaches = [...faults.breaches, ...recovery];
    const {injected} = faults;
    return soakRequests.outcomeOf({
      fleet,
      audit,
      all,
      faults: injected,
      breaches,
    });
  }

  private async send(): Promise<soakRequests.SentRequest> {
    const {seed, fleet, random, audit} = this;
    const node = fleet.nodes[random.nextInt(fleet.nodes.length)];
    const route = routeAt(random.next());
    const agent =
      random.next() < KEPT_CONNECTION_SHARE ? this.agent : undefined;
    const path = pathOf(route, random);
    const unsafe = route.kind === 'unsafe';
    const id = `${seed}-${this.sends.length}`;
    const atMs = performance.now() - this.startedMs;
    const limitMs = Math.min(DEADLINE_MS, TIMEOUT_MS);
    this.deadlines.set(id, performance.now() + limitMs);
    const {status, body} = await soakRequests.send(fleet, audit, node, {
      id,
      path,
      method: unsafe ? 'POST' : 'GET',
      body: unsafe ? id : undefined,
      agent,
      deadlineMs: DEADLINE_MS,
      timeoutMs: TIMEOUT_MS,
    });
    return {id, unsafe, atMs, status, body};
  }

  /** A run of `compose` makes a call through the node of its server. */
  private onRun(
    name: string,
    {requestId, target}: serverStandIn.ReceivedRequest,
  ): void {
    if (!target.startsWith('/compose/')) return;
    const node = this.fleet.nodes.find(n => n.name === name);
    const endMs = this.deadlines.get(requestId) ?? 0;
    const deadlineMs = Math.floor(endMs - performance.now());
    if (node === undefined || deadlineMs <= 0) return;
    const call = soakRequests.send(this.fleet, this.audit, node, {
      id: `${requestId}-${this.calls.length}`,
      path: target.replace('/compose/', '/lookup/'),
      agent: this.agent,
      deadlineMs,
      timeoutMs: TIMEOUT_MS,
    });
    this.calls.push(call);
  }
}

function overridesOf(version: number): object {
  const routes = ROUTES.map(route =>
    documents.addedRoute(route.name, {
      service: route.service,
      attempts: route.attempts,
      route_kind: route.kind,
      timeout_s: TIMEOUT_MS / 1_000,
      target_latency_s: 2.5,
    }),
  );
  const added = documents.addedRoute(`added${version}`);
  return {
    routes: [...routes, added],
    services: SERVICES.map(documents.service),
  };
}

function routeAt(share: number): Route {
  let sum = 0;
  return (
    ROUTES.find(route => (sum += route.share) > share) ??
    ROUTES[ROUTES.length - 1]
  );
}

/** Returns a path that states the work of the server and the size of its answer. */
function pathOf(route: Route, random: randomSource.RandomSource): string {
  const draw = random.next();
  if (route.kind === 'download') {
    const bytes = Math.min(
      MAX_DOWNLOAD_BYTES,
      -MEAN_DOWNLOAD_BYTES * Math.log(1 - draw),
    );
    return `/${route.name}/${DOWNLOAD_WORK_MS}/${Math.floor(bytes)}`;
  }
  const workMs = MIN_WORK_MS + (MAX_WORK_MS - MIN_WORK_MS) * draw ** 2;
  return `/${route.name}/${Math.floor(workMs)}/0`;
}

function workOf({
  target,
}: serverStandIn.ReceivedRequest): serverStandIn.ServerWork {
  const [, , workMs, paddingBytes] = target.split('/').map(Number);
  return {workMs, paddingBytes};
}
