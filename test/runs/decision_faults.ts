/** Fault injection for randomised decision runs. */
import * as randomSource from '../../src/common/random_source.js';
import * as units from '../../src/common/units.js';
import * as virtualService from '../fakes/virtual_service.js';
import * as virtualServiceAudit from '../fakes/virtual_service_audit.js';
import * as virtualServiceNode from '../fakes/virtual_service_node.js';

/** Kinds of faults, printed by bench/soak.ts. */
export const FAULT_KINDS = [
  'slow',
  'server-crash',
  'node-crash',
  'silent-cold',
  'fast-failure',
  'shed',
  'bad-answers',
  'silent-link',
  'silent-runs',
  'data-centre-out',
  'stop',
  'lying-reports',
  'pause',
] as const;

/** One of FAULT_KINDS. */
export type FaultKind = (typeof FAULT_KINDS)[number];

/** A fault; `target` is an index, modulo their number, into the nodes with a backend server. */
export interface Fault {
  readonly kind: FaultKind;
  readonly atMs: units.Millis;
  readonly target: number;
  readonly lengthMs: units.Millis;
}

/** The fleet into which faults are injected, and the audit that must know of them. */
export interface FaultContext {
  readonly fleet: virtualService.VirtualFleet;
  readonly audit: virtualServiceAudit.Audit;
}

/** Latest start of a fault, exclusive in `draw`. */
export const MAX_START_MS = 5_000;
/** Longest duration of a fault. */
export const MAX_LENGTH_MS = 4_000;
const MAX_FAULTS = 6;
/** Factor on the service time of a slowed server. */
const SLOWDOWN_FACTOR = 8;
/** Share of runs without an answer in a `silent-runs` fault. */
const SILENT_SHARE = 0.05;

/** Draws 1 to 6 faults at random. */
export function draw(random: randomSource.RandomSource): readonly Fault[] {
  return Array.from({length: 1 + random.nextInt(MAX_FAULTS)}, () => ({
    kind: FAULT_KINDS[random.nextInt(FAULT_KINDS.length)],
    atMs: random.nextInt(MAX_START_MS),
    target: random.nextInt(100),
    lengthMs: 1 + random.nextInt(MAX_LENGTH_MS),
  }));
}

/** Starts a fault and schedules its end; does nothing if the node is down. */
export function begin(fault: Fault, ctx: FaultContext): void {
  const all = ctx.fleet.nodes.filter(n => n.server !== undefined);
  const node = all[fault.target % all.length];
  if (!node.isUp) return;
  new FaultInjection(fault, node, ctx).begin();
}

class FaultInjection {
  constructor(
    private readonly fault: Fault,
    private readonly node: virtualServiceNode.VirtualNode,
    private readonly ctx: FaultContext,
  ) {}

  begin(): void {
    const {node, fault} = this;
    const {fleet} = this.ctx;
    const server = node.server!;
    switch (fault.kind) {
      case 'slow':
        return server.slow(SLOWDOWN_FACTOR, fault.lengthMs);
      case 'server-crash':
        return fleet.crashServer(node);
      case 'node-crash':
        return fleet.crashNode(node, fault.lengthMs, fleet.warmUpMs);
      case 'silent-cold':
        return server.turnCold(fleet.warmUpMs, false);
      case 'fast-failure':
        server.failsFast = true;
        return this.atEnd(() => (server.failsFast = false));
      case 'shed':
        server.sheds = true;
        return this.atEnd(() => (server.sheds = false));
      case 'bad-answers':
        server.answersBadly = true;
        return this.atEnd(() => (server.answersBadly = false));
      case 'silent-link':
        return this.silenceLinks();
      case 'silent-runs':
        node.runner!.silentShare = SILENT_SHARE;
        return this.atEnd(() => (node.runner!.silentShare = 0));
      case 'data-centre-out':
        return this.takeDataCentreOut();
      case 'stop':
        return this.stop();
      case 'lying-reports':
        node.reportsNoLoad = true;
        return this.atEnd(() => (node.reportsNoLoad = false));
      case 'pause':
        return node.pause(fault.lengthMs);
    }
  }

  private atEnd(task: () => void): void {
    this.ctx.fleet.clock.after(this.fault.lengthMs, task);
  }

  private silenceLinks(): void {
    for (const from of this.ctx.fleet.nodes) {
      if (from !== this.node) this.ctx.fleet.network.silence(from, this.node);
    }
  }

  private takeDataCentreOut(): void {
    const {fleet, audit} = this.ctx;
    const {dataCentre} = this.node;
    const inside = fleet.nodes.filter(n => n.dataCentre === dataCentre);
    for (const n of inside) audit.onTakenOut(n.nodeId);
    fleet.takeDataCentreOut(dataCentre);
    this.atEnd(() => {
      for (const n of inside) {
        if (!audit.isStopped(n.nodeId)) audit.onReturned(n.nodeId);
      }
      fleet.returnDataCentre(dataCentre);
    });
  }

  private stop(): void {
    this.ctx.audit.onStopped(this.node.nodeId);
    this.ctx.fleet.stop(this.node);
  }
}
