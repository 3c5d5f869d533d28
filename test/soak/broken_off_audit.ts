/** Checks that nodes give callers no failure of their own for requests at which servers work. */

/**
 * Disturbances that nodes have to bear: planned work, and processes that run slowly. While the test
 * itself stalls, all links stand still.
 */
export type BorneKind =
  'stop' | 'reload' | 'configuration' | 'slow' | 'pause' | 'stall';

/** Disruptions that excuse a node: its process is killed, its links or its server fail. */
export type DisruptionKind = 'kill' | 'links' | 'server';

/** Something that happens to a node, or to all nodes if it has no node. */
export class Disturbance {
  /** End; Infinity while it lasts. A stop ends with the process, a kill with the next start. */
  toMs = Infinity;

  constructor(
    readonly kind: BorneKind | DisruptionKind,
    readonly node: string | undefined,
    readonly fromMs: number,
  ) {}
}

/** A request of a caller. */
export interface Call {
  readonly id: string;
  readonly path: string;
  /** Node to which the caller sends it. */
  readonly entry: string;
  readonly sentMs: number;
  /** Shorter one of the caller's deadline and the route's timeout. */
  readonly limitMs: number;
}

/** What a caller got. */
export interface Outcome {
  readonly atMs: number;
  /** HTTP status; 0 for a connection that closed without a complete answer. */
  readonly status: number;
  /** Whether a server made the answer. */
  readonly sealed: boolean;
  readonly text: string;
}

/** A run of a request at the backend server beside a node. */
export class Run {
  /** Time at which the server answered or was cut off; Infinity while it is at work. */
  endMs = Infinity;
  cut = false;

  constructor(
    readonly gate: string,
    readonly startMs: number,
  ) {}
}

/** Bounds of the users' rules. */
export interface AuditBounds {
  /** Time that a node has to end after SIGTERM. */
  readonly graceMs: number;
  /** Time for which a disruption excuses what comes after it. */
  readonly contactMs: number;
  /** Time in which a configuration or new settings come into force. */
  readonly configMs: number;
}

/** Requests that were broken off, one line each. */
export interface BrokenOff {
  /** Around planned work and without a disruption. */
  readonly lost: readonly string[];
  /** Without planned work and without a disruption. */
  readonly undisrupted: readonly string[];
  /** Beside a disruption of the nodes that are concerned. */
  readonly disrupted: readonly string[];
  /** Number of failures in the place of answers that servers had made. */
  readonly replaced: number;
}

/** Time after the grace in which the planned work of a stop lasts. */
const AFTER_GRACE_MS = 1_000;

/** Time after a configuration is in force in which its planned work lasts. */
const AFTER_CONFIGURATION_MS = 1_000;

/** Last part of the grace; a server that is still at work then may be cut off. */
const GRACE_END_SHARE = 1 / 6;

/** Requests sent this long after SIGTERM, or earlier, may reach into the end of the grace. */
const SENT_AFTER_STOP_MS = 3_000;

/** Share of its time after which a request may be cut beside a configuration. */
const CONFIGURATION_TIME_SHARE = 0.7;

const FIRST_ERROR_STATUS = 400;

const DISRUPTIONS: ReadonlySet<string> = new Set<DisruptionKind>([
  'kill',
  'links',
  'server',
]);

class CallRecord {
  readonly runs: Run[] = [];
  outcome: Outcome | undefined;

  constructor(readonly call: Call) {}
}

/** Records what callers and servers see and what disturbs nodes, and judges it afterwards. */
export class BrokenOffAudit {
  private readonly records = new Map<string, CallRecord>();
  private readonly disturbances: Disturbance[] = [];

  constructor(
    private readonly bounds: AuditBounds,
    private readonly now: () => number = () => performance.now(),
  ) {}

  /** Records a disturbance that begins; the caller sets its end, at once for a moment. */
  begin(kind: Disturbance['kind'], node?: string): Disturbance {
    const disturbance = new Disturbance(kind, node, this.now());
    this.disturbances.push(disturbance);
    return disturbance;
  }

  /** Records the end of a disturbance. */
  end(disturbance: Disturbance): void {
    disturbance.toMs = this.now();
  }

