/** Virtual time: a clock and a priority queue of scheduled tasks. */
import * as units from '../../src/common/units.js';

const EPOCH_START_MS = 1_700_000_000_000;

interface ScheduledTask {
  readonly timeMs: units.MonotonicMs;
  readonly sequence: number;
  readonly task: () => void;
}

function isBefore(a: ScheduledTask, b: ScheduledTask): boolean {
  return (
    a.timeMs < b.timeMs || (a.timeMs === b.timeMs && a.sequence < b.sequence)
  );
}

/** Runs tasks by due time; tasks due at the same time run in the order of scheduling. */
export class VirtualClock {
  private readonly heap: ScheduledTask[] = [];
  private sequence = 0;
  private currentMs = 0;

  /** Monotonic time, from 0 at the start. */
  get nowMs(): units.MonotonicMs {
    return this.currentMs;
  }

  /** Monotonic and wall clock time, which do not diverge here. */
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

  /** Schedules `task` at `timeMs`, or now if that has passed. */
  at(timeMs: units.MonotonicMs, task: () => void): void {
    const dueMs = Math.max(timeMs, this.currentMs);
    this.push({timeMs: dueMs, sequence: this.sequence++, task});
  }

  /** Runs all tasks due up to and including `endMs`, then sets the clock to `endMs`. */
  runUntil(endMs: units.MonotonicMs): void {
    while (this.heap.length > 0 && this.heap[0].timeMs <= endMs) {
      const next = this.pop();
      this.currentMs = next.timeMs;
      next.task();
    }
    this.currentMs = endMs;
  }

  private push(entry: ScheduledTask): void {
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

  private pop(): ScheduledTask {
    const heap = this.heap;
    const top = heap[0];
    const last = heap.pop()!;
    if (heap.length > 0) this.siftDownFromTop(last);
    return top;
  }

  private siftDownFromTop(entry: ScheduledTask): void {
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
