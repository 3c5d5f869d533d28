/** Trials of the decisions on a roll-out against synthetic versions, second by second. */
import * as gateTally from '../../src/common/rollouts/gate_tally.js';
import * as rollout from '../../src/common/rollouts/rollout.js';
import * as randomSource from '../../src/common/random_source.js';
import * as serving from '../../src/generated/serving.js';

export const DURATION_MS = 30_000;
const BOUNDS = {exposeShare: 0.1, exposeSlack: 50};
const TARGET = 'v2';
const DATA_CENTRES = 3;
const OLD_PER_DATA_CENTRE = 4;
const NEW_PER_DATA_CENTRE = 2;
const REQUESTS_PER_SECOND = 300;
const LIMIT = 4;
const COLD_SECONDS = 3;
const COLD_PER_SECOND = 15;

/** Work of the routes in ms. */
const ROUTES: ReadonlyMap<string, number> = new Map([
  ['short', 84],
  ['middle', 200],
  ['long', 480],
]);

/** What is wrong with the target version. */
export interface Badness {
  readonly errorShare?: number;
  readonly slowFactor?: number;
  readonly fromSecond?: number;
  readonly onlyRoute?: string;
  /** Bad only with more than this share of the gate's limit in use. */
  readonly aboveLoad?: number;
}

/** What strikes both versions. */
export interface Weather {
  readonly failureShare?: number;
  /** Factor of the load in seconds 4 to 9. */
  readonly burst?: number;
  /** Factor of the durations in one data centre in seconds 5 to 12. */
  readonly slowDataCentre?: number;
  /** Failures of all versions in seconds 6 and 7. */
  readonly failureBurst?: number;
}

/** How a trial ended. */
export interface TrialResult {
  readonly phase: serving.RolloutPhase;
  readonly verdictMs: number;
  readonly exposed: number;
  readonly requests: number;
  /** Largest number of exposed requests beyond the bound; at most 0 is within. */
  readonly excess: number;
  /** Time from the 50th bad answer to the rollback, 0 if it came before. */
  readonly afterBadMs: number;
}

class Gate {
  readonly tally: gateTally.GateTally;
  busyMs = 0;

  constructor(
    readonly nodeId: string,
    readonly dataCentre: string,
    readonly version: string,
  ) {
    this.tally = new gateTally.GateTally(version);
  }

  evidence(): serving.GateEvidence {
    const {version, dataCentre} = this;
    return {
      version,
      dataCentre,
      ...this.tally.counts(),
      running: 0,
      waiting: 0,
      limit: LIMIT,
      isOpen: true,
      processStartedMs: 1,
    };
  }
}

/** One roll-out from the order to its verdict. */
export class Trial {
  private readonly random: randomSource.SeededRandom;
  private readonly gates: readonly Gate[];
  private readonly rollout: rollout.Rollout;
  private requests = 0;
  private badAnswers = 0;
  private badAtMs = Infinity;
  private excess = -Infinity;

  constructor(
    seed: number,
    private readonly badness: Badness,
    private readonly weather: Weather,
  ) {
    this.random = new randomSource.SeededRandom(seed);
    this.gates = gatesOf();
    const ids = this.gates.map(({nodeId}) => nodeId);
    const order = {
      service: 's',
      targetVersion: TARGET,
      durationMs: DURATION_MS,
      deadlineMs: DURATION_MS,
      position: {era: 0, offset: 1},
    };
    const options = {
      bounds: BOUNDS,
      knownGates: () => ids,
      linkedGates: () => ids,
    };
    this.rollout = new rollout.Rollout(options, order, 0);
  }

  run(): TrialResult {
    for (let second = 0; second < DURATION_MS / 1_000; second++) {
      this.serve(second);
      const nowMs = (second + 1) * 1_000;
      const {phase} = this.rollout;
      for (const gate of this.gates) {
        const {evidence} = this.rollout;
        evidence.onReport(gate.nodeId, phase, gate.evidence(), nowMs);
      }
      this.rollout.tick({decides: true, readsStore: true}, nowMs);
      for (const grant of this.rollout.grants) {
        this.gates
          .find(g => g.nodeId === grant.nodeId)
          ?.tally.grant(grant.requests);
      }
      if (this.rollout.phase !== serving.RolloutPhase.CANARY) {
        return this.result(nowMs);
      }
    }
    return this.result(DURATION_MS);
  }

  private result(verdictMs: number): TrialResult {
    const {phase, evidence} = this.rollout;
    return {
      phase,
      verdictMs,
      exposed: evidence.exposed,
      requests: this.requests,
      excess: this.excess,
      afterBadMs: Math.max(0, verdictMs - this.badAtMs),
    };
  }

  private serve(second: number): void {
    const {burst = 1} = this.weather;
    const factor = second >= 4 && second < 9 ? burst : 1;
    const count = Math.round(REQUESTS_PER_SECOND * factor);
    for (const gate of this.gates) gate.busyMs = 0;
    for (let i = 0; i < count; i++) {
      this.requests++;
      this.runOn(this.choose(second), second);
      const bound = BOUNDS.exposeShare * this.requests + BOUNDS.exposeSlack;
      const exposed = this.gates
        .filter(({version}) => version === TARGET)
        .reduce((sum, {tally}) => sum + tally.started, 0);
      this.excess = Math.max(this.excess, exposed - bound);
    }
  }

  private choose(second: number): Gate {
    const isFor = this.random.next() * 1_000 < this.rollout.sharePermille;
    const target = this.gates.find(
      gate => gate.version === TARGET && hasRoom(gate, second),
    );
    if (isFor && target) return target;
    const old = this.gates.filter(({version}) => version !== TARGET);
    return old[this.random.nextInt(old.length)];
  }

