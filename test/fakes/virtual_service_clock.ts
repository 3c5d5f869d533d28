/** Virtual time: a clock and the queue of tasks that are due on it. */
import * as units from '../../src/common/units.js';

const EPOCH_START_MS = 1_700_000_000_000;

interface Entry {
  readonly timeMs: units.MonotonicMs;
  readonly sequence: number;
  readonly task: () => void;
}

function isBefore(a: Entry, b: Entry): boolean {
  return (
    a.timeMs < b.timeMs || (a.timeMs === b.timeMs && a.sequence < b.sequence)
  );
}

/** Runs tasks in order of time; tasks of the same time run in order of scheduling. */
export class VirtualClock {
  private readonly heap: Entry[] = [];
  private sequence = 0;
  private currentMs = 0;

  /** Time now. */
  get nowMs(): units.MonotonicMs {
    return this.currentMs;
  }

  /** Both clocks of the system, which never diverge here. */
  get instant(): units.Instant {
    return {
      monotonicMs: this.currentMs,
      epochMs: EPOCH_START_MS + this.currentMs,
    };
  }

  /** Schedules `task` after `delayMs`. */
  after(delayMs: units.Millis, task: () => void): void {
    this.at(this.currentMs + delayMs, task);
  }

  /** Schedules `task` at `timeMs`, at once if that has passed. */
  at(timeMs: units.MonotonicMs, task: () => void): void {
    const due = Math.max(timeMs, this.currentMs);
    this.push({timeMs: due, sequence: this.sequence++, task});
  }

  /** Runs all tasks due up to and including `endMs`, then sets the clock to it. */
  runUntil(endMs: units.MonotonicMs): void {
    while (this.heap.length > 0 && this.heap[0].timeMs <= endMs) {
      const next = this.pop();
      this.currentMs = next.timeMs;
      next.task();
    }
    this.currentMs = endMs;
  }

  private push(entry: Entry): void {
    const heap = this.heap;
    let i = heap.length;
    heap.push(entry);
    while (i > 0) {
      const parent = (i - 1) >> 1;
      if (!isBefore(entry, heap[parent])) break;
      heap[i] = heap[parent];
      i = parent;
    }
    heap[i] = entry;
  }

  private pop(): Entry {
    const heap = this.heap;
    const top = heap[0];
    const last = heap.pop()!;
    if (heap.length > 0) this.sinkFromTop(last);
    return top;
  }

  private sinkFromTop(entry: Entry): void {
    const heap = this.heap;
    let i = 0;
    for (;;) {
      let child = 2 * i + 1;
      if (child >= heap.length) break;
      if (child + 1 < heap.length && isBefore(heap[child + 1], heap[child])) {
        child++;
      }
      if (!isBefore(heap[child], entry)) break;
      heap[i] = heap[child];
      i = child;
    }
    heap[i] = entry;
  }
}
