/** Load of the other gates of the service, as they told it. */
import * as peer from '../../generated/peer.js';
import * as fleet from '../control/fleet_view.js';
import * as units from '../units.js';
import * as gateOptions from './gate_options.js';
import * as loadRoom from './load_room.js';

/** Age from which a report says nothing any more. */
const REPORT_AGE_MAX_MS = 15_000;

/** Age at which the room reported counts half. */
const ROOM_HALF_AGE_MS = 1_000;

/** Most siblings named in one refusal. */
const ALTERNATIVES = 2;

interface Report {
  readonly load: peer.LoadReport;
  readonly atMs: units.MonotonicMs;
}

/** A sibling with its report. */
export interface Sibling {
  readonly nodeId: string;
  readonly load: peer.LoadReport;
}

/** Reports of sibling gates. */
export class SiblingLoads {
  private readonly reports = new Map<string, Report>();

  constructor(private readonly options: gateOptions.GateOptions) {}

  /** Node ids of the siblings that may take work. */
  siblingIds(): readonly string[] {
    return this.members().map(m => m.member.nodeId);
  }

  /** Takes a report. */
  onReport(
    nodeId: string,
    load: peer.LoadReport,
    now: units.MonotonicMs,
  ): void {
    if (!this.options.view.member(nodeId)) return;
    this.reports.set(nodeId, {load, atMs: now - load.ageMs});
  }

  /** Siblings believed to have room, best first: own data centre, then most room. */
  withRoom(now: units.MonotonicMs): readonly Sibling[] {
    const siblings = this.members().flatMap(m => {
      const sibling = this.siblingAt(m.member.nodeId, now);
      if (!sibling || loadRoom.roomOf(sibling.load) <= 0) return [];
      const isNear = m.member.dataCentre === this.options.dataCentre;
      return [{sibling, isNear, tie: this.options.random.next()}];
    });
    siblings.sort(
      (a, b) =>
        Number(b.isNear) - Number(a.isNear) ||
        likelyRoom(b.sibling.load) - likelyRoom(a.sibling.load) ||
        a.tie - b.tie,
    );
    return siblings.slice(0, ALTERNATIVES).map(s => s.sibling);
  }

  private siblingAt(
    nodeId: string,
    now: units.MonotonicMs,
  ): Sibling | undefined {
    const report = this.reports.get(nodeId);
    if (!report) return undefined;
    const ageMs = Math.round(now - report.atMs);
    if (ageMs > REPORT_AGE_MAX_MS || report.load.leaving) return undefined;
    return {nodeId, load: {...report.load, ageMs}};
  }

  private members(): readonly fleet.MemberView[] {
    const {nodeId, service, view} = this.options;
    return view
      .membersOf(service)
      .filter(m => m.member.nodeId !== nodeId && fleet.mayTakeWork(view, m));
  }
}

/** Room reported, weighed by the age of the report. */
function likelyRoom(load: peer.LoadReport): number {
  return loadRoom.roomOf(load) / (1 + load.ageMs / ROOM_HALF_AGE_MS);
}
