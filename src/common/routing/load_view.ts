/** What an entry knows of the load of gates, and how much of it still counts. */
import * as peer from '../../generated/peer.js';
import * as units from '../units.js';
import * as outstanding from './outstanding.js';
import * as utilisation from './utilisation.js';

/** Age at which a concurrency limit or a cold start in a report weighs half. */
const LIMIT_HALF_LIFE_MS = 5_000;

/** Most members whose report is kept; the one reported longest ago is dropped first. */
const MAX_MEMBERS = 4_096;

/** Most groups of one service in one data centre. */
const MAX_GROUPS = 1_024;

/** Added to the score of a gate in cold start. */
const COLD_SCORE = 0.5;

interface Known {
  readonly report: peer.LoadReport;
  readonly madeAtMs: units.MonotonicMs;
  /** Work at the gate that other entries sent, as a share of its limit. */
  readonly others: number;
}

/** What is expected of a gate now. */
export interface Estimate {
  /**
   * Work in progress and waiting as a share of the limit: the reported work of other entries,
   * which loses weight with age, and the own attempts, which are known exactly.
   */
  readonly utilisation: number;
  /** Concurrency limit, in requests. */
  readonly limit: number;
  /** Age of the newest report, undefined without one. */
  readonly ageMs: units.Millis | undefined;
  /** Weight of the newest report, in [0, 1]. */
  readonly weight: number;
  readonly cold: boolean;
  readonly leaving: boolean;
  /** Own attempts waiting for an answer. */
  readonly ownOutstanding: number;
  /** Utilisation with one more request, and what speaks against the gate; least is best. */
  readonly score: number;
}

/** Load reports by member, and smoothed utilisation by data centre. */
export class LoadView {
  private readonly reports = new Map<string, Known>();
  private readonly groups = new utilisation.Utilisation(MAX_GROUPS);

  constructor(
    private readonly own: outstanding.Outstanding,
    private readonly halfLifeMs: units.Millis,
  ) {}

  /** Takes a report unless a newer one is known. */
  onReport(
    m: peer.Member,
    report: peer.LoadReport,
    nowMs: units.MonotonicMs,
  ): void {
    const madeAtMs = nowMs - report.ageMs;
    const known = this.reports.get(m.nodeId);
    if (known !== undefined && known.madeAtMs > madeAtMs) return;
    const others = this.othersShare(m.nodeId, report, madeAtMs);
    this.reports.delete(m.nodeId);
    this.reports.set(m.nodeId, {report, madeAtMs, others});
    this.groups.add(groupOf(m), others, nowMs);
    if (this.reports.size > MAX_MEMBERS) {
      const [oldest] = this.reports.keys();
      this.reports.delete(oldest);
    }
  }

  /** Returns what is expected of a gate. */
  estimate(m: peer.Member, nowMs: units.MonotonicMs): Estimate {
    const known = this.reports.get(m.nodeId);
    const ageMs = known && nowMs - known.madeAtMs;
    const weight =
      ageMs === undefined ? 0 : utilisation.weightAtAge(ageMs, this.halfLifeMs);
    const limit = this.limit(m, known, nowMs);
    const ownOutstanding = this.own.at(m.nodeId);
    const expected = this.groups.of(groupOf(m), nowMs);
    const reported = known?.others ?? expected;
    const others = weight * reported + (1 - weight) * expected;
    const cold = this.isCold(known, nowMs);
    const penalty = cold ? COLD_SCORE : 0;
    return {
      utilisation: others + ownOutstanding / limit,
      limit,
      ageMs,
      weight,
      cold,
      leaving: known?.report.leaving ?? false,
      ownOutstanding,
      score: others + (ownOutstanding + 1) / limit + penalty,
    };
  }

  /** Returns the load that other entries cause, own attempts older than the report taken off. */
  private othersShare(
    nodeId: string,
    report: peer.LoadReport,
    madeAtMs: units.MonotonicMs,
  ): number {
    const {inFlight, queued, limit} = report;
    const own = this.own.at(nodeId) - this.own.startedAfter(nodeId, madeAtMs);
    return Math.max(0, inFlight + queued - own) / Math.max(1, limit);
  }

  private limit(
    m: peer.Member,
    known: Known | undefined,
    nowMs: units.MonotonicMs,
  ): number {
    const slots = Math.max(1, m.slots);
    if (known === undefined) return slots;
    const ageMs = nowMs - known.madeAtMs;
    const weight = utilisation.weightAtAge(ageMs, LIMIT_HALF_LIFE_MS);
    return Math.max(1, weight * known.report.limit + (1 - weight) * slots);
  }

  private isCold(known: Known | undefined, nowMs: units.MonotonicMs): boolean {
    if (known === undefined || !known.report.cold) return false;
    return nowMs - known.madeAtMs < LIMIT_HALF_LIFE_MS;
  }
}

function groupOf(m: peer.Member): string {
  return `${m.service}/${m.dataCentre}`;
}
