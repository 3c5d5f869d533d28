/** Faults of the classes `silent` and `links`: planned work beside slow and paused processes. */
import * as randomSource from '../../src/common/random_source.js';
import * as child from '../paths/child.js';
import * as platformFleet from '../paths/platform_fleet.js';
import * as brokenOffAudit from './broken_off_audit.js';

/** Part of each period in which a slow process runs, as under a processor quota. */
const PERIOD_MS = 100;
const RUNNING_MS = 30;

const SLOW_PHASES = 3;
const MAX_SLOW_NODES = 3;
const SLOW_RANGE_MS = [2_000, 5_000] as const;

const PAUSE_RANGE_MS = [300, 1_500] as const;
const PAUSE_INTERVAL_RANGE_MS = [200, 1_000] as const;

/** Series of planned stops, the time between two stops and the time until a node is back. */
const STOP_SERIES = 3;
const STOP_INTERVAL_RANGE_MS = [60, 300] as const;
const DOWN_RANGE_MS = [800, 2_500] as const;

const CHANGE_SERIES = 3;
const CHANGES = 3;
const CHANGE_INTERVAL_RANGE_MS = [50, 400] as const;

/** Longest part of an error that a breach states. */
const MAX_REASON_LENGTH = 200;

/** What lets links be silent: slow and paused processes, or large answers alone. */
export type SilenceKind = 'processes' | 'answers';

type Range = readonly [number, number];

/** Injects the faults that a random source determines; they overlap. */
export class SilenceFaults {
  readonly breaches: string[] = [];
  readonly injected: string[] = [];
  private readonly stopping = new Set<string>();
  /** Number of faults that hold a process stopped by SIGSTOP. */
  private readonly holds = new Map<child.Child, number>();
  private version = 1;
  private startedMs = 0;

  constructor(
    private readonly fleet: platformFleet.PlatformFleet,
    private readonly random: randomSource.RandomSource,
    private readonly audit: brokenOffAudit.BrokenOffAudit,
    /** Configuration of a version with routes that are added. */
    private readonly configuration: (version: number) => object,
  ) {}

  /** Injects faults for `lengthMs`; resolves when all nodes are back. */
  async run(lengthMs: number, kind: SilenceKind): Promise<void> {
    this.startedMs = performance.now();
    const starts = (count: number): readonly number[] =>
      Array.from({length: count}, () => this.random.nextInt(lengthMs));
    const slowStarts = kind === 'processes' ? starts(SLOW_PHASES) : [];
    await Promise.all([
      ...slowStarts.map(atMs => this.slowSome(atMs)),
      ...starts(STOP_SERIES).map(atMs => this.stopHalf(atMs)),
      ...starts(CHANGE_SERIES).map(atMs => this.reload(atMs)),
      ...starts(CHANGE_SERIES).map(atMs => this.configure(atMs)),
      kind === 'processes' ? this.pauseSome(lengthMs) : undefined,
    ]);
  }

  /** Pauses one node after the other. */
  private async pauseSome(lengthMs: number): Promise<void> {
    let atMs = 0;
    const pauses: Array<Promise<void>> = [];
    while (atMs < lengthMs) {
      const {name} = this.anyNode();
      pauses.push(this.pause(name, atMs, this.between(PAUSE_RANGE_MS)));
      atMs += this.between(PAUSE_INTERVAL_RANGE_MS);
    }
    await Promise.all(pauses);
  }

  private async pause(
    name: string,
    atMs: number,
    forMs: number,
  ): Promise<void> {
    await this.waitUntil(atMs);
    this.record(`pause ${name} for ${forMs} ms`);
    const disturbance = this.audit.begin('pause', name);
    await this.hold(name, forMs);
    this.audit.end(disturbance);
  }

  private async slowSome(atMs: number): Promise<void> {
    const count = 1 + this.random.nextInt(MAX_SLOW_NODES);
    const nodes = randomSource
      .shuffle(this.fleet.nodes, this.random)
      .slice(0, count);
    const forMs = this.between(SLOW_RANGE_MS);
    await this.waitUntil(atMs);
    await Promise.all(nodes.map(({name}) => this.slow(name, forMs)));
  }

  private async slow(name: string, forMs: number): Promise<void> {
    this.record(`slow ${name} for ${forMs} ms`);
    const disturbance = this.audit.begin('slow', name);
    const endMs = performance.now() + forMs;
    while (performance.now() < endMs) {
      await this.hold(name, PERIOD_MS - RUNNING_MS);
      await wait(RUNNING_MS);
    }
    this.audit.end(disturbance);
  }

