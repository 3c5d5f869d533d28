/** Load of the other gates of the service, from their reports. */
import * as peer from '../../generated/peer.js';
import * as fleetView from '../control/fleet_view.js';
import * as units from '../units.js';
import * as gateOptions from './gate_options.js';
import * as loadCapacity from './load_capacity.js';

/** Age above which a report is ignored. */
const MAX_REPORT_AGE_MS = 15_000;

/** Age at which the reported free capacity has half its weight. */
const HALVING_AGE_MS = 1_000;

/** Maximum number of siblings listed in one refusal. */
const MAX_ALTERNATIVES = 2;

interface Report {
  readonly load: peer.LoadReport;
  readonly measuredMs: units.MonotonicMs;
}

/** A sibling gate with its last reported load. */
export interface Sibling {
  readonly nodeId: string;
  readonly load: peer.LoadReport;
}

/** Stores the load reports of sibling gates and ranks the siblings by them. */
export class SiblingLoads {
  private readonly reports = new Map<string, Report>();

  constructor(private readonly options: gateOptions.GateOptions) {}

  /** Node ids of the siblings that may be sent work. */
  siblingIds(): readonly string[] {
    return this.members().map(m => m.member.nodeId);
  }

  /** Stores a report, unless its sender is not a member. */
  onReport(
    nodeId: string,
    load: peer.LoadReport,
    now: units.MonotonicMs,
  ): void {
    if (!this.options.view.member(nodeId)) return;
    this.reports.set(nodeId, {load, measuredMs: now - load.ageMs});
  }

  /** Siblings with free capacity, best first: own data centre, then capacity weighted by age. */
  withFreeCapacity(now: units.MonotonicMs): readonly Sibling[] {
    const siblings = this.members().flatMap(m => {
      const sibling = this.recentSibling(m.member.nodeId, now);
      if (!sibling || loadCapacity.freeCapacityOf(sibling.load) <= 0) return [];
      const isNear = m.member.dataCentre === this.options.dataCentre;
      return [{sibling, isNear, tieBreaker: this.options.random.next()}];
    });
    siblings.sort(
      (a, b) =>
        Number(b.isNear) - Number(a.isNear) ||
        weightedFreeCapacity(b.sibling.load) -
          weightedFreeCapacity(a.sibling.load) ||
        a.tieBreaker - b.tieBreaker,
    );
    return siblings.slice(0, MAX_ALTERNATIVES).map(s => s.sibling);
  }

  private recentSibling(
    nodeId: string,
    now: units.MonotonicMs,
  ): Sibling | undefined {
    const report = this.reports.get(nodeId);
    if (!report) return undefined;
    const ageMs = Math.round(now - report.measuredMs);
    if (ageMs > MAX_REPORT_AGE_MS || report.load.leaving) return undefined;
    return {nodeId, load: {...report.load, ageMs}};
  }

  private members(): readonly fleetView.MemberView[] {
    const {nodeId, service, view} = this.options;
    return view
      .membersOf(service)
      .filter(
        m =>
          m.member.nodeId !== nodeId && fleetView.canReceiveRequests(view, m),
      );
  }
}

/** Returns the reported free capacity, with a weight that falls with the age of the report. */
function weightedFreeCapacity(load: peer.LoadReport): number {
  return loadCapacity.freeCapacityOf(load) / (1 + load.ageMs / HALVING_AGE_MS);
}
