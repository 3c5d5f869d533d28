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
};

/** Current load of a gate as estimated by an entry. */
export interface GateEstimate {
  readonly load: serving.Load;
  readonly ageMs: units.Millis;
  /** Requests running or waiting: those reported, plus the change in own requests since. */
  readonly outstanding: number;
}

interface Report {
  readonly load: serving.Load;
  readonly receivedMs: units.MonotonicMs;
  /** Requests of this entry at the gate when the report was received. */
  readonly ownAtReport: number;
}

/** Stores the latest report of each gate and counts this entry's own requests there. */
export class GateReports {
  private readonly reports = new Map<string, Report>();
  private readonly ownByGate = new Map<string, number>();

  /** Stores a load report; ignored if undefined. */
  onLoad(
    nodeId: string,
    load: serving.Load | undefined,
    now: units.MonotonicMs,
  ): void {
    if (load === undefined) return;
    const ownAtReport = this.ownCount(nodeId);
    this.reports.set(nodeId, {load, receivedMs: now, ownAtReport});
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
      return {load: UNKNOWN_LOAD, ageMs: Infinity, outstanding: ownNow};
    }
    const {load, receivedMs, ownAtReport: ownThen} = report;
    const reported = load.running + load.waiting;
    return {
      load,
      ageMs: now - receivedMs,
      outstanding: Math.max(ownNow, reported + ownNow - ownThen),
    };
  }

  private ownCount(nodeId: string): number {
    return this.ownByGate.get(nodeId) ?? 0;
  }
}
