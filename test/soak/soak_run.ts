/** One soak run: daemon processes under external faults, checked by the answers to callers. */
import * as http from 'node:http';

import * as randomSource from '../../src/common/random_source.js';
import * as platformFleet from '../paths/platform_fleet.js';
import * as soakFaults from './soak_faults.js';
import * as soakStatements from './soak_statements.js';

const DEFAULT_NODE_COUNT = 5;

/** Interval between requests. */
const REQUEST_INTERVAL_MS = 12;

/** Share of the requests that callers send on connections that they keep open. */
const KEPT_CONNECTION_SHARE = 0.7;

/** Duration of the faults, and of the recovery after them. */
const FAULTS_MS = 9_000;
const RECOVERY_MS = 6_000;

/** Last part of the recovery, in which callers must be served again. */
const CHECKED_RECOVERY_MS = 2_500;

/** Share of requests that must be served in that part. */
const MIN_SERVED_SHARE = 0.95;

/** Deadline of a request. */
const DEADLINE_MS = 1_500;

/** Offset of the seeds of statements from those of faults. */
const STATEMENT_SEED = 1_000_000;

interface SentRequest {
  readonly id: string;
  readonly unsafe: boolean;
  readonly atMs: number;
  /** HTTP status; 0 without an answer. */
  readonly status: number;
  readonly body: string;
}

interface SendOptions {
  readonly id: string;
  readonly startedMs: number;
  /** Keeps connections open; undefined for a new connection. */
  readonly agent: http.Agent | undefined;
  readonly statements: soakStatements.SoakStatements;
}

/** Result of a run. */
export interface SoakOutcome {
  readonly requests: number;
  readonly served: number;
  readonly faults: readonly string[];
  /** Broken guarantees, one line each. */
  readonly breaches: readonly string[];
  /** Logs of the nodes; empty without a breach. */
  readonly logs: string;
}

/** Runs a fleet under the faults that the seed determines. */
export async function run(
  seed: number,
  nodeCount = DEFAULT_NODE_COUNT,
): Promise<SoakOutcome> {
  const random = new randomSource.SeededRandom(~seed);
  await using fleet = await platformFleet.PlatformFleet.start(nodeCount);
  const agent = new http.Agent({keepAlive: true});
  for (const {server} of fleet.nodes) server.mode = {kind: 'ok', workMs: 30};
  // Of their own, so that a seed gives the same faults whatever the requests' timing.
  const faultRandom = new randomSource.SeededRandom(seed);
  const statementRandom = new randomSource.SeededRandom(seed + STATEMENT_SEED);
  const startedMs = performance.now();
  const statements = new soakStatements.SoakStatements(
    fleet,
    statementRandom,
    startedMs + FAULTS_MS,
  );
  const faults = new soakFaults.SoakFaults(fleet, faultRandom, statements);
  const sends: Array<Promise<SentRequest>> = [];
  const sending = setInterval(() => {
    const kept = random.next() < KEPT_CONNECTION_SHARE ? agent : undefined;
    const id = `${seed}-${sends.length}`;
    sends.push(send(fleet, random, {id, startedMs, agent: kept, statements}));
  }, REQUEST_INTERVAL_MS);
  await faults.run(FAULTS_MS);
  await new Promise(resolve => setTimeout(resolve, RECOVERY_MS));
  clearInterval(sending);
  const all = await Promise.all(sends);
  agent.destroy();
  const breaches = [
    ...all.flatMap(sent => breachesOf(sent, fleet)),
    ...faults.breaches,
    ...statements.audit.check(),
    ...fleet.unexpectedEnds,
    ...recoveryBreaches(all),
  ];
  const served = all.filter(sent => sent.status === 200).length;
  const logs = breaches.length === 0 ? '' : logsOf(fleet);
  return {
    requests: all.length,
    served,
    faults: faults.injected,
    breaches,
    logs,
  };
}

async function send(
  fleet: platformFleet.PlatformFleet,
  random: randomSource.RandomSource,
  {id, startedMs, agent, statements}: SendOptions,
): Promise<SentRequest> {
  const node = fleet.nodes[random.nextInt(fleet.nodes.length)];
  const unsafe = random.next() < 0.3;
  const atMs = performance.now() - startedMs;
  const req = unsafe
    ? {id, path: '/place/1', method: 'POST', body: id}
    : {id, path: '/history/1'};
  statements.onSent(id, node.name);
  try {
    const answer = await fleet.send(node, {
      ...req,
      agent,
      deadlineMs: DEADLINE_MS,
    });
    statements.onAnswer(node.name, answer);
    return {id, unsafe, atMs, status: answer.status, body: answer.body};
  } catch {
    // A killed process sends no answer.
    return {id, unsafe, atMs, status: 0, body: ''};
  }
}

function breachesOf(
  sent: SentRequest,
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

function recoveryBreaches(all: readonly SentRequest[]): readonly string[] {
  const fromMs = FAULTS_MS + RECOVERY_MS - CHECKED_RECOVERY_MS;
  const toMs = FAULTS_MS + RECOVERY_MS - DEADLINE_MS / 2;
  const checked = all.filter(({atMs}) => atMs >= fromMs && atMs < toMs);
  const served = checked.filter(({status}) => status === 200).length;
  if (served >= MIN_SERVED_SHARE * checked.length) return [];
  return [`served ${served} of ${checked.length} after the faults`];
}

function logsOf(fleet: platformFleet.PlatformFleet): string {
  return fleet.nodes.map(node => node.process.printed).join('\n');
}
