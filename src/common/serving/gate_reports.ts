/** Load reports of gates, and the load that an entry estimates from them. */
import * as serving from '../../generated/serving.js';
import * as units from '../units.js';

/** Load assumed for a gate without a report. */
const UNKNOWN_LOAD: serving.Load = {
  running: 0,
  waiting: 0,
  limit: 4,
  pacePercent: 100,
  meanMs: 100,
  failingPercent: 0,
  cold: false,
  closure: serving.Closure.UNCONFIGURED,
  startWaitMs: 0,
  notice: undefined,
};

/** Current load of a gate as estimated by an entry. */
export interface GateEstimate {
  readonly load: serving.Load;
  readonly ageMs: units.Millis;
  /** Requests running or waiting: those reported, plus the change in own requests since. */
  readonly outstanding: number;
  /** Time until the rate limit of the backend server allows a further request. */
  readonly startWaitMs: units.Millis;
}

interface Report {
  readonly load: serving.Load;
  readonly receivedMs: units.MonotonicMs;
  /** Requests of this entry at the gate when the report was received. */
  readonly ownAtReport: number;
}

/** Longest time assumed between two starts at a server with a low rate limit. */
const MAX_SPACING_MS: units.Millis = 10_000;

/** Returns the time between starts that the rate limit requires, 0 without a limit. */
function spacingMs({notice}: serving.Load): units.Millis {
  const limitPerSecond = notice?.limitPerSecond;
  if (limitPerSecond === undefined) return 0;
  return Math.min(MAX_SPACING_MS, units.MS_PER_SECOND / limitPerSecond);
}

/** Stores the latest report of each gate and counts this entry's own requests there. */
export class GateReports {
  private readonly reports = new Map<string, Report>();
  private readonly ownByGate = new Map<string, number>();
  private readonly notices = new Map<string, serving.ServerNotice>();

  /** Stores a load report; ignored if undefined. */
  onLoad(
    nodeId: string,
    load: serving.Load | undefined,
    now: units.MonotonicMs,
  ): void {
    if (load === undefined) return;
    const ownAtReport = this.ownCount(nodeId);
    this.reports.set(nodeId, {load, receivedMs: now, ownAtReport});
    this.keepNotice(nodeId, load.notice);
  }

  /**
   * Returns what a gate has told of the incarnation beside it, undefined if nothing is in force. It
   * is kept when the link is lost, as a restarted gate has to be told.
   */
  noticeOf(nodeId: string): serving.ServerNotice | undefined {
    return this.notices.get(nodeId);
  }

  /** Removes the report of a gate whose link is lost; a new one is needed. */
  forget(nodeId: string): void {
    this.reports.delete(nodeId);
  }

  /** Records a request sent to a gate. */
  onSent(nodeId: string): void {
    this.ownByGate.set(nodeId, this.ownCount(nodeId) + 1);
  }

  /** Records the end of a request at a gate. */
  onEnded(nodeId: string): void {
    this.ownByGate.set(nodeId, Math.max(0, this.ownCount(nodeId) - 1));
  }

  /** Returns the estimated load of a gate; the age is infinite without a report. */
  estimate(nodeId: string, now: units.MonotonicMs): GateEstimate {
    const report = this.reports.get(nodeId);
    const ownNow = this.ownCount(nodeId);
    if (report === undefined) {
      return {
        load: UNKNOWN_LOAD,
        ageMs: Infinity,
        outstanding: ownNow,
        startWaitMs: 0,
      };
    }
    const {load, receivedMs, ownAtReport: ownThen} = report;
    const reported = load.running + load.waiting;
    const ageMs = now - receivedMs;
    const sentSince = Math.max(0, ownNow - ownThen);
    return {
      load,
      ageMs,
      outstanding: Math.max(ownNow, reported + ownNow - ownThen),
      startWaitMs:
        Math.max(0, load.startWaitMs - ageMs) + spacingMs(load) * sentSince,
    };
  }

  private keepNotice(
    nodeId: string,
    notice: serving.ServerNotice | undefined,
  ): void {
    if (notice === undefined) return;
    const isInForce = notice.leaving || notice.limitPerSecond !== undefined;
    if (isInForce) this.notices.set(nodeId, notice);
    else this.notices.delete(nodeId);
  }

  private ownCount(nodeId: string): number {
    return this.ownByGate.get(nodeId) ?? 0;
  }
}
