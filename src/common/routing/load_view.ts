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
}

/** What is expected of a gate now. */
export interface Estimate {
  /** Work in progress and waiting as a share of the limit, own attempts included. */
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
    this.reports.delete(m.nodeId);
    this.reports.set(m.nodeId, {report, madeAtMs});
    this.groups.add(groupOf(m), reportedUtilisation(report), nowMs);
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
    const sinceMs = known && weight > 0 ? known.madeAtMs : -Infinity;
    const unreported = this.own.startedAfter(m.nodeId, sinceMs);
    const expected = this.groups.of(groupOf(m), nowMs);
    const reported = known ? reportedUtilisation(known.report) : expected;
    const share = weight * reported + (1 - weight) * expected;
    const cold = this.isCold(known, nowMs);
    return {
      utilisation: share + unreported / limit,
      limit,
      ageMs,
      weight,
      cold,
      leaving: known?.report.leaving ?? false,
      ownOutstanding: this.own.at(m.nodeId),
      score: share + (unreported + 1) / limit + (cold ? COLD_SCORE : 0),
    };
  }

  /** Returns the mean utilisation expected of members. */
  meanUtilisation(
    members: readonly peer.Member[],
    nowMs: units.MonotonicMs,
  ): number {
    const sum = members.reduce(
      (total, m) => total + this.groups.of(groupOf(m), nowMs),
      0,
    );
    return sum / members.length;
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

function reportedUtilisation(report: peer.LoadReport): number {
  return (report.inFlight + report.queued) / Math.max(1, report.limit);
}
