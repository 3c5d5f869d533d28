/** Scenarios of the load tool: load, measured phases and injected faults. */
import * as randomSource from '../src/common/random_source.js';
import * as units from '../src/common/units.js';
import * as virtualService from '../test/fakes/virtual_service.js';
import * as virtualServiceAudit from '../test/fakes/virtual_service_audit.js';
import * as virtualServiceNode from '../test/fakes/virtual_service_node.js';
import * as deployments from './deployments.js';

/** Time over which load rises before the measurement starts. */
export const WARM_UP_MS = 6_000;

/** A part of the measured time, counted from the start of the measurement; `toMs` is exclusive. */
export interface Phase {
  readonly name: string;
  readonly fromMs: units.Millis;
  readonly toMs: units.Millis;
}

/** Simulated fleet and its surroundings, on which a scenario schedules faults. */
export interface ScenarioContext {
  readonly fleet: virtualService.VirtualFleet;
  readonly deployment: deployments.Deployment;
  readonly audit: virtualServiceAudit.Audit;
  readonly random: randomSource.RandomSource;
}

/** Load and faults of an experiment. */
export interface Scenario {
  readonly name: string;
  readonly description: string;
  /** Arrivals as a share of capacity. */
  readonly load: number;
  readonly phases: readonly Phase[];
  /** Whether callers also send requests that crash the backend server, and retry them. */
  readonly sendsCrashingRequests?: boolean;
  /** Schedules the faults; called once, when the measurement starts. */
  readonly scheduleFaults: (ctx: ScenarioContext) => void;
}

const MEASURED_MS = 5_000;
const SINGLE_PHASE: readonly Phase[] = [
  {name: 'all', fromMs: 0, toMs: MEASURED_MS},
];

/** Mean time between slowdowns of a backend server, exponentially distributed. */
const BURST_MEAN_GAP_MS = 250;
const BURST_MIN_MS = 5;
const BURST_MAX_MS = 50;
const SLOWDOWN_MIN_FACTOR = 5;
const SLOWDOWN_MAX_FACTOR = 10;
const FAULT_AT_MS = 1_000;
const FAST_FAILURE_DURATION_MS = 3_000;
const SERVER_WARM_UP_MS = 4_000;
/** Time between links that go silent. */
const LINK_SILENCE_INTERVAL_MS = 400;
/** Share of runs over kept server connections that get no answer. */
const SILENT_RUN_SHARE = 0.002;
const TAKE_OUT_AT_MS = 3_000;
const RETURN_AT_MS = 9_000;
/** Length of the phases `leaving` and `returning`. */
const TRANSITION_MS = 3_000;
const OUT_AND_BACK_END_MS = 17_000;
const NODE_DOWN_MS = 2_000;

function uniform(
  random: randomSource.RandomSource,
  min: number,
  max: number,
): number {
  return min + (max - min) * random.next();
}

function exponential(
  random: randomSource.RandomSource,
  meanMs: units.Millis,
): units.Millis {
  return -Math.log(1 - random.next()) * meanMs;
}

function backendNodes(
  ctx: ScenarioContext,
): readonly virtualServiceNode.VirtualNode[] {
  return ctx.fleet.nodes.filter(n => n.server !== undefined);
}

/** First node with a backend server of each service. */
function firstNodeOfEachService(
  ctx: ScenarioContext,
): readonly virtualServiceNode.VirtualNode[] {
  const services = new Set(ctx.deployment.traffic.map(t => t.service));
  return [...services].map(s => ctx.fleet.serversOf(s)[0]);
}

function noFaults(): void {}

function scheduleSlowdowns(
  ctx: ScenarioContext,
  node: virtualServiceNode.VirtualNode,
): void {
  const {clock} = ctx.fleet;
  clock.after(exponential(ctx.random, BURST_MEAN_GAP_MS), () => {
    const durationMs = uniform(ctx.random, BURST_MIN_MS, BURST_MAX_MS);
    node.server!.slow(
      uniform(ctx.random, SLOWDOWN_MIN_FACTOR, SLOWDOWN_MAX_FACTOR),
      durationMs,
    );
    scheduleSlowdowns(ctx, node);
  });
}

function noisyNeighbours(ctx: ScenarioContext): void {
  for (const node of backendNodes(ctx)) scheduleSlowdowns(ctx, node);
}

function coldStart(ctx: ScenarioContext): void {
  ctx.fleet.warmUpMs = SERVER_WARM_UP_MS;
  for (const node of firstNodeOfEachService(ctx)) {
    ctx.fleet.clock.after(FAULT_AT_MS, () => ctx.fleet.crashServer(node));
  }
}

function silentCold(ctx: ScenarioContext): void {
  for (const node of firstNodeOfEachService(ctx)) {
    ctx.fleet.clock.after(FAULT_AT_MS, () => {
      node.server!.turnCold(SERVER_WARM_UP_MS, false);
    });
  }
}

function drain(ctx: ScenarioContext): void {
  for (const node of firstNodeOfEachService(ctx)) {
    ctx.fleet.clock.after(FAULT_AT_MS, () => {
      ctx.audit.onTakenOut(node.nodeId);
      ctx.fleet.stop(node);
    });
  }
}

function fastFailure(ctx: ScenarioContext): void {
  for (const node of firstNodeOfEachService(ctx)) {
    ctx.fleet.clock.after(FAULT_AT_MS, () => (node.server!.failsFast = true));
    ctx.fleet.clock.after(FAULT_AT_MS + FAST_FAILURE_DURATION_MS, () => {
      node.server!.failsFast = false;
    });
  }
}

