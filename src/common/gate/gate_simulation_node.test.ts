/** Simulated node: a gate with a delayed view of the log and a fake backend server. */
import * as assert from 'node:assert/strict';

import * as peer from '../../generated/peer.js';
import * as counters from '../counters.js';
import * as invariants from '../invariants.js';
import * as randomSource from '../random_source.js';
import * as fixtures from './gate_fixtures.test.js';
import * as gateCore from './gate_core.js';

/** Slots of each simulated backend server. */
export const SLOTS = 4;
const COLD_START_MS = 2_000;
/** Time allowed for a suspect report to reach the other gate. */
const REPORT_SPREAD_MS = 50;

/** A change recorded in the log: whether data centre `dc-1` is out. */
export interface Change {
  readonly atMs: number;
  readonly isOut: boolean;
}

/** A caller's request; with `kills` set, it crashes every backend server that runs it. */
export interface Request {
  readonly id: string;
  readonly className: string;
  readonly kills: boolean;
}

/** Simulated log and virtual time, as read by a node. */
export interface SimulatedLog {
  readonly nowMs: number;
  readonly changes: readonly Change[];
}

/** A node's view of the log as of its last confirmation. */
class LogView extends fixtures.FakeView {
  confirmedMs = 0;
  override nodeIds = ['gate-1', 'gate-2'];
  isLogUnreachable = false;
  /** Time of the last failed attempt to read the log. */
  lastUnreachableMs = -Infinity;

  constructor(private readonly simulation: SimulatedLog) {
    super();
  }

  /** Updates the view to the state of the log at `ms`. */
  confirm(ms: number): void {
    this.confirmedMs = ms;
    const known = this.simulation.changes.filter(c => c.atMs <= ms);
    const out = known.at(-1);
    this.configuration = fixtures.configuration({
      defaults: {coldStartMs: COLD_START_MS, progressTimeoutMs: 150},
      exceptions: out?.isOut ? [fixtures.dataCentreOut('dc-1')] : [],
    });
  }

  override rosterConfirmedAgeMs(): number {
    return this.simulation.nowMs - this.confirmedMs;
  }
}

/** A gate and its backend server. */
export class SimulatedNode {
  readonly view: LogView;
  readonly counters = new counters.MemoryCounters();
  readonly gate: gateCore.GateCore;
  /** Runs in progress on the backend server, by call id and run number. */
  readonly running = new Map<string, peer.CallRequest>();
  pausedUntilMs = 0;
  isServerUp = true;
  serverUpSinceMs = -Infinity;
  /** Incremented when the backend server crashes, so that results of earlier runs are dropped. */
  boot = 0;
  drained = false;
  wakeMs: number | undefined;

  constructor(
    readonly nodeId: string,
    simulation: SimulatedLog,
    seed: number,
  ) {
    this.view = new LogView(simulation);
    this.gate = new gateCore.GateCore({
      nodeId,
      service: 'orders',
      dataCentre: nodeId === 'gate-1' ? 'dc-1' : 'dc-2',
      incarnation: 7,
      slots: SLOTS,
      bounds: {calls: 4_096},
      view: this.view,
      counters: this.counters,
      invariants: new invariants.Invariants(this.counters),
      random: new randomSource.SeededRandom(seed),
    });
  }

  /** Number of requests that the backend server can run at `ms`, during slow start fewer. */
  capacity(ms: number): number {
    const share = (ms - this.serverUpSinceMs) / COLD_START_MS;
    return Math.min(SLOTS, 1 + (SLOTS - 1) * share);
  }
}

interface ScheduledEvent {
  readonly atMs: number;
  readonly run: () => void;
}

/** Scheduled events in order of time. */
export class EventQueue {
  /** Sorted by time, latest first. */
  private readonly scheduled: ScheduledEvent[] = [];

  add(atMs: number, run: () => void): void {
    let low = 0;
    let high = this.scheduled.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (this.scheduled[middle].atMs > atMs) low = middle + 1;
      else high = middle;
    }
    this.scheduled.splice(low, 0, {atMs, run});
  }

  takeNext(): ScheduledEvent | undefined {
    return this.scheduled.pop();
  }
}

/** Counts server deaths by request and fails at the third death caused by one request. */
export class DeathCounter {
  private readonly counts = new Map<string, number>();
  private readonly lastMs = new Map<string, number>();

  /**
   * Counts a death. Deaths within `REPORT_SPREAD_MS` of the last one count as one with it, because
   * neither gate can have received the report of the other yet.
   */
  add(requestId: string, ms: number): void {
    const sinceMs = ms - (this.lastMs.get(requestId) ?? -Infinity);
    this.lastMs.set(requestId, ms);
    if (sinceMs <= REPORT_SPREAD_MS) return;
    const count = (this.counts.get(requestId) ?? 0) + 1;
    this.counts.set(requestId, count);
    assert.ok(count <= 2, `${requestId} killed ${count} servers`);
  }
}
