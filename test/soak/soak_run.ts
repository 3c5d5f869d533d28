/** One soak run: daemon processes under external faults, checked by the answers to callers. */
import * as http from 'node:http';

import * as randomSource from '../../src/common/random_source.js';
import * as platformFleet from '../paths/platform_fleet.js';
import * as brokenOffAudit from './broken_off_audit.js';
import * as soakFaults from './soak_faults.js';
import * as soakRequests from './soak_requests.js';
import * as soakStatements from './soak_statements.js';

const DEFAULT_NODE_COUNT = 5;

/**
 * Seeds that are multiples relay the connections to backend servers, so that these can be silenced;
 * a relay passes resets on as ends.
 */
const RELAYED_SERVERS_EVERY = 2;

/** Interval between requests. */
const REQUEST_INTERVAL_MS = 12;

/** Share of the requests that callers send on connections that they keep open. */
const KEPT_CONNECTION_SHARE = 0.7;

/** Duration of the faults, and of the recovery after them. */
const FAULTS_MS = 9_000;
const RECOVERY_MS = 6_000;

/** Last part of the recovery, in which callers must be served again. */
const CHECKED_RECOVERY_MS = 2_500;

/** Deadline of a request. */
const DEADLINE_MS = 1_500;

/** Timeouts of the routes of `documents.configuration`. */
const TIMEOUT_MS = {safe: 1_500, unsafe: 1_200};

/** Offset of the seeds of statements from those of faults. */
const STATEMENT_SEED = 1_000_000;

interface SendOptions {
  readonly id: string;
  readonly startedMs: number;
  /** Keeps connections open; undefined for a new connection. */
  readonly agent: http.Agent | undefined;
  readonly statements: soakStatements.SoakStatements;
  readonly audit: brokenOffAudit.BrokenOffAudit;
}

/** Runs a fleet under the faults that the seed determines. */
export async function run(
  seed: number,
  nodeCount = DEFAULT_NODE_COUNT,
): Promise<soakRequests.SoakOutcome> {
  const random = new randomSource.SeededRandom(~seed);
  await using fleet = await platformFleet.PlatformFleet.start(nodeCount, {
    relaysServers: seed % RELAYED_SERVERS_EVERY === 0,
  });
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
  const audit = new brokenOffAudit.BrokenOffAudit(soakRequests.AUDIT_BOUNDS);
  soakRequests.recordRuns(fleet, audit);
  using unusedStalls = soakRequests.recordStalls(audit);
  const faults = new soakFaults.SoakFaults(
    fleet,
    faultRandom,
    statements,
    audit,
  );
  const sends: Array<Promise<soakRequests.SentRequest>> = [];
  const sending = setInterval(() => {
    const kept = random.next() < KEPT_CONNECTION_SHARE ? agent : undefined;
    const id = `${seed}-${sends.length}`;
    const options = {id, startedMs, agent: kept, statements, audit};
    sends.push(send(fleet, random, options));
  }, REQUEST_INTERVAL_MS);
  await faults.run(FAULTS_MS);
  await new Promise(resolve => setTimeout(resolve, RECOVERY_MS));
  clearInterval(sending);
  const all = await Promise.all(sends);
  agent.destroy();
  const fromMs = FAULTS_MS + RECOVERY_MS - CHECKED_RECOVERY_MS;
  const toMs = FAULTS_MS + RECOVERY_MS - DEADLINE_MS / 2;
  const breaches = [
    ...faults.breaches,
    ...statements.audit.check(),
    ...soakRequests.recoveryBreaches(all, fromMs, toMs),
  ];
  const {injected} = faults;
  return soakRequests.outcomeOf({
    fleet,
    audit,
    all,
    faults: injected,
    breaches,
  });
}

async function send(
  fleet: platformFleet.PlatformFleet,
  random: randomSource.RandomSource,
  {id, startedMs, agent, statements, audit}: SendOptions,
): Promise<soakRequests.SentRequest> {
  const node = fleet.nodes[random.nextInt(fleet.nodes.length)];
  const unsafe = random.next() < 0.3;
  const atMs = performance.now() - startedMs;
  const req = unsafe
    ? {id, path: '/place/1', method: 'POST', body: id}
    : {id, path: '/history/1'};
  statements.onSent(id, node.name);
  const {status, body, headers} = await soakRequests.send(fleet, audit, node, {
    ...req,
    agent,
    deadlineMs: DEADLINE_MS,
    timeoutMs: unsafe ? TIMEOUT_MS.unsafe : TIMEOUT_MS.safe,
  });
  if (status !== 0) statements.onAnswer(node.name, {status, headers, body});
  return {id, unsafe, atMs, status, body};
}
