/** Prometheus metrics of decisions, which are also logged. */
import * as promClient from 'prom-client';

import * as decision from '../../common/serving/decision.js';
import * as units from '../../common/units.js';
import * as memoryWatch from './memory_watch.js';

/** Bucket bounds of the latency histogram, in seconds. */
const LATENCY_BUCKETS_S = [
  0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.4, 0.6, 0.8, 1, 1.5, 2.5, 4, 8,
];

/** Limit of values per label; further ones are counted as `other`. */
const MAX_LABEL_VALUES = 64;

/** Workspaces with a label of their own; the others are counted together. */
const MAX_NAMED_WORKSPACES = 10;

/** Decision, fact that holds a duration in ms, and value of the `part` label. */
const DURATIONS: ReadonlyArray<readonly [string, string, string]> = [
  ['entry/answered', 'ageMs', 'whole'],
  ['gate/run', 'waitedMs', 'waiting at the gate'],
  ['gate/answered', 'durationMs', 'at the backend server'],
  ['gate/stall-ended', 'durationMs', 'stalled by neighbours'],
];

/** Use of a workspace at this entry. */
export interface WorkspaceUse {
  readonly name: string;
  readonly demandPerSecond: number;
  readonly refusedPerSecond: number;
}

/** Memory that is held for callers, in bytes. */
export interface CallerMemoryUse {
  /** Bodies of requests that are read only while there is memory for them. */
  readonly largeBytes: number;
  /** Other bodies of requests. */
  readonly smallBytes: number;
  /** All that is counted. */
  readonly usedBytes: number;
  readonly maxBytes: number;
}

/** Counts decisions, observes their durations and passes them on to a log. */
export class Telemetry implements decision.DecisionLog {
  private readonly registry = new promClient.Registry();
  private readonly reasons = new BoundedValues();
  private readonly routes = new BoundedValues();
  private readonly counts = new Map<string, DecisionCount>();
  private readonly decisions = new promClient.Counter({
    name: 'geraniumloft_decisions_total',
    help: 'Decisions by component, event and reason.',
    labelNames: ['component', 'event', 'reason'],
    registers: [this.registry],
    collect: () => this.collectCounts(),
  });
  private readonly latencies = new promClient.Histogram({
    name: 'geraniumloft_latency_seconds',
    help: 'Time of requests by route and part of the way.',
    labelNames: ['part', 'route'],
    buckets: LATENCY_BUCKETS_S,
    registers: [this.registry],
  });

  private readonly proofAge = new promClient.Gauge({
    name: 'geraniumloft_freshness_proof_age_seconds',
    help: 'Age of the proof that the configuration is the newest; infinity without one.',
    registers: [this.registry],
  });
  private readonly workspaces = new promClient.Gauge({
    name: 'geraniumloft_workspace_requests_per_second',
    help: 'Requests at this entry of workspaces with a quota, by result; the busiest by name.',
    labelNames: ['workspace', 'result'],
    registers: [this.registry],
  });
  private readonly memory = new promClient.Gauge({
    name: 'geraniumloft_memory_bytes',
    help: 'Memory of the process by kind.',
    labelNames: ['kind'],
    registers: [this.registry],
    collect: () => this.collectMemory(),
  });
  private readonly sockets = new promClient.Gauge({
    name: 'geraniumloft_open_sockets',
    help: 'Open TCP sockets, listening ones not included.',
    registers: [this.registry],
    collect: () => this.collectSockets(),
  });
  private readonly callerMemory = new promClient.Gauge({
    name: 'geraniumloft_caller_memory_bytes',
    help: 'Memory that is held for callers by kind, and its limit.',
    labelNames: ['kind'],
    registers: [this.registry],
    collect: () => this.collectCallerMemory(),
  });
  private callerMemoryUse: (() => CallerMemoryUse) | undefined;
  private workspaceUses: () => readonly WorkspaceUse[] = () => [];

  constructor(private readonly log: decision.DecisionLog) {}

  /** Sets the source of the use of workspaces, the busiest first. */
  setWorkspaceUses(source: () => readonly WorkspaceUse[]): void {
    this.workspaceUses = source;
  }

