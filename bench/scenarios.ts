/** Scenarios of load and faults. */
import * as randomSource from '../src/common/random_source.js';
import * as units from '../src/common/units.js';
import * as fleets from '../test/fakes/virtual_service.js';
import * as audits from '../test/fakes/virtual_service_audit.js';
import * as nodes from '../test/fakes/virtual_service_node.js';
import * as deployments from './deployments.js';

/** Time in which load rises before measuring starts. */
export const WARM_UP_MS = 6_000;

/** A part of the measured time, from and to the start of measuring. */
export interface Phase {
  readonly name: string;
  readonly fromMs: units.Millis;
  readonly toMs: units.Millis;
}

/** What a scenario acts on. */
export interface Stage {
  readonly fleet: fleets.VirtualFleet;
  readonly deployment: deployments.Deployment;
  readonly audit: audits.Audit;
  readonly random: randomSource.RandomSource;
}

/** A scenario; `arrange` schedules its faults and is called when measuring starts. */
export interface Scenario {
  readonly name: string;
  readonly about: string;
  /** Arrivals as a share of capacity. */
  readonly load: number;
  readonly phases: readonly Phase[];
  /** Share of requests that kill the backend server and that callers send again. */
  readonly crashing?: boolean;
  readonly arrange: (stage: Stage) => void;
}

const MEASURED_MS = 5_000;
const WHOLE: readonly Phase[] = [{name: 'all', fromMs: 0, toMs: MEASURED_MS}];

const BURST_GAP_MS = 250;
const BURST_MIN_MS = 5;
const BURST_MAX_MS = 50;
const SLOWDOWN_MIN = 5;
const SLOWDOWN_MAX = 10;
const FAULT_AT_MS = 1_000;
const FAST_FAILURE_MS = 3_000;
const SERVER_WARM_UP_MS = 4_000;
const SILENCE_GAP_MS = 400;
const SILENT_RUN_SHARE = 0.002;
const OUT_AT_MS = 3_000;
const BACK_AT_MS = 9_000;
const SETTLED_MS = 3_000;
const OUT_AND_BACK_END_MS = 17_000;
const NODE_DOWN_MS = 2_000;

function draw(
  random: randomSource.RandomSource,
  low: number,
  high: number,
): number {
  return low + (high - low) * random.next();
}

function exponential(
  random: randomSource.RandomSource,
  meanMs: units.Millis,
): units.Millis {
  return -Math.log(1 - random.next()) * meanMs;
}

function backEnds(stage: Stage): readonly nodes.VirtualNode[] {
  return stage.fleet.nodes.filter(n => n.server !== undefined);
}

/** First backend server of each service. */
function firstOfEach(stage: Stage): readonly nodes.VirtualNode[] {
  const services = new Set(stage.deployment.traffic.map(t => t.service));
  return [...services].map(s => stage.fleet.serversOf(s)[0]);
}

function quiet(): void {}

function disturb(stage: Stage, node: nodes.VirtualNode): void {
  const {clock} = stage.fleet;
  clock.after(exponential(stage.random, BURST_GAP_MS), () => {
    const durationMs = draw(stage.random, BURST_MIN_MS, BURST_MAX_MS);
    node.server!.slow(
      draw(stage.random, SLOWDOWN_MIN, SLOWDOWN_MAX),
      durationMs,
    );
    disturb(stage, node);
  });
}

function noisyNeighbours(stage: Stage): void {
  for (const node of backEnds(stage)) disturb(stage, node);
}

function coldStart(stage: Stage): void {
  stage.fleet.warmUpMs = SERVER_WARM_UP_MS;
  for (const node of firstOfEach(stage)) {
    stage.fleet.clock.after(FAULT_AT_MS, () => stage.fleet.crashServer(node));
  }
}

function silentCold(stage: Stage): void {
  for (const node of firstOfEach(stage)) {
    stage.fleet.clock.after(FAULT_AT_MS, () => {
      node.server!.turnCold(SERVER_WARM_UP_MS, false);
    });
  }
}

function drain(stage: Stage): void {
  for (const node of firstOfEach(stage)) {
    stage.fleet.clock.after(FAULT_AT_MS, () => {
      stage.audit.onOut(node.nodeId);
      stage.fleet.stop(node);
    });
  }
}

function fastFailure(stage: Stage): void {
  for (const node of firstOfEach(stage)) {
    stage.fleet.clock.after(FAULT_AT_MS, () => (node.server!.failsFast = true));
    stage.fleet.clock.after(FAULT_AT_MS + FAST_FAILURE_MS, () => {
      node.server!.failsFast = false;
    });
  }
}

