/** Faults of the starts of a process by seed: signals in series, settings in two halves. */
import * as fs from 'node:fs';

import * as randomSource from '../../src/common/random_source.js';
import * as child from '../paths/child.js';
import * as loneNode from '../paths/lone_node.js';

/** Signals after which a node goes on. */
const HARMLESS: readonly NodeJS.Signals[] = [
  'SIGHUP',
  'SIGHUP',
  'SIGHUP',
  'SIGUSR1',
  'SIGUSR2',
  'SIGALRM',
  'SIGVTALRM',
  'SIGPROF',
  'SIGIO',
];

const STOPS: readonly NodeJS.Signals[] = ['SIGTERM', 'SIGINT'];

/** Most signals of a series, and the longest pause between two of them in ms. */
const MAX_SERIES = 8;
const MAX_PAUSE_MS = 60;

/** Longest time between the two halves of a settings file, in ms. */
const MAX_HALVES_MS = 600;

/** Longest delay of a series after the start of a process, in ms; a start takes 0.1 to 0.3 s. */
const MAX_DELAY_MS = 300;

/** The runtime's handler of SIGUSR1, which opens the inspector, is there before the script runs. */
const NOT_IN_BOOT: NodeJS.Signals = 'SIGUSR1';

/** What is in the settings file when a process starts. */
export type FirstSettings = 'whole' | 'missing' | 'half';

const FIRST_SETTINGS: readonly FirstSettings[] = ['whole', 'missing', 'half'];

/** When the first series of signals begins. */
export type SeriesStart =
  /** As soon as the script has installed its handlers. */
  | {readonly kind: 'handled'}
  /** This long after the start of the process, which may be before its script runs. */
  | {readonly kind: 'delayed'; readonly delayMs: number};

/** A signal and the pause before it in ms. */
export interface TimedSignal {
  readonly signal: NodeJS.Signals;
  readonly pauseMs: number;
}

/** What is done to one process, from its start to its end. */
export interface StartPlan {
  readonly firstSettings: FirstSettings;
  /** Time until the rest of the first settings is written, in ms. */
  readonly halvesMs: number;
  readonly seriesStart: SeriesStart;
  /** Sent while the process starts; one with a stop signal ends it. */
  readonly startSeries: readonly TimedSignal[];
  /** Whether the settings change in two halves while the node runs. */
  readonly changesSettings: boolean;
  /** Sent when the node runs; begins with a stop signal. */
  readonly stopSeries: readonly TimedSignal[];
  /** Whether the series that stops the process is repeated until it has ended. */
  readonly repeatsStop: boolean;
}

/** Returns the plan of the next start of a run. */
export function planStart(random: randomSource.RandomSource): StartPlan {
  const stopsEarly = random.nextInt(3) === 0;
  return {
    firstSettings: pick(FIRST_SETTINGS, random),
    halvesMs: random.nextInt(MAX_HALVES_MS),
    seriesStart:
      random.nextInt(2) === 0
        ? {kind: 'handled'}
        : {kind: 'delayed', delayMs: random.nextInt(MAX_DELAY_MS)},
    startSeries: series(
      random,
      stopsEarly ? [...HARMLESS, ...STOPS] : HARMLESS,
    ),
    changesSettings: random.nextInt(2) === 0,
    stopSeries: [
      {signal: pick(STOPS, random), pauseMs: 0},
      ...series(random, [...HARMLESS, ...STOPS, ...STOPS]),
    ],
    repeatsStop: random.nextInt(2) === 0,
  };
}

/** Describes a plan in one line. */
export function describePlan(plan: StartPlan): string {
  const {firstSettings, halvesMs, seriesStart, changesSettings, repeatsStop} =
    plan;
  const names = (list: readonly TimedSignal[]): string =>
    list.map(({signal, pauseMs}) => `${pauseMs}:${signal}`).join(' ');
  const at =
    seriesStart.kind === 'handled' ? 'handled' : `${seriesStart.delayMs} ms`;
  return (
    `settings ${firstSettings}, rest after ${halvesMs} ms; at ${at} ` +
    `${names(plan.startSeries)}; change ${changesSettings}; then ${names(plan.stopSeries)}, repeated ${repeatsStop}`
  );
}

/** Sends signals to a process and keeps which ones it may not have survived. */
export class SignalSender {
  /** Signals that were sent before the handlers of the script were seen. */
  readonly sentInBoot = new Set<NodeJS.Signals>();
  /** Whether a stop signal was sent. */
  hasStopped = false;

  constructor(private readonly node: child.Child) {}

  /** Sends a series of signals in its order, up to the end of the process. */
  async send(list: readonly TimedSignal[]): Promise<void> {
    for (const {signal, pauseMs} of list) {
      await pause(pauseMs);
      if (!this.node.isRunning) return;
      const isHandled = loneNode.handlesSignals(this.node);
      if (!isHandled && signal === NOT_IN_BOOT) continue;
      if (!isHandled) this.sentInBoot.add(signal);
      if (STOPS.includes(signal)) this.hasStopped = true;
      this.node.signal(signal);
    }
  }
}

/** Writes the first half of a settings file, and the whole of it after a time in ms. */
export async function writeInHalves(
  path: string,
  text: string,
  halvesMs: number,
): Promise<void> {
  fs.writeFileSync(path, text.slice(0, text.length / 2));
  await pause(halvesMs);
  fs.writeFileSync(path, text);
}

/** Resolves after a time in ms. */
export function pause(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

function series(
  random: randomSource.RandomSource,
  signals: readonly NodeJS.Signals[],
): readonly TimedSignal[] {
  return Array.from({length: random.nextInt(MAX_SERIES + 1)}, () => ({
    signal: pick(signals, random),
    pauseMs: random.nextInt(MAX_PAUSE_MS),
  }));
}

function pick<T>(items: readonly T[], random: randomSource.RandomSource): T {
  return items[random.nextInt(items.length)];
}