  /** Records a disturbance of all nodes that was noticed at its end. */
  noteStall(lengthMs: number): void {
    const stall = new Disturbance('stall', undefined, this.now() - lengthMs);
    this.disturbances.push(stall);
    this.end(stall);
  }

  /** Records a disturbance of a moment. */
  note(kind: Disturbance['kind'], node?: string): void {
    this.end(this.begin(kind, node));
  }

  onSent(call: Omit<Call, 'sentMs'>): void {
    const record = new CallRecord({...call, sentMs: this.now()});
    this.records.set(call.id, record);
  }

  /** Records a run; the caller reports its end. */
  onRun(id: string, gate: string): Run {
    const run = new Run(gate, this.now());
    this.records.get(id)?.runs.push(run);
    return run;
  }

  /** Records that a server has answered or was cut off; only the first end of a run counts. */
  onRunEnd(run: Run, how: 'answered' | 'cut'): void {
    if (run.endMs !== Infinity) return;
    run.endMs = this.now();
    run.cut = how === 'cut';
  }

  onOutcome(id: string, outcome: Omit<Outcome, 'atMs'>): void {
    const record = this.records.get(id);
    if (record) record.outcome = {...outcome, atMs: this.now()};
  }

  /** Judges all requests. */
  check(): BrokenOff {
    const lost: string[] = [];
    const undisrupted: string[] = [];
    const disrupted: string[] = [];
    let replaced = 0;
    for (const record of this.records.values()) {
      const verdict = this.judge(record);
      switch (verdict) {
        case 'fine':
          break;
        case 'replaced':
          replaced++;
          break;
        case 'lost':
          lost.push(`LOST ${this.describe(record)}`);
          break;
        case 'undisrupted':
          undisrupted.push(`BROKEN OFF ${this.describe(record)}`);
          break;
        case 'disrupted':
          disrupted.push(`broken off ${this.describe(record)}`);
          break;
      }
    }
    return {lost, undisrupted, disrupted, replaced};
  }

  private judge(
    record: CallRecord,
  ): 'fine' | 'replaced' | 'lost' | 'undisrupted' | 'disrupted' {
    const {call, outcome, runs} = record;
    if (outcome === undefined || !isOwnFailure(outcome)) return 'fine';
    if (outcome.atMs >= call.sentMs + call.limitMs) return 'fine';
    if (this.wasKilled(call.entry, call.sentMs, outcome.atMs)) return 'fine';
    const begun = runs.filter(run => run.startMs <= outcome.atMs);
    const open = begun.filter(run => run.cut || run.endMs > outcome.atMs);
    const working = open.filter(run => !this.gateEnded(run, outcome));
    const isClosed = outcome.status === 0;
    // An answer that was made must not be lost with the connection either.
    const concerned = isClosed && open.length === 0 ? begun : working;
    if (concerned.length === 0) {
      return begun.length > open.length ? 'replaced' : 'fine';
    }
    const stop = this.stopOf(call.entry, outcome.atMs);
    const endsWithGrace =
      stop !== undefined && this.reachesGraceEnd(call, concerned, stop);
    // Before the end of the grace nothing forces the node to end a request.
    if (endsWithGrace && outcome.atMs >= this.graceEndMs(stop)) return 'fine';
    const nodes = [call.entry, ...concerned.map(run => run.gate)];
    if (this.disruptions(nodes, call, outcome).length > 0) return 'disrupted';
    const isPlanned =
      (stop !== undefined && !endsWithGrace) ||
      (isClosed && this.isAroundChange(call, outcome));
    if (isPlanned) return 'lost';
    return concerned === begun ? 'replaced' : 'undisrupted';
  }

  private during(
    kind: Disturbance['kind'],
    node: string,
  ): readonly Disturbance[] {
    return this.disturbances.filter(
      d => d.kind === kind && (d.node ?? node) === node,
    );
  }

  private wasKilled(node: string, fromMs: number, toMs: number): boolean {
    return this.during('kill', node).some(
      d => d.fromMs <= toMs && d.toMs >= fromMs,
    );
  }

