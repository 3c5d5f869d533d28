import * as randomSource from '../random_source.js';
import * as gateTally from './gate_tally.js';
import * as rollout from './rollout.js';
import * as rollouts from './rollouts.js';
import * as rolloutOrders from './rollout_orders.js';

export const SERVICE = 's';
export const TARGET = 'v2';
export const DURATION_MS = 20_000;
export const BOUNDS = {exposeShare: 0.1, exposeSlack: 50, rollbackMs: 5_000};

export function record(
  offset: number,
  targetVersion = TARGET,
  era = 0,
): rolloutOrders.RolloutRecord {
  const order = {targetVersion, durationMs: DURATION_MS};
  return {service: SERVICE, order, position: {era, offset}};
}

export function withdrawal(
  offset: number,
  era = 0,
): rolloutOrders.RolloutRecord {
  return {service: SERVICE, order: undefined, position: {era, offset}};
}

/** Roll-outs of nodes that hear each other's reports, without delay. */
export class Fleet {
  readonly nodes: Node[] = [];
  nowMs = 0;

  constructor(versions: readonly string[]) {
    for (const [i, version] of versions.entries()) {
      this.nodes.push(new Node(this, `node-${i}`, version));
    }
  }

  order(change: rolloutOrders.RolloutRecord): void {
    for (const {orders, rollouts: known} of this.nodes) {
      orders.apply(change, this.nowMs);
      known.onOrders(this.nowMs);
    }
  }

  /** Lets time pass; nodes that are cut off or frozen neither hear nor are heard. */
  advance(ms: number): void {
    const endMs = this.nowMs + ms;
    while (this.nowMs < endMs) {
      this.nowMs += 250;
      const running = this.nodes.filter(node => !node.isFrozen);
      for (const node of running) node.serve();
      for (const node of running) node.rollouts.tick(this.nowMs);
      this.exchange(running.filter(node => !node.isCut));
    }
  }

  private exchange(nodes: readonly Node[]): void {
    for (const sender of nodes) {
      const reports = sender.rollouts.reports(this.nowMs);
      for (const node of nodes) {
        if (node === sender) continue;
        for (const report of reports) {
          node.rollouts.onReport(sender.nodeId, report, this.nowMs);
        }
      }
    }
  }
}

/** A node with a synthetic gate that starts requests as its roll-out allows. */
export class Node {
  readonly orders = new rolloutOrders.RolloutOrders();
  readonly rollouts: rollouts.Rollouts;
  readonly random: randomSource.SeededRandom;
  isFrozen = false;
  isCut = false;
  readsStore = true;
  /** Requests at each step, and the share of them that fails. */
  load = 5;
  failureShare = 0;
  durationMs = 100;
  started = 0;
  open = 0;

  constructor(
    private readonly fleet: Fleet,
    readonly nodeId: string,
    public version: string | undefined,
  ) {
    this.random = new randomSource.SeededRandom(
      nodeId.length + fleet.nodes.length,
    );
    this.rollouts = new rollouts.Rollouts({
      orders: this.orders,
      bounds: BOUNDS,
      nodeId,
      dataCentre: 'north',
      processStartedMs: 1,
      random: this.random,
      log: {write: () => undefined},
      service: () => SERVICE,
      version: () => this.version,
      gate: () => ({
        running: this.open,
        waiting: 0,
        limit: 4,
        isOpen: !this.rollouts.isGateClosed,
      }),
      authority: () => this.authority(),
      knownGates: () => fleet.nodes.map(node => node.nodeId),
      linkedGates: () => this.heard().map(node => node.nodeId),
      onChanged: () => undefined,
    });
  }

  serve(): void {
    for (let i = 0; i < this.load; i++) {
      if (this.rollouts.isGateClosed) return;
      if (!this.rollouts.mayStart(this.fleet.nowMs)) return;
      this.started++;
      this.rollouts.onStarted(4, 4);
      this.rollouts.onEnded(this.result());
    }
  }

  private result(): gateTally.RunResult {
    const failed = this.random.next() < this.failureShare;
    const durationMs = this.durationMs * (0.7 + 0.6 * this.random.next());
    return {route: 'r', failed, durationMs, cold: false};
  }

  private heard(): readonly Node[] {
    if (this.isCut) return [this];
    return this.fleet.nodes.filter(node => !node.isCut && !node.isFrozen);
  }

  private authority(): rollout.Authority {
    const readers = this.heard().filter(node => node.readsStore);
    const candidates = readers.length > 0 ? readers : this.heard();
    return {
      decides: candidates[0]?.nodeId === this.nodeId,
      readsStore: this.readsStore,
    };
  }
}
