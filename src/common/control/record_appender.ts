/** Appends required records and retries until they have been read back from the log. */
import * as peer from '../../generated/peer.js';
import * as counters from '../counters.js';
import * as randomSource from '../random_source.js';
import * as units from '../units.js';

/** Minimum delay before the first retry of an append; doubles with each failure. */
const RETRY_MIN_MS: units.Millis = 500;

/** Maximum delay between retries of an append. */
const RETRY_MAX_MS: units.Millis = 8_000;

/** Time an acknowledged record may take to be read back before it is appended again. */
const READ_BACK_MS: units.Millis = 5_000;

/** A record that must be in the log. */
export interface RequiredRecord {
  /** Identity of the record, stable for as long as it is required. */
  readonly key: string;
  /** Returns the delay before the first append; called once. */
  readonly delayMs: () => units.Millis;
  readonly body: () => peer.LogRecord['body'];
}

/** State of the append of one required record. */
class AppendTask {
  record: peer.LogRecord | undefined;
  attempts = 0;
  inFlight = false;

  constructor(
    readonly required: RequiredRecord,
    public dueMs: units.MonotonicMs,
  ) {}
}

/**
 * Appends the required records, with one append in flight for each. A retry is a new record with
 * its own timestamp; the folds treat several records for the same requirement as one.
 */
export class RecordAppender {
  private readonly tasks = new Map<string, AppendTask>();
  private sequence = 0;
  private lastTimeMs: units.EpochMs = 0;

  constructor(
    private readonly self: peer.Member,
    private readonly random: randomSource.RandomSource,
    private readonly counters: counters.Counters,
  ) {}

  /** Updates the set of required records and returns those to append now. */
  dueRecords(
    required: readonly RequiredRecord[],
    now: units.Instant,
  ): readonly peer.LogRecord[] {
    this.dropFulfilled(required);
    const records: peer.LogRecord[] = [];
    for (const item of required) {
      const task = this.taskOf(item, now.monotonicMs);
      if (task.inFlight || task.dueMs > now.monotonicMs) continue;
      task.inFlight = true;
      task.record = this.createRecord(item, now.epochMs);
      records.push(task.record);
    }
    return records;
  }

  /** Records that the log acknowledged an append. */
  noteAppended(recordId: string, nowMs: units.MonotonicMs): void {
    const task = this.find(recordId);
    if (task === undefined) return;
    task.inFlight = false;
    task.attempts = 0;
    task.dueMs = nowMs + READ_BACK_MS;
  }

  /** Records a failed append; the record may be in the log nevertheless. */
  noteFailed(recordId: string, nowMs: units.MonotonicMs): void {
    const task = this.find(recordId);
    if (task === undefined) return;
    this.counters.increment('log.append-failed');
    task.inFlight = false;
    task.record = undefined;
    task.attempts++;
    const backoffMs = RETRY_MIN_MS * 2 ** Math.min(task.attempts, 10);
    const cappedMs = Math.min(RETRY_MAX_MS, backoffMs);
    task.dueMs = nowMs + cappedMs / 2 + this.random.nextInt(cappedMs / 2);
  }

  private dropFulfilled(required: readonly RequiredRecord[]): void {
    const keys = new Set(required.map(n => n.key));
    for (const key of this.tasks.keys()) {
      if (!keys.has(key)) this.tasks.delete(key);
    }
  }

  private taskOf(
    required: RequiredRecord,
    nowMs: units.MonotonicMs,
  ): AppendTask {
    let task = this.tasks.get(required.key);
    if (task === undefined) {
      task = new AppendTask(required, nowMs + required.delayMs());
      this.tasks.set(required.key, task);
    }
    return task;
  }

  private find(recordId: string): AppendTask | undefined {
    for (const task of this.tasks.values()) {
      if (task.record?.recordId === recordId) return task;
    }
    return undefined;
  }

  /** Timestamps are strictly increasing, which orders a node's records within an incarnation. */
  private createRecord(
    required: RequiredRecord,
    epochMs: units.EpochMs,
  ): peer.LogRecord {
    this.lastTimeMs = Math.max(epochMs, this.lastTimeMs + 1);
    const {nodeId, incarnation} = this.self;
    return {
      recordId: `${nodeId}.${incarnation}.${this.sequence++}`,
      timeMs: this.lastTimeMs,
      body: required.body(),
    };
  }
}
