/** Counters and gauges for metrics. */

/** Receives counter and gauge updates by name. The names are listed in docs/METRICS.md. */
export interface Counters {
  /** Adds `by` (default 1) to the counter `name`. */
  increment(name: string, by?: number): void;

  /** Sets the gauge `name`. */
  gauge(name: string, value: number): void;
}

/** Keeps counters and gauges in memory. */
export class MemoryCounters implements Counters {
  private readonly values = new Map<string, number>();

  increment(name: string, by = 1): void {
    this.values.set(name, (this.values.get(name) ?? 0) + by);
  }

  gauge(name: string, value: number): void {
    this.values.set(name, value);
  }

  /** Returns the value of `name`, 0 if it was never set. */
  get(name: string): number {
    return this.values.get(name) ?? 0;
  }

  /** Returns all counters and gauges, sorted by name. */
  snapshot(): Readonly<Record<string, number>> {
    return Object.fromEntries([...this.values].sort());
  }
}
