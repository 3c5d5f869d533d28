/** This entry's own attempts that wait for an answer, by gate. */

/** Counts open attempts by gate. */
export class Outstanding {
  private readonly counts = new Map<string, number>();

  /** Returns the number of open attempts at a gate. */
  at(nodeId: string): number {
    return this.counts.get(nodeId) ?? 0;
  }

  /** Notes that an attempt was opened. */
  add(nodeId: string): void {
    this.counts.set(nodeId, this.at(nodeId) + 1);
  }

  /** Notes that an attempt has ended. */
  remove(nodeId: string): void {
    const left = this.at(nodeId) - 1;
    if (left > 0) this.counts.set(nodeId, left);
    else this.counts.delete(nodeId);
  }
}
