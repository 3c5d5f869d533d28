/** Run counts of the stand-in, the answer to `GET /.stand-in/runs`. */
export interface RunCounts {
  readonly total: number;
  readonly cancelled: number;
  /** Runs begun during cold start in excess of the cold start slots. */
  readonly coldBreaches: number;
  readonly byRequestId: Readonly<Record<string, number>>;
  /** Deadline of the last request received, in milliseconds. */
  readonly lastDeadlineMs: number;
}

/** Counts runs by request. */
export class RunRecord {
  total = 0;
  cancelled = 0;
  coldBreaches = 0;
  lastDeadlineMs = 0;
  private readonly byRequestId = new Map<string, number>();

  /** Records the begin of a run and returns the number of runs of this request. */
  begin(requestId: string): number {
    this.total++;
    const runs = (this.byRequestId.get(requestId) ?? 0) + 1;
    this.byRequestId.set(requestId, runs);
    return runs;
  }

  counts(): RunCounts {
    return {
      total: this.total,
      cancelled: this.cancelled,
      coldBreaches: this.coldBreaches,
      byRequestId: Object.fromEntries(this.byRequestId),
      lastDeadlineMs: this.lastDeadlineMs,
    };
  }
}
