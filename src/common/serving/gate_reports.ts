/** What an entry knows of the gates' load, and the estimate that follows from it. */
import * as serving from '../../generated/serving.js';
import * as units from '../units.js';

/** Load assumed of a gate that has told none. */
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

/** Load of a gate as an entry estimates it now. */
export interface GateEstimate {
  readonly load: serving.Load;
  readonly ageMs: units.Millis;
  /** Requests running or waiting: those told, corrected by what this entry has sent since. */
  readonly outstanding: number;
}

interface Report {
  readonly load: serving.Load;
  readonly receivedMs: units.MonotonicMs;
  /** Requests of this entry at the gate when the report came. */
  readonly ownThen: number;
}

/** Keeps the newest report of each gate, and this entry's own requests there. */
export class GateReports {
  private readonly reports = new Map<string, Report>();
  private readonly own = new Map<string, number>();

  /** Takes a report. */
  onLoad(
    nodeId: string,
    load: serving.Load | undefined,
    now: units.MonotonicMs,
  ): void {
    if (load === undefined) return;
    const ownThen = this.ownAt(nodeId);
    this.reports.set(nodeId, {load, receivedMs: now, ownThen});
  }

  /** Forgets a gate whose link is lost; it has to tell its load again. */
  forget(nodeId: string): void {
    this.reports.delete(nodeId);
  }

  /** Notes a request sent to a gate. */
  onSent(nodeId: string): void {
    this.own.set(nodeId, this.ownAt(nodeId) + 1);
  }

  /** Notes the end of a request at a gate. */
  onEnded(nodeId: string): void {
    this.own.set(nodeId, Math.max(0, this.ownAt(nodeId) - 1));
  }

  /** Returns the estimate of a gate's load. */
  estimate(nodeId: string, now: units.MonotonicMs): GateEstimate {
    const report = this.reports.get(nodeId);
    const own = this.ownAt(nodeId);
    if (report === undefined) {
      return {load: UNKNOWN_LOAD, ageMs: Infinity, outstanding: own};
    }
    const {load, receivedMs, ownThen} = report;
    const told = load.running + load.waiting;
    return {
      load,
      ageMs: now - receivedMs,
      outstanding: Math.max(own, told + own - ownThen),
    };
  }

  private ownAt(nodeId: string): number {
    return this.own.get(nodeId) ?? 0;
  }
}
