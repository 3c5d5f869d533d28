/** Open attempts of this entry, by gate. */
import * as units from '../units.js';

/** Counts open attempts (sent, no answer yet) by gate, with their start times. */
export class OutstandingAttempts {
  private readonly starts = new Map<string, units.MonotonicMs[]>();

  /** Returns the number of open attempts at a gate. */
  countAt(nodeId: string): number {
    return this.starts.get(nodeId)?.length ?? 0;
  }

  /** Returns the number of open attempts at a gate that were started after `sinceMs`. */
  countStartedAfter(nodeId: string, sinceMs: units.MonotonicMs): number {
    const starts = this.starts.get(nodeId) ?? [];
    return starts.filter(startMs => startMs > sinceMs).length;
  }

  /** Adds an attempt that was started at `startMs`. */
  add(nodeId: string, startMs: units.MonotonicMs): void {
    const starts = this.starts.get(nodeId);
    if (starts === undefined) this.starts.set(nodeId, [startMs]);
    else starts.push(startMs);
  }

  /** Removes an attempt that was started at `startMs`. */
  remove(nodeId: string, startMs: units.MonotonicMs): void {
    const starts = this.starts.get(nodeId);
    if (starts === undefined) return;
    const index = starts.indexOf(startMs);
    if (index >= 0) starts.splice(index, 1);
    if (starts.length === 0) this.starts.delete(nodeId);
  }
}