  /** Keeps the process that a node has now from running. */
  private async hold(name: string, forMs: number): Promise<void> {
    const {process} = this.nodeOf(name);
    const before = this.holds.get(process) ?? 0;
    this.holds.set(process, before + 1);
    if (before === 0) process.signal('SIGSTOP');
    await wait(forMs);
    const left = (this.holds.get(process) ?? 0) - 1;
    this.holds.set(process, left);
    if (left === 0) process.signal('SIGCONT');
  }

  /** Stops half of the nodes in series; each is back after some time. */
  private async stopHalf(atMs: number): Promise<void> {
    const {nodes} = this.fleet;
    const names = randomSource
      .shuffle(nodes, this.random)
      .slice(0, Math.floor(nodes.length / 2))
      .map(({name}) => name);
    const offsets = names.map(() => this.between(STOP_INTERVAL_RANGE_MS));
    const downMs = names.map(() => this.between(DOWN_RANGE_MS));
    let stopMs = atMs;
    await Promise.all(
      names.map((name, i) => {
        stopMs += offsets[i];
        return this.stop(name, stopMs, downMs[i]);
      }),
    );
  }

  private async stop(
    name: string,
    atMs: number,
    downMs: number,
  ): Promise<void> {
    await this.waitUntil(atMs);
    const node = this.nodeOf(name);
    if (this.stopping.has(name) || !this.leavesServer(node)) return;
    this.stopping.add(name);
    this.record(`stop ${name}, back after ${downMs} ms`);
    try {
      await this.restart(node, downMs);
      this.stopping.delete(name);
    } catch (err) {
      // The other faults go on; the node stays as it is.
      const reason = String(err).slice(0, MAX_REASON_LENGTH);
      this.breaches.push(`${name}: ${reason}`);
    }
  }

  private async restart(
    node: platformFleet.FleetNode,
    downMs: number,
  ): Promise<void> {
    const {name} = node;
    const disturbance = this.audit.begin('stop', name);
    node.process.signal('SIGTERM');
    const status = await node.process.exitStatus();
    this.audit.end(disturbance);
    if (status !== 0) {
      this.breaches.push(`${name}: ended with ${status} after a stop`);
    }
    await wait(downMs);
    await this.fleet.restart(node);
  }

  /** Whether another node of the service stays. */
  private leavesServer({name, server}: platformFleet.FleetNode): boolean {
    return this.fleet.nodes.some(
      other =>
        other.name !== name &&
        other.server.service === server.service &&
        !this.stopping.has(other.name),
    );
  }

  private async reload(atMs: number): Promise<void> {
    const {name} = this.anyNode();
    const pauses = this.seriesPauses();
    await this.waitUntil(atMs);
    this.record(`reload ${name}`);
    for (const pauseMs of pauses) {
      // A process that starts does not handle the signal yet.
      if (this.stopping.has(name)) return;
      this.audit.note('reload', name);
      this.nodeOf(name).process.signal('SIGHUP');
      await wait(pauseMs);
    }
  }

  private async configure(atMs: number): Promise<void> {
    const pauses = this.seriesPauses();
    await this.waitUntil(atMs);
    this.record('configurations');
    for (const pauseMs of pauses) {
      this.version++;
      this.audit.note('configuration');
      const document = this.configuration(this.version);
      this.fleet.store.put('keyed.op', 'config', document);
      await wait(pauseMs);
    }
  }

  private seriesPauses(): readonly number[] {
    return Array.from({length: CHANGES}, () =>
      this.between(CHANGE_INTERVAL_RANGE_MS),
    );
  }

  private anyNode(): platformFleet.FleetNode {
    const {nodes} = this.fleet;
    return nodes[this.random.nextInt(nodes.length)];
  }

  /** The node with its present process. */
  private nodeOf(name: string): platformFleet.FleetNode {
    const node = this.fleet.nodes.find(n => n.name === name);
    if (node === undefined) throw new Error(`no node ${name}`);
    return node;
  }

  private between([min, max]: Range): number {
    return min + this.random.nextInt(max - min);
  }

  private waitUntil(atMs: number): Promise<void> {
    return wait(this.startedMs + atMs - performance.now());
  }

  private record(what: string): void {
    const atMs = performance.now() - this.startedMs;
    this.injected.push(`${atMs.toFixed(0)} ms: ${what}`);
  }
}

function wait(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, Math.max(0, ms)));
}
