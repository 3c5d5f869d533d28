/** Starts and stops the bundled daemon under faults that a seed chooses, and checks how it ends. */
import * as fs from 'node:fs';

import * as randomSource from '../../src/common/random_source.js';
import * as child from '../paths/child.js';
import * as loneNode from '../paths/lone_node.js';
import * as startFaults from './start_faults.js';

/** Processes that start and stop side by side in a run. */
const LANES = 2;

/** Starts of each lane. */
const STARTS = 3;

/** Requests to the readiness and caller ports of a node that runs. */
const REQUESTS = 20;

/** Longest start of a process, in ms. */
const START_MS = 20_000;

/** Longest stop of a process, in ms. */
const STOP_MS = 10_000;

/** Longest time until changed settings are applied, in ms. */
const RELOAD_MS = 5_000;

/** Bytes of a settings file that is half written when a process starts. */
const HALF_BYTES = 100;

/** Poll interval for the handlers of a starting process, in ms. */
const POLL_MS = 1;

/** How the starts of a run ended. */
export interface StartOutcome {
  /** Number of processes by their end. */
  readonly ends: ReadonlyMap<string, number>;
  /** Times from the start of a process until its script had installed its handlers, in ms. */
  readonly handledMs: readonly number[];
  /** Each broken guarantee, with the plan of its start. */
  readonly breaches: readonly string[];
}

/** Counts how processes end. */
export class EndCounts {
  readonly counts = new Map<string, number>();

  add(end: string, count = 1): void {
    this.counts.set(end, (this.counts.get(end) ?? 0) + count);
  }
}

/** Collects the outcome of a run. */
class RunState {
  readonly ends = new EndCounts();
  readonly handledMs: number[] = [];
  readonly breaches: string[] = [];
}

/** Runs the starts of a seed. */
export async function run(seed: number): Promise<StartOutcome> {
  const state = new RunState();
  const random = new randomSource.SeededRandom(seed);
  const lanes = Array.from({length: LANES}, () =>
    Array.from({length: STARTS}, () => startFaults.planStart(random)),
  );
  await Promise.all(lanes.map(plans => runLane(plans, state)));
  const {ends, handledMs, breaches} = state;
  return {ends: ends.counts, handledMs, breaches};
}

/** Sends requests, which are answered as unconfigured since the store does not exist. */
export async function sendRequests(
  settings: loneNode.LoneSettings,
): Promise<void> {
  const addresses = [settings.readiness, `127.0.0.1:${settings.callersPort}`];
  for (let i = 0; i < REQUESTS; i++) {
    const res = await fetch(`http://${addresses[i % 2]}/ready`, {
      headers: {'Request-Id': `r${i}`},
    });
    await res.arrayBuffer();
  }
}

async function runLane(
  plans: readonly startFaults.StartPlan[],
  state: RunState,
): Promise<void> {
  const ports = await child.freePorts(loneNode.PORT_COUNT);
  for (const plan of plans) {
    try {
      await startOnce(ports, plan, state);
    } catch (err) {
      state.ends.add('not finished');
      state.breaches.push(`${err}; ${startFaults.describePlan(plan)}`);
    }
  }
}

async function startOnce(
  ports: readonly number[],
  plan: startFaults.StartPlan,
  state: RunState,
): Promise<void> {
  const settings = loneNode.settingsOn(ports);
  const path = child.temporaryFile('node.jsonc', settings.text);
  if (plan.firstSettings === 'missing') fs.rmSync(path);
  if (plan.firstSettings === 'half') fs.truncateSync(path, HALF_BYTES);
  const startedMs = performance.now();
  await using node = loneNode.start(path);
  const handled = untilHandled(node).then(isHandled => {
    if (isHandled) state.handledMs.push(performance.now() - startedMs);
  });
  const sender = new startFaults.SignalSender(node);
  await Promise.all([
    finishSettings(plan, path, settings.text),
    handled,
    startSeries(plan, handled, sender),
  ]);
  if (!sender.hasStopped) {
    await runUntilStop(plan, path, settings, node, sender);
  }
  if (plan.repeatsStop) await sendUntilEnd(plan, node, sender);
  const status = await node.exitStatus();
  state.ends.add(endOf(node, status, sender));
  state.breaches.push(
    ...breachesOf(node, status, sender).map(
      breach => `${breach}; ${startFaults.describePlan(plan)}\n${node.printed}`,
    ),
  );
}