  /** Sets the source of the memory that is held for callers. */
  setCallerMemory(source: () => CallerMemoryUse): void {
    this.callerMemoryUse = source;
  }

  write(d: decision.Decision): void {
    const reason = this.reasons.of(String(d.facts['reason'] ?? ''));
    const {component, event} = d;
    this.count(component, event, reason);
    this.observe(d);
    this.log.write(d);
  }

  /** Sets the age of the freshness proof, infinity without one. */
  setProofAge(ageMs: units.Millis): void {
    this.proofAge.set(ageMs / units.MS_PER_SECOND);
  }

  /** Returns all metrics in the text format of Prometheus. */
  text(): Promise<string> {
    this.collectWorkspaces();
    return this.registry.metrics();
  }

  /** Content type of `text`. */
  get contentType(): string {
    return this.registry.contentType;
  }

  private collectWorkspaces(): void {
    this.workspaces.reset();
    this.workspaceUses().forEach((use, i) => {
      const workspace = i < MAX_NAMED_WORKSPACES ? use.name : 'other';
      const {demandPerSecond, refusedPerSecond} = use;
      this.workspaces.inc({workspace, result: 'asked'}, demandPerSecond);
      this.workspaces.inc({workspace, result: 'refused'}, refusedPerSecond);
    });
  }

  private collectSockets(): void {
    this.sockets.set(openSockets());
  }

  private collectMemory(): void {
    const use = memoryWatch.memoryOfProcess();
    if (use === undefined) return;
    const {rss, heapUsed, external} = use;
    this.memory.set({kind: 'resident'}, rss);
    this.memory.set({kind: 'heap'}, heapUsed);
    this.memory.set({kind: 'external'}, external);
  }

  private collectCallerMemory(): void {
    const use = this.callerMemoryUse?.();
    if (use === undefined) return;
    this.callerMemory.set({kind: 'large-bodies'}, use.largeBytes);
    this.callerMemory.set({kind: 'small-bodies'}, use.smallBytes);
    this.callerMemory.set({kind: 'all'}, use.usedBytes);
    this.callerMemory.set({kind: 'limit'}, use.maxBytes);
  }

  private count(component: string, event: string, reason: string): void {
    const key = `${component}/${event}/${reason}`;
    const known = this.counts.get(key);
    if (known) known.uncollected++;
    else {
      const labels = {component, event, reason};
      this.counts.set(key, new DecisionCount(labels));
    }
  }

  /** Passes counts on when metrics are read; the library checks labels at each increment. */
  private collectCounts(): void {
    for (const count of this.counts.values()) {
      if (count.uncollected > 0) {
        this.decisions.inc(count.labels, count.uncollected);
      }
      count.uncollected = 0;
    }
  }

  private observe(d: decision.Decision): void {
    const name = `${d.component}/${d.event}`;
    for (const [event, fact, part] of DURATIONS) {
      const ms = d.facts[fact];
      if (event !== name || typeof ms !== 'number') continue;
      const route = this.routes.of(String(d.facts['route'] ?? ''));
      this.latencies.observe({part, route}, ms / units.MS_PER_SECOND);
    }
  }
}

/** Resource type of TCP sockets in Node.js. */
const SOCKET_RESOURCE = 'TCPSocketWrap';

function openSockets(): number {
  const resources = process.getActiveResourcesInfo();
  return resources.filter(type => type === SOCKET_RESOURCE).length;
}

/** Decisions with the same labels since metrics were last read. */
class DecisionCount {
  uncollected = 1;

  constructor(
    readonly labels: Readonly<Record<'component' | 'event' | 'reason', string>>,
  ) {}
}

/** Values of one label; the first `MAX_LABEL_VALUES` keep their names. */
class BoundedValues {
  private readonly seen = new Set<string>();

  of(value: string): string {
    if (this.seen.has(value)) return value;
    if (this.seen.size >= MAX_LABEL_VALUES) return 'other';
    this.seen.add(value);
    return value;
  }
}
