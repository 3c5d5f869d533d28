/** A gate with its lagging view of the log and its fake backend server. */
import * as assert from 'node:assert/strict';

import * as peer from '../../generated/peer.js';
import * as counters from '../counters.js';
import * as invariants from '../invariants.js';
import * as randomSource from '../random_source.js';
import * as fixtures from './gate_fixtures.test.js';
import * as gateCore from './gate_core.js';

export const SLOTS = 4;
const COLD_START_MS = 2_000;
const SPREAD_MS = 50;

/** A change in the log: whether the data centre is out. */
export interface Change {
  readonly atMs: number;
  readonly isOut: boolean;
}

/** A caller's request; `kills` makes it crash each server that runs it. */
export interface Request {
  readonly id: string;
  readonly className: string;
  readonly kills: boolean;
}

/** The log and the time, as a node sees them. */
export interface LogAndTime {
  readonly nowMs: number;
  readonly changes: readonly Change[];
}

/** A node's lagging view of the log. */
class LogView extends fixtures.FakeView {
  confirmedMs = 0;
  override nodeIds = ['gate-1', 'gate-2'];
  isCut = false;
  /** Last time at which the log was found out of reach. */
  cutMs = -Infinity;

  constructor(private readonly world: LogAndTime) {
    super();
  }

  /** Reads the log as of `ms`. */
  confirm(ms: number): void {
    this.confirmedMs = ms;
    const known = this.world.changes.filter(c => c.atMs <= ms);
    const out = known.at(-1);
    this.configuration = fixtures.configuration({
      defaults: {coldStartMs: COLD_START_MS, progressTimeoutMs: 150},
      exceptions: out?.isOut ? [fixtures.dataCentreOut('dc-1')] : [],
    });
  }

  override rosterConfirmedAgeMs(): number {
    return this.world.nowMs - this.confirmedMs;
  }
}

/** A gate and the backend server beside it. */
export class Node {
  readonly view: LogView;
  readonly counters = new counters.MemoryCounters();
  readonly gate: gateCore.GateCore;
  /** Runs that the server works on. */
  readonly running = new Map<string, peer.CallRequest>();
  pausedUntilMs = 0;
  isUp = true;
  upSinceMs = -Infinity;
  life = 0;
  drained = false;
  wakeMs: number | undefined;

  constructor(
    readonly nodeId: string,
    world: LogAndTime,
    seed: number,
  ) {
    this.view = new LogView(world);
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

  /** Requests that the server can carry now. */
  capacity(ms: number): number {
    const share = (ms - this.upSinceMs) / COLD_START_MS;
    return Math.min(SLOTS, 1 + (SLOTS - 1) * share);
  }
}

interface Appointment {
  readonly atMs: number;
  readonly run: () => void;
}

/** What is to happen, by time. */
export class Agenda {
  /** Latest first. */
  private readonly appointments: Appointment[] = [];

  add(atMs: number, run: () => void): void {
    let low = 0;
    let high = this.appointments.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (this.appointments[middle].atMs > atMs) low = middle + 1;
      else high = middle;
    }
    this.appointments.splice(low, 0, {atMs, run});
  }

  takeFirst(): Appointment | undefined {
    return this.appointments.pop();
  }
}

/** Deaths of servers by request; more than two are a fault. */
export class DeathCount {
  private readonly counts = new Map<string, number>();
  private readonly lastMs = new Map<string, number>();

  /** Deaths within the spread of a report count as one: neither gate can know of the other. */
  add(requestId: string, ms: number): void {
    const sinceMs = ms - (this.lastMs.get(requestId) ?? -Infinity);
    this.lastMs.set(requestId, ms);
    if (sinceMs <= SPREAD_MS) return;
    const count = (this.counts.get(requestId) ?? 0) + 1;
    this.counts.set(requestId, count);
    assert.ok(count <= 2, `${requestId} killed ${count} servers`);
  }
}