  /** Whether the process of the gate was killed, or ended with the time for its stop. */
  private gateEnded(run: Run, outcome: Outcome): boolean {
    if (this.wasKilled(run.gate, run.startMs, outcome.atMs)) return true;
    return this.during('stop', run.gate).some(
      d =>
        d.toMs >= run.startMs &&
        d.toMs <= outcome.atMs &&
        d.toMs >= this.graceEndMs(d),
    );
  }

  /** The last stop of the entry before a time, unless its planned work has ended. */
  private stopOf(entry: string, atMs: number): Disturbance | undefined {
    const lengthMs = this.bounds.graceMs + AFTER_GRACE_MS;
    return this.during('stop', entry)
      .filter(({fromMs}) => fromMs <= atMs && atMs <= fromMs + lengthMs)
      .at(-1);
  }

  /** Whether a server was at work in the last part of the grace on a request sent early enough. */
  private reachesGraceEnd(
    {sentMs}: Call,
    runs: readonly Run[],
    stop: Disturbance,
  ): boolean {
    const endMs = stop.fromMs + this.bounds.graceMs;
    return (
      sentMs <= stop.fromMs + SENT_AFTER_STOP_MS &&
      runs.some(run => run.startMs < endMs && run.endMs > this.graceEndMs(stop))
    );
  }

  /** Time at which the last part of the grace begins. */
  private graceEndMs({fromMs}: Disturbance): number {
    return fromMs + (1 - GRACE_END_SHARE) * this.bounds.graceMs;
  }

  /** Whether a connection closed around new settings of the entry or a new configuration. */
  private isAroundChange(call: Call, {atMs}: Outcome): boolean {
    const {configMs} = this.bounds;
    const isReloaded = this.during('reload', call.entry).some(
      ({fromMs}) => call.sentMs <= fromMs + configMs && atMs > fromMs,
    );
    const usedMs = atMs - call.sentMs;
    const lengthMs = configMs + AFTER_CONFIGURATION_MS;
    const isConfigured =
      usedMs < CONFIGURATION_TIME_SHARE * call.limitMs &&
      this.during('configuration', call.entry).some(
        ({fromMs}) => fromMs <= atMs && atMs <= fromMs + lengthMs,
      );
    return isReloaded || isConfigured;
  }

  /** Disruptions of nodes from the contact time before a request to its outcome. */
  private disruptions(
    nodes: readonly string[],
    call: Call,
    outcome: Outcome,
  ): readonly Disturbance[] {
    return this.around(nodes, call, outcome).filter(d =>
      DISRUPTIONS.has(d.kind),
    );
  }

  private around(
    nodes: readonly string[],
    {sentMs}: Call,
    {atMs}: Outcome,
  ): readonly Disturbance[] {
    const fromMs = sentMs - this.bounds.contactMs;
    return this.disturbances.filter(
      d =>
        (d.node === undefined || nodes.includes(d.node)) &&
        d.fromMs <= atMs &&
        d.toMs >= fromMs,
    );
  }

  private describe({call, outcome, runs}: CallRecord): string {
    if (outcome === undefined) return call.id;
    const after = (atMs: number): string =>
      Number.isFinite(atMs) ? `${(atMs - call.sentMs).toFixed(0)} ms` : 'never';
    const ran = runs.map(
      run =>
        `run at ${run.gate} from ${after(run.startMs)} to ${after(run.endMs)}` +
        (run.cut ? ' (cut)' : ''),
    );
    const nodes = [call.entry, ...runs.map(run => run.gate)];
    const around = this.around(nodes, call, outcome).map(
      d =>
        `${d.kind} ${d.node ?? 'all'} ${after(d.fromMs)} to ${after(d.toMs)}`,
    );
    return (
      `${call.id} ${call.path} at ${call.entry} ` +
      `(sent at ${call.sentMs.toFixed(0)} ms, limit ${call.limitMs.toFixed(0)} ms): ` +
      `${outcome.status} "${outcome.text}" at ${after(outcome.atMs)}; ` +
      `${ran.join(', ')}; around: ${around.join(', ') || 'nothing'}`
    );
  }
}

function isOwnFailure({status, sealed}: Outcome): boolean {
  return status === 0 || (status >= FIRST_ERROR_STATUS && !sealed);
}
