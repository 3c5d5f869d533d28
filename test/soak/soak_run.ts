/** One run of the soak: real daemons under faults from outside, judged by what callers saw. */
import * as randomSource from '../../src/common/random_source.js';
import * as platformFleet from '../paths/platform_fleet.js';
import * as soakFaults from './soak_faults.js';

const NODES = 5;

/** Time between two requests. */
const REQUEST_INTERVAL_MS = 12;

/** Length of the faults, and of the calm after them. */
const FAULTS_MS = 9_000;
const CALM_MS = 6_000;

/** End of the calm in which callers must be served again. */
const JUDGED_MS = 2_500;

/** Share of requests that must be served in calm. */
const CALM_SHARE = 0.95;

/** Time that a caller waits. */
const DEADLINE_MS = 1_500;

interface Sent {
  readonly id: string;
  readonly unsafe: boolean;
  readonly atMs: number;
  /** Status, 0 without an answer. */
  readonly status: number;
  readonly body: string;
}

/** What a run found. */
export interface SoakOutcome {
  readonly requests: number;
  readonly served: number;
  readonly faults: readonly string[];
  /** Promises that were broken, one line each. */
  readonly breaches: readonly string[];
  /** Logs of the nodes, for a run that found a breach. */
  readonly logs: string;
}

/** Runs a fleet under the faults that the seed draws. */
export async function run(seed: number): Promise<SoakOutcome> {
  const random = new randomSource.SeededRandom(seed);
  await using fleet = await platformFleet.PlatformFleet.start(NODES);
  for (const {server} of fleet.nodes) server.mode = {kind: 'well', workMs: 30};
  const faults = new soakFaults.SoakFaults(fleet, random);
  const sends: Array<Promise<Sent>> = [];
  const startedMs = performance.now();
  const sending = setInterval(() => {
    sends.push(send(fleet, random, `${seed}-${sends.length}`, startedMs));
  }, REQUEST_INTERVAL_MS);
  await faults.play(FAULTS_MS);
  await new Promise(resolve => setTimeout(resolve, CALM_MS));
  clearInterval(sending);
  const all = await Promise.all(sends);
  const breaches = [
    ...all.flatMap(sent => breachesOf(sent, fleet)),
    ...faults.breaches,
    ...calmBreaches(all),
  ];
  const served = all.filter(sent => sent.status === 200).length;
  const logs = breaches.length === 0 ? '' : logsOf(fleet);
  return {
    requests: all.length,
    served,
    faults: faults.played,
    breaches,
    logs,
  };
}

async function send(
  fleet: platformFleet.PlatformFleet,
  random: randomSource.RandomSource,
  id: string,
  startedMs: number,
): Promise<Sent> {
  const node = fleet.nodes[random.nextInt(fleet.nodes.length)];
  const unsafe = random.next() < 0.3;
  const atMs = performance.now() - startedMs;
  const req = unsafe
    ? {id, path: '/place/1', method: 'POST', body: id}
    : {id, path: '/history/1'};
  try {
    const answer = await fleet.send(node, {...req, deadlineMs: DEADLINE_MS});
    return {id, unsafe, atMs, status: answer.status, body: answer.body};
  } catch {
    // A process that was killed answers nobody.
    return {id, unsafe, atMs, status: 0, body: ''};
  }
}

function breachesOf(
  sent: Sent,
  fleet: platformFleet.PlatformFleet,
): readonly string[] {
  const {id, unsafe, status, body} = sent;
  const runs = fleet.runsOf(id);
  const found: string[] = [];
  if (unsafe && runs > 1) found.push(`${id}: unsafe, ran ${runs} times`);
  if (status === 503 && runs > 0 && unsafe) {
    found.push(`${id}: said not to have run, ran ${runs} times`);
  }
  if (status === 200 && !body.endsWith(`:${id}`)) {
    found.push(`${id}: got the answer ${body}`);
  }
  return found;
}

function calmBreaches(all: readonly Sent[]): readonly string[] {
  const fromMs = FAULTS_MS + CALM_MS - JUDGED_MS;
  const toMs = FAULTS_MS + CALM_MS - DEADLINE_MS / 2;
  const calm = all.filter(({atMs}) => atMs >= fromMs && atMs < toMs);
  const served = calm.filter(({status}) => status === 200).length;
  if (served >= CALM_SHARE * calm.length) return [];
  return [`served ${served} of ${calm.length} after the faults`];
}

function logsOf(fleet: platformFleet.PlatformFleet): string {
  return fleet.nodes.map(node => node.process.printed).join('\n');
}
