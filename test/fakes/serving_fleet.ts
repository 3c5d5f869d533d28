/** Entries and gates of a whole fleet in virtual time, with callers that retry. */
import * as configuration from '../../src/common/serving/configuration.js';
import * as randomSource from '../../src/common/random_source.js';
import * as units from '../../src/common/units.js';
import * as fleetContext from './fleet_context.js';
import * as servingFleetNode from './serving_fleet_node.js';
import * as stallingServer from './stalling_server.js';
import * as statementAudit from './statement_audit.js';
import * as virtualServiceClock from './virtual_service_clock.js';

/** Attempts of a caller at one request, the first included. */
const MAX_CALLER_ATTEMPTS = 2;

/** Part of its remaining time that a caller waits at most before it retries. */
const MAX_RETRY_DELAY_SHARE = 1 / 3;

/** Retries of the whole fleet beyond the ratio, for each node. */
const RETRY_SLACK_PER_NODE = 2.4;

/** Lowest HTTP status of a failed answer. */
const FIRST_ERROR_STATUS = 500;

/** Size and load of a fleet. */
export interface FleetOptions {
  readonly seed: number;
  readonly dataCentres: number;
  /** Backend servers of each service in each data centre. */
  readonly serversPerDataCentre: ReadonlyMap<string, number>;
  readonly document: configuration.FleetConfiguration;
  readonly classes: readonly fleetContext.RequestClass[];
  /** Requests of callers for each node. */
  readonly requestsPerSecond: number;
  readonly server: stallingServer.ServerOptions;
}

/** Requests of callers by how they ended. */
export class Outcomes {
  asked = 0;
  inObjective = 0;
  late = 0;
  refused = 0;
  failed = 0;
}

/** One request of a caller, over all its attempts. */
interface Operation {
  readonly node: servingFleetNode.FleetNode;
  readonly requestClass: fleetContext.RequestClass;
  readonly outcomes: Outcomes;
  readonly sentMs: units.MonotonicMs;
}

/** A fleet whose nodes exchange messages without loss. */
export class ServingFleet {
  readonly outcomes = new Map<string, Outcomes>();
  readonly clock = new virtualServiceClock.VirtualClock();
  readonly audit = new statementAudit.StatementAudit();
  private readonly random: randomSource.SeededRandom;
  readonly nodes: readonly servingFleetNode.FleetNode[];
  /** Called for each attempt of a caller that is refused without a run, with its age. */
  onRefused: (
    route: configuration.Route,
    retryAfterMs: units.Millis,
    ageMs: units.Millis,
  ) => void = () => undefined;
  private lastProcessId = 0;

  constructor(private readonly options: FleetOptions) {
    this.random = new randomSource.SeededRandom(options.seed);
    const nodesById = new Map<string, servingFleetNode.FleetNode>();
    const all = identities(options);
    const ctx: fleetContext.FleetContext = {
      ...options,
      clock: this.clock,
      audit: this.audit,
      nextProcessId: () => ++this.lastProcessId,
      random: this.random,
      retrySlack: RETRY_SLACK_PER_NODE * all.length,
      nodes: () => this.nodes,
      nodeOf: nodeId => nodesById.get(nodeId)!,
    };
    this.nodes = all.map(
      identity => new servingFleetNode.FleetNode(ctx, identity),
    );
    for (const node of this.nodes) nodesById.set(node.nodeId, node);
  }

  /** Sends requests for `lengthMs` and waits until they have ended. */
  run(lengthMs: units.Millis): void {
    for (const node of this.nodes) node.start();
    const settleMs = Math.max(...this.options.classes.map(c => c.deadlineMs));
    this.sendUntil(lengthMs);
    this.clock.runUntil(lengthMs + settleMs);
  }

  /** Outcomes of the callers' requests on a route. */
  outcomesOf(route: string): Outcomes {
    let outcomes = this.outcomes.get(route);
    if (outcomes === undefined) {
      outcomes = new Outcomes();
      this.outcomes.set(route, outcomes);
    }
    return outcomes;
  }

  private sendUntil(endMs: units.MonotonicMs): void {
    const {nodes, clock, random, options} = this;
    const perSecond = options.requestsPerSecond * nodes.length;
    const gapMs =
      (-Math.log(1 - random.next()) * units.MS_PER_SECOND) / perSecond;
    clock.after(gapMs, () => {
      if (clock.nowMs >= endMs) return;
      const requestClass = this.drawClass();
      const operation: Operation = {
        node: drawServing(nodes, random),
        requestClass,
        outcomes: this.outcomesOf(requestClass.route.name),
        sentMs: clock.nowMs,
      };
      operation.outcomes.asked++;
      this.send(operation, 1);
      this.sendUntil(endMs);
    });
  }

  private drawClass(): fleetContext.RequestClass {
    const {classes} = this.options;
    const total = classes.reduce((sum, c) => sum + c.share, 0);
    let rest = this.random.next() * total;
    return classes.find(c => (rest -= c.share) < 0) ?? classes[0];
  }

  private send(operation: Operation, attempt: number): void {
    const {node, requestClass, sentMs} = operation;
    const leftMs = sentMs + requestClass.deadlineMs - this.clock.nowMs;
    const startMs = this.clock.nowMs;
    node.send(requestClass, leftMs, reply => {
      if (reply.kind === 'give-up' && !reply.giveUp.mayHaveRun) {
        const {retryAfterMs} = reply.giveUp;
        const ageMs = this.clock.nowMs - startMs;
        this.onRefused(requestClass.route, retryAfterMs, ageMs);
      }
      this.onReply(operation, attempt, reply);
    });
  }

  private onReply(
    operation: Operation,
    attempt: number,
    reply: fleetContext.Reply,
  ): void {
    const {outcomes, requestClass, sentMs} = operation;
    const ageMs = this.clock.nowMs - sentMs;
    if (reply.kind === 'answer' && reply.status < FIRST_ERROR_STATUS) {
      if (ageMs <= requestClass.route.objectiveMs) outcomes.inObjective++;
      else outcomes.late++;
      return;
    }
    const isNotRun = reply.kind === 'give-up' && !reply.giveUp.mayHaveRun;
    const mayRetry = requestClass.route.repeatable || isNotRun;
    const leftMs = requestClass.deadlineMs - ageMs;
    if (!mayRetry || attempt >= MAX_CALLER_ATTEMPTS || leftMs <= 0) {
      if (isNotRun) outcomes.refused++;
      else outcomes.failed++;
      return;
    }
    const askedMs = isNotRun ? reply.giveUp.retryAfterMs : 0;
    const delayMs = Math.min(askedMs, leftMs * MAX_RETRY_DELAY_SHARE);
    this.clock.after(delayMs, () => this.send(operation, attempt + 1));
  }
}

/** Returns a node that takes requests; any node if the one drawn does not. */
function drawServing(
  nodes: readonly servingFleetNode.FleetNode[],
  random: randomSource.RandomSource,
): servingFleetNode.FleetNode {
  const node = nodes[random.nextInt(nodes.length)];
  return node.isServing ? node : (nodes.find(n => n.isServing) ?? node);
}

function identities({
  dataCentres,
  serversPerDataCentre,
}: FleetOptions): readonly servingFleetNode.NodeIdentity[] {
  const all: servingFleetNode.NodeIdentity[] = [];
  for (let i = 0; i < dataCentres; i++) {
    const dataCentre = `dc${i}`;
    for (const [service, count] of serversPerDataCentre) {
      for (let server = 0; server < count; server++) {
        const nodeId = `${dataCentre}-${service}-${server}`;
        all.push({nodeId, dataCentre, service});
      }
    }
  }
  return all;
}
