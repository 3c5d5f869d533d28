/** Load of the gates as one entry knows it, weighted by the age of the reports. */
import * as peer from '../../generated/peer.js';
import * as units from '../units.js';
import * as outstandingAttempts from './outstanding_attempts.js';
import * as utilisation from './utilisation.js';

/** Half-life of a reported concurrency limit; a reported cold start is ignored after it. */
const LIMIT_HALF_LIFE_MS = 5_000;

/** Maximum number of reports kept; the member that reported longest ago is dropped first. */
const MAX_MEMBERS = 4_096;

/** Maximum number of groups; a group is the gates of one service in one data centre. */
const MAX_GROUPS = 1_024;

/** Added to the score of a gate in cold start. */
const COLD_START_PENALTY = 0.5;

interface KnownReport {
  readonly report: peer.LoadReport;
  readonly madeAtMs: units.MonotonicMs;
  /** Requests from other entries at the gate, as a share of its limit. */
  readonly othersUtilisation: number;
}

/** Estimated load of a gate now. */
export interface LoadEstimate {
  /**
   * Requests running and queued as a share of the limit: those of other entries as reported, with
   * a weight that decays with age, plus the open attempts of this entry, which are known exactly.
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
  /** Open attempts of this entry at the gate. */
  readonly ownOutstanding: number;
  /** Utilisation with one more request, plus penalties; the lowest is best. */
  readonly score: number;
}

/** Keeps load reports by member and smoothed utilisation by service and data centre. */
export class LoadView {
  private readonly reports = new Map<string, KnownReport>();
  private readonly groupUtilisations = new utilisation.SmoothedUtilisation(
    MAX_GROUPS,
  );

  constructor(
    private readonly ownAttempts: outstandingAttempts.OutstandingAttempts,
    private readonly halfLifeMs: units.Millis,
  ) {}

  /** Stores a report unless a newer one is known. */
  onReport(
    m: peer.Member,
    report: peer.LoadReport,
    nowMs: units.MonotonicMs,
  ): void {
    const madeAtMs = nowMs - report.ageMs;
    const known = this.reports.get(m.nodeId);
    if (known !== undefined && known.madeAtMs > madeAtMs) return;
    const othersUtilisation = this.othersUtilisation(
      m.nodeId,
      report,
      madeAtMs,
    );
    this.reports.delete(m.nodeId);
    this.reports.set(m.nodeId, {
      report,
      madeAtMs,
      othersUtilisation,
    });
    this.groupUtilisations.add(groupOf(m), othersUtilisation, nowMs);
    if (this.reports.size > MAX_MEMBERS) {
      const [oldest] = this.reports.keys();
      this.reports.delete(oldest);
    }
  }

  /** Returns the estimated load of the gate of a member. */
  estimate(m: peer.Member, nowMs: units.MonotonicMs): LoadEstimate {
    const known = this.reports.get(m.nodeId);
    const ageMs = known && nowMs - known.madeAtMs;
    const weight =
      ageMs === undefined ? 0 : utilisation.weightAtAge(ageMs, this.halfLifeMs);
    const limit = this.limit(m, known, nowMs);
    const ownOutstanding = this.ownAttempts.countAt(m.nodeId);
    const groupUtilisation = this.groupUtilisations.of(groupOf(m), nowMs);
    const reported = known?.othersUtilisation ?? groupUtilisation;
    const othersUtilisation =
      weight * reported + (1 - weight) * groupUtilisation;
    const cold = this.isCold(known, nowMs);
    const penalty = cold ? COLD_START_PENALTY : 0;
    return {
      utilisation: othersUtilisation + ownOutstanding / limit,
      limit,
      ageMs,
      weight,
      cold,
      leaving: known?.report.leaving ?? false,
      ownOutstanding,
      score: othersUtilisation + (ownOutstanding + 1) / limit + penalty,
    };
  }

  /** Returns the load from other entries: the report minus own attempts older than it. */
  private othersUtilisation(
    nodeId: string,
    report: peer.LoadReport,
    madeAtMs: units.MonotonicMs,
  ): number {
    const {inFlight, queued, limit} = report;
    const olderAttempts =
      this.ownAttempts.countAt(nodeId) -
      this.ownAttempts.countStartedAfter(nodeId, madeAtMs);
    return Math.max(0, inFlight + queued - olderAttempts) / Math.max(1, limit);
  }

  private limit(
    m: peer.Member,
    known: KnownReport | undefined,
    nowMs: units.MonotonicMs,
  ): number {
    const slots = Math.max(1, m.slots);
    if (known === undefined) return slots;
    const ageMs = nowMs - known.madeAtMs;
    const weight = utilisation.weightAtAge(ageMs, LIMIT_HALF_LIFE_MS);
    return Math.max(1, weight * known.report.limit + (1 - weight) * slots);
  }

  private isCold(
    known: KnownReport | undefined,
    nowMs: units.MonotonicMs,
  ): boolean {
    if (known === undefined || !known.report.cold) return false;
    return nowMs - known.madeAtMs < LIMIT_HALF_LIFE_MS;
  }
}

function groupOf(m: peer.Member): string {
  return `${m.service}/${m.dataCentre}`;
}
