/** This entry's own attempts that wait for an answer, by gate. */
import * as units from '../units.js';

/** Start times of open attempts by gate. */
export class Outstanding {
  private readonly starts = new Map<string, units.MonotonicMs[]>();

  /** Returns the number of open attempts at a gate. */
  at(nodeId: string): number {
    return this.starts.get(nodeId)?.length ?? 0;
  }

  /** Returns the number of open attempts at a gate that were started after `sinceMs`. */
  startedAfter(nodeId: string, sinceMs: units.MonotonicMs): number {
    const starts = this.starts.get(nodeId) ?? [];
    return starts.filter(startMs => startMs > sinceMs).length;
  }

  /** Notes that an attempt was opened. */
  add(nodeId: string, startMs: units.MonotonicMs): void {
    const starts = this.starts.get(nodeId);
    if (starts === undefined) this.starts.set(nodeId, [startMs]);
    else starts.push(startMs);
  }

  /** Notes that an attempt opened at `startMs` has ended. */
  remove(nodeId: string, startMs: units.MonotonicMs): void {
    const starts = this.starts.get(nodeId);
    if (starts === undefined) return;
    const i = starts.indexOf(startMs);
    if (i >= 0) starts.splice(i, 1);
    if (starts.length === 0) this.starts.delete(nodeId);
  }
}
