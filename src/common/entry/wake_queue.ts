/** Priority queue of wake-up times. */
import * as units from '../units.js';

interface HeapItem {
  readonly atMs: units.MonotonicMs;
  readonly id: string;
}

/**
 * Binary min-heap that holds one current wake-up time for each id. Replaced and deleted times stay
 * in the heap and are skipped when they reach its top.
 */
export class WakeQueue {
  private readonly heap: HeapItem[] = [];
  private readonly currentTimes = new Map<string, units.MonotonicMs>();

  /** Sets the wake-up time of an id, replacing any earlier setting. */
  set(id: string, atMs: units.MonotonicMs): void {
    if (this.currentTimes.get(id) === atMs) return;
    this.currentTimes.set(id, atMs);
    this.push({atMs, id});
  }

  delete(id: string): void {
    this.currentTimes.delete(id);
  }

  /** Returns the earliest current time, undefined if the queue is empty. */
  nextMs(): units.MonotonicMs | undefined {
    this.removeStale();
    return this.heap.at(0)?.atMs;
  }

  /** Removes and returns the id with the earliest time, undefined if none is due at `nowMs`. */
  popDue(nowMs: units.MonotonicMs): string | undefined {
    this.removeStale();
    const first = this.heap.at(0);
    if (first === undefined || first.atMs > nowMs) return undefined;
    this.removeFirst();
    this.currentTimes.delete(first.id);
    return first.id;
  }

  private removeStale(): void {
    for (;;) {
      const first = this.heap.at(0);
      if (first === undefined) return;
      if (this.currentTimes.get(first.id) === first.atMs) return;
      this.removeFirst();
    }
  }

  private push(item: HeapItem): void {
    let i = this.heap.push(item) - 1;
    while (i > 0) {
      const parent = (i - 1) >> 1;
      if (this.heap[parent].atMs <= this.heap[i].atMs) return;
      this.swap(i, parent);
      i = parent;
    }
  }

  private removeFirst(): void {
    const last = this.heap.pop();
    if (last === undefined || this.heap.length === 0) return;
    this.heap[0] = last;
    this.siftDown();
  }

  private siftDown(): void {
    let i = 0;
    for (;;) {
      const left = 2 * i + 1;
      if (left >= this.heap.length) return;
      const right = left + 1;
      const smallest =
        right < this.heap.length && this.heap[right].atMs < this.heap[left].atMs
          ? right
          : left;
      if (this.heap[i].atMs <= this.heap[smallest].atMs) return;
      this.swap(i, smallest);
      i = smallest;
    }
  }

  private swap(i: number, j: number): void {
    [this.heap[i], this.heap[j]] = [this.heap[j], this.heap[i]];
  }
}
