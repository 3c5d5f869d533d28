/** Counters of what the system does. */

/** Counts events by name; names are listed in docs/METRICS.md. */
export interface Counters {
  /** Adds `by` (default 1) to the counter `name`. */
  increment(name: string, by?: number): void;

  /** Sets the gauge `name`. */
  gauge(name: string, value: number): void;
}

/** Counters kept in memory. */
export class MemoryCounters implements Counters {
  private readonly values = new Map<string, number>();

  increment(name: string, by = 1): void {
    this.values.set(name, (this.values.get(name) ?? 0) + by);
  }

  gauge(name: string, value: number): void {
    this.values.set(name, value);
  }

  /** Returns the value of `name`, 0 if it was never counted. */
  get(name: string): number {
    return this.values.get(name) ?? 0;
  }

  /** Returns all counters by name. */
  snapshot(): Readonly<Record<string, number>> {
    return Object.fromEntries([...this.values].sort());
  }
}