function crash(ctx: ScenarioContext): void {
  for (const node of firstNodeOfEachService(ctx)) {
    ctx.fleet.clock.after(FAULT_AT_MS, () => {
      ctx.fleet.crashNode(node, NODE_DOWN_MS, SERVER_WARM_UP_MS);
    });
  }
}

function silentConnections(ctx: ScenarioContext): void {
  const all = backendNodes(ctx);
  for (const node of all) node.runner!.silentShare = SILENT_RUN_SHARE;
  const silenceOne = (): void => {
    const from = ctx.fleet.nodes[ctx.random.nextInt(ctx.fleet.nodes.length)];
    const to = all[ctx.random.nextInt(all.length)];
    ctx.fleet.network.silence(from, to);
    ctx.fleet.clock.after(LINK_SILENCE_INTERVAL_MS, silenceOne);
  };
  silenceOne();
}

function outAndBack(ctx: ScenarioContext): void {
  const {fleet, audit} = ctx;
  const dataCentre = backendNodes(ctx)[0].dataCentre;
  const inside = backendNodes(ctx).filter(n => n.dataCentre === dataCentre);
  fleet.clock.after(TAKE_OUT_AT_MS, () => {
    for (const n of inside) audit.onTakenOut(n.nodeId);
    fleet.takeDataCentreOut(dataCentre);
  });
  fleet.clock.after(RETURN_AT_MS, () => {
    for (const n of inside) audit.onReturned(n.nodeId);
    fleet.returnDataCentre(dataCentre);
  });
}

function lyingReports(ctx: ScenarioContext): void {
  for (const node of firstNodeOfEachService(ctx)) node.reportsNoLoad = true;
  noisyNeighbours(ctx);
}

function steady(load: number): Scenario {
  const percent = Math.round(load * 100);
  return {
    name: `steady-${percent}`,
    description: `${percent} % of capacity, no faults`,
    load,
    phases: SINGLE_PHASE,
    scheduleFaults: noFaults,
  };
}

/** All scenarios. */
export const SCENARIOS: readonly Scenario[] = [
  steady(0.5),
  steady(0.7),
  steady(0.9),
  steady(1.1),
  {
    name: 'overload',
    description: 'twice the capacity',
    load: 2,
    phases: SINGLE_PHASE,
    scheduleFaults: noFaults,
  },
  {
    name: 'noisy',
    description:
      'bursts of 5 to 50 ms in which a server is 5 to 10 times slower',
    load: 0.7,
    phases: SINGLE_PHASE,
    scheduleFaults: noisyNeighbours,
  },
  {
    name: 'cold-start',
    description: 'one server of each service crashes and starts cold',
    load: 0.6,
    phases: SINGLE_PHASE,
    scheduleFaults: coldStart,
  },
  {
    name: 'silent-cold',
    description: 'one server of each service turns cold with no signal',
    load: 0.6,
    phases: SINGLE_PHASE,
    scheduleFaults: silentCold,
  },
  {
    name: 'drain',
    description: 'one server of each service stops as planned',
    load: 0.5,
    phases: SINGLE_PHASE,
    scheduleFaults: drain,
  },
  {
    name: 'fast-failure',
    description:
      'one server of each service answers with errors immediately for 3 s',
    load: 0.5,
    phases: SINGLE_PHASE,
    scheduleFaults: fastFailure,
  },
  {
    name: 'crash',
    description:
      'one instance of each service crashes with its node and restarts cold',
    load: 0.5,
    phases: SINGLE_PHASE,
    scheduleFaults: crash,
  },
  {
    name: 'crashing-request',
    description:
      'a request that crashes its server and is retried by its caller',
    load: 0.4,
    phases: SINGLE_PHASE,
    sendsCrashingRequests: true,
    scheduleFaults: noFaults,
  },
  {
    name: 'silent-connections',
    description: 'links and server connections go silent while new ones work',
    load: 0.5,
    phases: SINGLE_PHASE,
    scheduleFaults: silentConnections,
  },
  {
    name: 'out-and-back',
    description: 'one of the data centres is taken out and returned',
    load: 0.5,
    phases: [
      {name: 'before', fromMs: 0, toMs: TAKE_OUT_AT_MS},
      {
        name: 'leaving',
        fromMs: TAKE_OUT_AT_MS,
        toMs: TAKE_OUT_AT_MS + TRANSITION_MS,
      },
      {name: 'out', fromMs: TAKE_OUT_AT_MS + TRANSITION_MS, toMs: RETURN_AT_MS},
      {
        name: 'returning',
        fromMs: RETURN_AT_MS,
        toMs: RETURN_AT_MS + TRANSITION_MS,
      },
      {
        name: 'back',
        fromMs: RETURN_AT_MS + TRANSITION_MS,
        toMs: OUT_AND_BACK_END_MS,
      },
    ],
    scheduleFaults: outAndBack,
  },
  {
    name: 'lying-reports',
    description:
      'one gate of each service reports no load, under noisy neighbours',
    load: 0.7,
    phases: SINGLE_PHASE,
    scheduleFaults: lyingReports,
  },
];

/** Returns the scenario with this name, or undefined if there is none. */
export function findScenario(name: string): Scenario | undefined {
  return SCENARIOS.find(s => s.name === name);
}

/** Returns the measured time of a scenario, from its start to the end of its last phase. */
export function measuredDurationMs(scenario: Scenario): units.Millis {
  return Math.max(...scenario.phases.map(p => p.toMs));
}