async function finishSettings(
  plan: startFaults.StartPlan,
  path: string,
  text: string,
): Promise<void> {
  switch (plan.firstSettings) {
    case 'whole':
      return;
    case 'half':
      return startFaults.writeInHalves(path, text, plan.halvesMs);
    case 'missing':
      await startFaults.pause(plan.halvesMs);
      return startFaults.writeInHalves(path, text, plan.halvesMs);
  }
}

async function startSeries(
  plan: startFaults.StartPlan,
  handled: Promise<void>,
  sender: startFaults.SignalSender,
): Promise<void> {
  switch (plan.seriesStart.kind) {
    case 'handled':
      await handled;
      break;
    case 'delayed':
      await startFaults.pause(plan.seriesStart.delayMs);
      break;
  }
  await sender.send(plan.startSeries);
}

/** Waits until the node runs, unless a signal ended it in the boot, and stops it. */
async function runUntilStop(
  plan: startFaults.StartPlan,
  path: string,
  settings: loneNode.LoneSettings,
  node: child.Child,
  sender: startFaults.SignalSender,
): Promise<void> {
  const isRunning = (): boolean => node.printed.includes('"event":"start"');
  await child.waitUntil(
    () => isRunning() || !node.isRunning,
    START_MS,
    () => `the start; printed ${node.printed}`,
  );
  if (!node.isRunning) return;
  await sendRequests(settings);
  if (plan.changesSettings) await changeSettings(plan, path, settings, node);
  await Promise.all([
    sender.send(plan.stopSeries),
    sendRequests(settings).catch(() => undefined),
  ]);
}

/** Repeats the signals of a stop up to the last moment of the process. */
async function sendUntilEnd(
  plan: startFaults.StartPlan,
  node: child.Child,
  sender: startFaults.SignalSender,
): Promise<void> {
  const endMs = performance.now() + STOP_MS;
  while (node.isRunning && performance.now() < endMs) {
    await sender.send(plan.stopSeries);
    await startFaults.pause(POLL_MS);
  }
}

async function changeSettings(
  plan: startFaults.StartPlan,
  path: string,
  settings: loneNode.LoneSettings,
  node: child.Child,
): Promise<void> {
  const changed = {...JSON.parse(settings.text), service: 'renamed'};
  const text = JSON.stringify(changed);
  const written = startFaults.writeInHalves(path, text, plan.halvesMs);
  node.signal('SIGHUP');
  await written;
  await child.waitUntil(
    () => node.printed.includes('"service":"renamed"') || !node.isRunning,
    RELOAD_MS,
    () => `the changed settings; printed ${node.printed}`,
  );
}

/**
 * Whether the handlers of the script are seen before the process ends.
 *
 * @throws Error if neither happens within 20 s.
 */
async function untilHandled(node: child.Child): Promise<boolean> {
  const endMs = performance.now() + START_MS;
  while (node.isRunning) {
    if (loneNode.handlesSignals(node)) return true;
    if (performance.now() > endMs) throw new Error('no handlers of signals');
    await startFaults.pause(POLL_MS);
  }
  return false;
}

function endOf(
  node: child.Child,
  status: number | null,
  sender: startFaults.SignalSender,
): string {
  const {signalCode} = node.process;
  if (signalCode === null) return `exit ${status}`;
  return sender.sentInBoot.has(signalCode)
    ? `${signalCode} before the script ran`
    : signalCode;
}

/** Only a signal of the time before the script ran may end a process otherwise than with 0. */
function breachesOf(
  node: child.Child,
  status: number | null,
  sender: startFaults.SignalSender,
): readonly string[] {
  const {signalCode} = node.process;
  const breaches: string[] = [];
  if (signalCode !== null && !sender.sentInBoot.has(signalCode)) {
    breaches.push(`ended by ${signalCode}`);
  }
  if (signalCode === null && status !== 0) breaches.push(`exit ${status}`);
  if (signalCode === null && !sender.hasStopped) breaches.push('not stopped');
  for (const text of ['"event":"failed"', 'Debugger']) {
    if (node.printed.includes(text)) breaches.push(`printed ${text}`);
  }
  return breaches;
}