  private runOn(gate: Gate, second: number): void {
    const names = [...ROUTES.keys()];
    const route = names[this.random.nextInt(names.length)];
    const {
      failureShare = 0,
      slowDataCentre = 1,
      failureBurst = 0,
    } = this.weather;
    const isTarget = gate.version === TARGET;
    const use = isTarget ? this.random.next() * 0.6 + 0.4 : 0.5;
    const running = Math.ceil(use * LIMIT);
    gate.tally.onStarted(running, LIMIT);
    const bad = isTarget && this.isBad(route, second, running / LIMIT);
    // Neighbours slow the work down by a factor of four for a quarter of the time.
    const stall = this.random.next() < 0.25 ? 1 + 3 * this.random.next() : 1;
    const spread = Math.exp(0.4 * this.normal());
    const isSlowPlace = gate.dataCentre === 'dc0' && second >= 5 && second < 12;
    const place = isSlowPlace ? slowDataCentre : 1;
    const {slowFactor = 1, errorShare = 0} = this.badness;
    const durationMs =
      (ROUTES.get(route) ?? 0) *
      spread *
      stall *
      place *
      (bad ? slowFactor : 1);
    gate.busyMs += durationMs;
    const isBurst = second === 6 || second === 7;
    const failing = isBurst ? failureBurst : failureShare;
    const failed =
      this.random.next() < failing || (bad && this.random.next() < errorShare);
    const cold = isTarget && second < COLD_SECONDS;
    gate.tally.onEnded({route, failed, durationMs, cold});
    const isBadAnswer = isTarget && (failed || (bad && slowFactor > 1));
    if (isBadAnswer && ++this.badAnswers === 50) this.badAtMs = second * 1_000;
  }

  private isBad(route: string, second: number, load: number): boolean {
    const {fromSecond = 0, onlyRoute = route, aboveLoad = 0} = this.badness;
    return second >= fromSecond && route === onlyRoute && load > aboveLoad;
  }

  private normal(): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.random.next()));
    return radius * Math.cos(2 * Math.PI * this.random.next());
  }
}

function hasRoom({tally, busyMs}: Gate, second: number): boolean {
  if (tally.started >= tally.granted) return false;
  if (second < COLD_SECONDS) return busyMs < COLD_PER_SECOND * 250;
  return busyMs < LIMIT * 1_000;
}

function gatesOf(): readonly Gate[] {
  const gates: Gate[] = [];
  for (let dc = 0; dc < DATA_CENTRES; dc++) {
    for (let i = 0; i < OLD_PER_DATA_CENTRE + NEW_PER_DATA_CENTRE; i++) {
      const version = i < OLD_PER_DATA_CENTRE ? 'v1' : TARGET;
      gates.push(new Gate(`dc${dc}-${i}`, `dc${dc}`, version));
    }
  }
  return gates;
}

/** Trials of one kind, summed. */
export interface TrialSummary {
  readonly runs: number;
  readonly rolledBack: number;
  readonly moved: number;
  readonly verdictS: readonly [median: number, max: number];
  readonly exposed: number;
  readonly maxExcess: number;
  readonly maxAfterBadS: number;
}

/** Runs trials with the seeds 1 to `runs`. */
export function runTrials(
  runs: number,
  badness: Badness,
  weather: Weather,
): TrialSummary {
  const results = Array.from({length: runs}, (_, i) =>
    new Trial(i + 1, badness, weather).run(),
  );
  const times = results.map(r => r.verdictMs / 1_000).sort((a, b) => a - b);
  const isMoved = (r: TrialResult): boolean =>
    r.phase === serving.RolloutPhase.MOVING;
  const moved = results.filter(isMoved).length;
  return {
    runs,
    moved,
    rolledBack: runs - moved,
    verdictS: [times[runs >> 1], times[runs - 1]],
    exposed: Math.max(...results.map(r => r.exposed)),
    maxExcess: Math.round(Math.max(...results.map(r => r.excess))),
    maxAfterBadS: Math.max(...results.map(r => r.afterBadMs)) / 1_000,
  };
}

const NOISE: Weather = {failureShare: 0.005};

/** Versions that must be rolled back. */
export const BAD_VERSIONS: ReadonlyMap<string, Badness> = new Map([
  ['errors 5%', {errorShare: 0.05}],
  ['errors 20%', {errorShare: 0.2}],
  ['errors 60%', {errorShare: 0.6}],
  ['errors 20% after 10 s', {errorShare: 0.2, fromSecond: 10}],
  ['errors 60% after 10 s', {errorShare: 0.6, fromSecond: 10}],
  ['errors 20% above 70% load', {errorShare: 0.2, aboveLoad: 0.7}],
  ['errors 20% on one route', {errorShare: 0.2, onlyRoute: 'middle'}],
  ['errors 60% on one route', {errorShare: 0.6, onlyRoute: 'middle'}],
  ['2 times slower', {slowFactor: 2}],
  ['5 times slower', {slowFactor: 5}],
  ['5 times slower after 10 s', {slowFactor: 5, fromSecond: 10}],
  ['5 times slower above 70% load', {slowFactor: 5, aboveLoad: 0.7}],
  ['5 times slower on one route', {slowFactor: 5, onlyRoute: 'short'}],
]);

/** Conditions under which a good version must not be rolled back. */
export const WEATHERS: ReadonlyMap<string, Weather> = new Map([
  ['good, noise', NOISE],
  ['good, noise of 2% failures', {failureShare: 0.02}],
  ['good, burst of load', {...NOISE, burst: 1.7}],
  ['good, slow data centre', {...NOISE, slowDataCentre: 4}],
  ['good, burst of failures', {...NOISE, failureBurst: 0.3}],
]);

export const BAD_WEATHER = NOISE;
