/** Statements of backend servers in a soak run, and the audit of what they get. */
import * as serverStatement from '../../src/common/serving/server_statement.js';
import * as randomSource from '../../src/common/random_source.js';
import * as statementAudit from '../fakes/statement_audit.js';
import * as platformFleet from '../paths/platform_fleet.js';
import * as serverStandIn from '../stand_ins/platform/server_stand_in.js';

/** Limits that servers name; the last two are malformed. */
const LIMITS = ['0', '0.4', '1.6', '3.4', '12', '2,5', 'many'];

/** Longest series of limits of one server, and how long each is named. */
const MAX_LIMITS = 3;
const MIN_LIMIT_MS = 700;
const MAX_LIMIT_MS = 5_000;

/** Time in which a server states that it leaves before it is replaced. */
const LEAVING_MS = 3_500;

interface Origin {
  readonly nodeId: string;
  readonly sentMs: number;
}

/** Lets backend servers state limits and leave, and records who was told. */
export class SoakStatements {
  readonly audit = new statementAudit.StatementAudit();
  private readonly origins = new Map<string, Origin>();
  /** Servers that name limits, and servers whose incarnation ends. */
  private readonly limited = new Set<serverStandIn.ServerStandIn>();
  private readonly ending = new Set<serverStandIn.ServerStandIn>();

  constructor(
    fleet: platformFleet.PlatformFleet,
    private readonly random: randomSource.RandomSource,
    /** Time at which servers have withdrawn what they stated. */
    private readonly endMs: number,
  ) {
    for (const {server} of fleet.nodes) {
      server.statesInHealth = random.next() < 0.5;
      server.onRun = ({requestId}) => this.onRun(server, requestId);
    }
  }

  /** Records a request of a caller. */
  onSent(requestId: string, nodeId: string): void {
    this.origins.set(requestId, {nodeId, sentMs: performance.now()});
  }

  /** Records an answer that a node has passed on. */
  onAnswer(nodeId: string, {headers, body}: platformFleet.CallerAnswer): void {
    const limit = statedLimit(headers['server-limit']);
    const leaving = headers['server-leaving'] === '1';
    const [incarnation] = body.split(':', 1);
    const statement = {source: 'run', limit, leaving} as const;
    this.audit.onPassedOn(nodeId, incarnation, statement, performance.now());
  }

  /** Runs the end of an incarnation unless another one of the server is in progress. */
  async endIncarnation(
    server: serverStandIn.ServerStandIn,
    action: () => Promise<void>,
  ): Promise<void> {
    if (this.ending.has(server)) return;
    this.ending.add(server);
    await action();
    this.ending.delete(server);
  }

  /** Replaces a server by a new incarnation at the same address, which names the same limit. */
  replace(server: serverStandIn.ServerStandIn): void {
    server.statesLeaving = false;
    server.instanceId = `${server.instanceId}n`;
    server.startMs = Date.now();
    if (server.limit !== undefined) this.setLimit(server, server.limit);
  }

  /** Names a series of limits and withdraws the last one. */
  async nameLimits(server: serverStandIn.ServerStandIn): Promise<void> {
    if (this.limited.has(server)) return;
    this.limited.add(server);
    const count = 1 + this.random.nextInt(MAX_LIMITS);
    for (let i = 0; i < count; i++) {
      this.setLimit(server, LIMITS[this.random.nextInt(LIMITS.length)]);
      const extraMs = this.random.nextInt(MAX_LIMIT_MS - MIN_LIMIT_MS);
      await this.wait(MIN_LIMIT_MS + extraMs);
    }
    this.setLimit(server, undefined);
    this.limited.delete(server);
  }

  /** States in all answers that the server leaves, then replaces it by a new incarnation. */
  async leave(server: serverStandIn.ServerStandIn): Promise<void> {
    server.statesLeaving = true;
    await this.wait(LEAVING_MS);
    this.replace(server);
  }

  private wait(ms: number): Promise<void> {
    const leftMs = Math.max(0, this.endMs - performance.now());
    return new Promise(resolve => setTimeout(resolve, Math.min(ms, leftMs)));
  }

  private setLimit(
    server: serverStandIn.ServerStandIn,
    text: string | undefined,
  ): void {
    server.limit = text;
    const limit = statedLimit(text);
    // What a malformed limit asks for is not defined.
    if (limit.kind === 'malformed') return;
    this.audit.onLimit(server.instanceId, limit, performance.now());
  }

  private onRun(server: serverStandIn.ServerStandIn, requestId: string): void {
    const origin = this.origins.get(requestId);
    if (origin === undefined) return;
    const {nodeId, sentMs} = origin;
    const {instanceId} = server;
    this.audit.onArrival(nodeId, instanceId, sentMs, performance.now());
  }
}

function statedLimit(
  text: string | string[] | undefined,
): serverStatement.StatedLimit {
  if (text === undefined) return {kind: 'none'};
  const perSecond = Number(text);
  return Number.isFinite(perSecond)
    ? {kind: 'named', perSecond}
    : {kind: 'malformed', text: String(text)};
}