function crash(stage: Stage): void {
  for (const node of firstOfEach(stage)) {
    stage.fleet.clock.after(FAULT_AT_MS, () => {
      stage.fleet.crashNode(node, NODE_DOWN_MS, SERVER_WARM_UP_MS);
    });
  }
}

function silentConnections(stage: Stage): void {
  const all = backEnds(stage);
  for (const node of all) node.runner!.silentShare = SILENT_RUN_SHARE;
  const silenceOne = (): void => {
    const from =
      stage.fleet.nodes[stage.random.nextInt(stage.fleet.nodes.length)];
    const to = all[stage.random.nextInt(all.length)];
    stage.fleet.network.silence(from, to);
    stage.fleet.clock.after(SILENCE_GAP_MS, silenceOne);
  };
  silenceOne();
}

function outAndBack(stage: Stage): void {
  const {fleet, audit} = stage;
  const dataCentre = backEnds(stage)[0].dataCentre;
  const inside = backEnds(stage).filter(n => n.dataCentre === dataCentre);
  fleet.clock.after(OUT_AT_MS, () => {
    for (const n of inside) audit.onOut(n.nodeId);
    fleet.takeDataCentreOut(dataCentre);
  });
  fleet.clock.after(BACK_AT_MS, () => {
    for (const n of inside) audit.onBack(n.nodeId);
    fleet.returnDataCentre(dataCentre);
  });
}

function lyingReports(stage: Stage): void {
  for (const node of firstOfEach(stage)) node.liesAboutLoad = true;
  noisyNeighbours(stage);
}

function steady(load: number): Scenario {
  const percent = Math.round(load * 100);
  return {
    name: `steady-${percent}`,
    about: `${percent} % of capacity, no faults`,
    load,
    phases: WHOLE,
    arrange: quiet,
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
    about: 'twice the capacity',
    load: 2,
    phases: WHOLE,
    arrange: quiet,
  },
  {
    name: 'noisy',
    about: 'bursts of 5 to 50 ms in which a server is 5 to 10 times slower',
    load: 0.7,
    phases: WHOLE,
    arrange: noisyNeighbours,
  },
  {
    name: 'cold-start',
    about: 'one server of each service crashes and starts cold',
    load: 0.6,
    phases: WHOLE,
    arrange: coldStart,
  },
  {
    name: 'silent-cold',
    about: 'one server of each service turns cold with no signal',
    load: 0.6,
    phases: WHOLE,
    arrange: silentCold,
  },
  {
    name: 'drain',
    about: 'one server of each service stops as planned',
    load: 0.5,
    phases: WHOLE,
    arrange: drain,
  },
  {
    name: 'fast-failure',
    about: 'one server of each service answers errors at once for 3 s',
    load: 0.5,
    phases: WHOLE,
    arrange: fastFailure,
  },
  {
    name: 'crash',
    about: 'one instance of each service dies with its node and returns cold',
    load: 0.5,
    phases: WHOLE,
    arrange: crash,
  },
  {
    name: 'crashing-request',
    about: 'a request that kills its server, sent again by its caller',
    load: 0.4,
    phases: WHOLE,
    crashing: true,
    arrange: quiet,
  },
  {
    name: 'silent-connections',
    about: 'links and server connections go silent while new ones work',
    load: 0.5,
    phases: WHOLE,
    arrange: silentConnections,
  },
  {
    name: 'out-and-back',
    about: 'one of the data centres is taken out and returned',
    load: 0.5,
    phases: [
      {name: 'before', fromMs: 0, toMs: OUT_AT_MS},
      {name: 'leaving', fromMs: OUT_AT_MS, toMs: OUT_AT_MS + SETTLED_MS},
      {name: 'out', fromMs: OUT_AT_MS + SETTLED_MS, toMs: BACK_AT_MS},
      {name: 'returning', fromMs: BACK_AT_MS, toMs: BACK_AT_MS + SETTLED_MS},
      {
        name: 'back',
        fromMs: BACK_AT_MS + SETTLED_MS,
        toMs: OUT_AND_BACK_END_MS,
      },
    ],
    arrange: outAndBack,
  },
  {
    name: 'lying-reports',
    about: 'one gate of each service reports no load, under noisy neighbours',
    load: 0.7,
    phases: WHOLE,
    arrange: lyingReports,
  },
];

/** Returns the scenario of that name, undefined if there is none. */
export function scenarioNamed(name: string): Scenario | undefined {
  return SCENARIOS.find(s => s.name === name);
}

/** Length of the measured time of a scenario. */
export function lengthOf(scenario: Scenario): units.Millis {
  return Math.max(...scenario.phases.map(p => p.toMs));
}
