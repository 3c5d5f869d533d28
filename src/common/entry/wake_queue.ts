/** The next time at which each of many calls wants to be looked at. */
import * as units from '../units.js';

interface Wake {
  readonly atMs: units.MonotonicMs;
  readonly id: string;
}

/** Binary min-heap of wake-up times, one in force for each id; older ones are passed over. */
export class WakeQueue {
  private readonly heap: Wake[] = [];
  private readonly inForce = new Map<string, units.MonotonicMs>();

  /** Sets the time of an id in place of its former one. */
  set(id: string, atMs: units.MonotonicMs): void {
    if (this.inForce.get(id) === atMs) return;
    this.inForce.set(id, atMs);
    this.push({atMs, id});
  }

  /** Removes an id. */
  delete(id: string): void {
    this.inForce.delete(id);
  }

  /** Returns the earliest time in force. */
  nextMs(): units.MonotonicMs | undefined {
    this.dropStale();
    return this.heap.at(0)?.atMs;
  }

  /** Removes and returns the id with the earliest time not after `nowMs`. */
  takeDue(nowMs: units.MonotonicMs): string | undefined {
    this.dropStale();
    const first = this.heap.at(0);
    if (first === undefined || first.atMs > nowMs) return undefined;
    this.removeFirst();
    this.inForce.delete(first.id);
    return first.id;
  }

  private dropStale(): void {
    for (;;) {
      const first = this.heap.at(0);
      if (first === undefined) return;
      if (this.inForce.get(first.id) === first.atMs) return;
      this.removeFirst();
    }
  }

  private push(wake: Wake): void {
    let i = this.heap.push(wake) - 1;
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
    this.sink();
  }

  private sink(): void {
    let i = 0;
    for (;;) {
      const left = 2 * i + 1;
      if (left >= this.heap.length) return;
      const right = left + 1;
      const least =
        right < this.heap.length && this.heap[right].atMs < this.heap[left].atMs
          ? right
          : left;
      if (this.heap[i].atMs <= this.heap[least].atMs) return;
      this.swap(i, least);
      i = least;
    }
  }

  private swap(i: number, j: number): void {
    [this.heap[i], this.heap[j]] = [this.heap[j], this.heap[i]];
  }
}
