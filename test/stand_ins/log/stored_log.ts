/** Records of the log stand-in, with bounded retention and long polling. */

/** Page of records in the answer to a read; `data` is in base64. */
export interface Page {
  readonly firstOffset: number;
  readonly nextOffset: number;
  readonly records: readonly {readonly offset: number; readonly data: string}[];
}

/** Append-only log in memory. */
export class StoredLog {
  private records: Buffer[] = [];
  private firstOffset = 0;
  private waitingReaders: (() => void)[] = [];

  constructor(private retention: number) {}

  get nextOffset(): number {
    return this.firstOffset + this.records.length;
  }

  /** Sets the number of records kept. */
  setRetention(retention: number): void {
    this.retention = retention;
    this.enforceRetention();
  }

  append(record: Buffer): number {
    this.records.push(record);
    const offset = this.nextOffset - 1;
    this.enforceRetention();
    const resolvers = this.waitingReaders;
    this.waitingReaders = [];
    resolvers.forEach(resolve => resolve());
    return offset;
  }

  async read(from: number, limit: number, waitMs: number): Promise<Page> {
    if (from >= this.nextOffset && waitMs > 0) await this.waitForAppend(waitMs);
    const start = Math.max(from, this.firstOffset);
    const slice = this.records.slice(
      start - this.firstOffset,
      start - this.firstOffset + limit,
    );
    return {
      firstOffset: this.firstOffset,
      nextOffset: start + slice.length,
      records: slice.map((r, i) => ({
        offset: start + i,
        data: r.toString('base64'),
      })),
    };
  }

  private waitForAppend(waitMs: number): Promise<void> {
    return new Promise(resolve => {
      const timer = setTimeout(resolve, waitMs);
      this.waitingReaders.push(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }

  private enforceRetention(): void {
    const excess = this.records.length - this.retention;
    if (excess <= 0) return;
    this.records = this.records.slice(excess);
    this.firstOffset += excess;
  }
}
