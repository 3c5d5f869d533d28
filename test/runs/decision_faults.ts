/** Faults of a randomised decision run. */
import * as randomSource from '../../src/common/random_source.js';
import * as units from '../../src/common/units.js';
import * as fleets from '../fakes/virtual_service.js';
import * as audits from '../fakes/virtual_service_audit.js';
import * as nodes from '../fakes/virtual_service_node.js';

/** Kinds of faults. */
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

/** Kind of a fault. */
export type FaultKind = (typeof FAULT_KINDS)[number];

/** A fault at a node; `target` counts over the nodes with a backend server. */
export interface Fault {
  readonly kind: FaultKind;
  readonly atMs: units.Millis;
  readonly target: number;
  readonly lengthMs: units.Millis;
}

/** What faults act on. */
export interface Stage {
  readonly fleet: fleets.VirtualFleet;
  readonly audit: audits.Audit;
}

/** Latest start of a fault. */
export const LAST_START_MS = 5_000;
/** Longest time that a fault lasts. */
export const LONGEST_MS = 4_000;
const MOST_FAULTS = 6;
const SLOWDOWN = 8;
const SILENT_SHARE = 0.05;

/** Draws a mix of faults. */
export function draw(random: randomSource.RandomSource): readonly Fault[] {
  return Array.from({length: 1 + random.nextInt(MOST_FAULTS)}, () => ({
    kind: FAULT_KINDS[random.nextInt(FAULT_KINDS.length)],
    atMs: random.nextInt(LAST_START_MS),
    target: random.nextInt(100),
    lengthMs: 1 + random.nextInt(LONGEST_MS),
  }));
}

/** Begins a fault and schedules its end. */
export function begin(fault: Fault, stage: Stage): void {
  const all = stage.fleet.nodes.filter(n => n.server !== undefined);
  const node = all[fault.target % all.length];
  if (!node.isUp) return;
  new FaultAt(fault, node, stage).begin();
}

class FaultAt {
  constructor(
    private readonly fault: Fault,
    private readonly node: nodes.VirtualNode,
    private readonly stage: Stage,
  ) {}

  begin(): void {
    const {node, fault} = this;
    const {fleet} = this.stage;
    const server = node.server!;
    switch (fault.kind) {
      case 'slow':
        return server.slow(SLOWDOWN, fault.lengthMs);
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
        node.liesAboutLoad = true;
        return this.atEnd(() => (node.liesAboutLoad = false));
      case 'pause':
        return node.pause(fault.lengthMs);
    }
  }

  private atEnd(task: () => void): void {
    this.stage.fleet.clock.after(this.fault.lengthMs, task);
  }

  private silenceLinks(): void {
    for (const from of this.stage.fleet.nodes) {
      if (from !== this.node) this.stage.fleet.network.silence(from, this.node);
    }
  }

  private takeDataCentreOut(): void {
    const {fleet, audit} = this.stage;
    const {dataCentre} = this.node;
    const inside = fleet.nodes.filter(n => n.dataCentre === dataCentre);
    for (const n of inside) audit.onOut(n.nodeId);
    fleet.takeDataCentreOut(dataCentre);
    this.atEnd(() => {
      for (const n of inside) {
        if (!audit.isStopped(n.nodeId)) audit.onBack(n.nodeId);
      }
      fleet.returnDataCentre(dataCentre);
    });
  }

  private stop(): void {
    this.stage.audit.onStopped(this.node.nodeId);
    this.stage.fleet.stop(this.node);
  }
}
