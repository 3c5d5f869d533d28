/** Records that this node owes the log: appended until the fold shows that they are in. */
import * as peer from '../../generated/peer.js';
import * as counters from '../counters.js';
import * as randomSource from '../random_source.js';
import * as units from '../units.js';

/** Wait before the first retry of an append; doubles with each failure. */
const RETRY_MIN_MS: units.Millis = 500;

/** Longest wait between retries of an append. */
const RETRY_MAX_MS: units.Millis = 8_000;

/** Wait for an acknowledged append to be read back. */
const READ_BACK_MS: units.Millis = 5_000;

/** A record that ought to be in the log. */
export interface Need {
  /** Identity of the need: the same need at the next look has the same key. */
  readonly key: string;
  /** Wait before the first append, asked once. */
  readonly delayMs: () => units.Millis;
  readonly body: () => peer.LogRecord['body'];
}

/** The append of one needed record. */
class Task {
  record: peer.LogRecord | undefined;
  attempts = 0;
  inFlight = false;

  constructor(
    readonly need: Need,
    public dueMs: units.MonotonicMs,
  ) {}
}

/**
 * Appends what is needed, one append in flight for each need. A retry is a new record with its
 * own time; the folds take several records of one need as one.
 */
export class OwnRecords {
  private readonly tasks = new Map<string, Task>();
  private sequence = 0;
  private lastTimeMs: units.EpochMs = 0;

  constructor(
    private readonly self: peer.Member,
    private readonly random: randomSource.RandomSource,
    private readonly count: counters.Counters,
  ) {}

  /** Takes the needs of the moment and returns the records to append now. */
  step(needs: readonly Need[], now: units.Instant): readonly peer.LogRecord[] {
    this.dropMet(needs);
    const records: peer.LogRecord[] = [];
    for (const need of needs) {
      const task = this.taskOf(need, now.monotonicMs);
      if (task.inFlight || task.dueMs > now.monotonicMs) continue;
      task.inFlight = true;
      task.record = this.newRecord(need, now.epochMs);
      records.push(task.record);
    }
    return records;
  }

  /** Notes that the log acknowledged a record. */
  noteAppended(recordId: string, nowMs: units.MonotonicMs): void {
    const task = this.find(recordId);
    if (task === undefined) return;
    task.inFlight = false;
    task.attempts = 0;
    task.dueMs = nowMs + READ_BACK_MS;
  }

  /** Notes that an append failed; the record may be in the log all the same. */
  noteFailed(recordId: string, nowMs: units.MonotonicMs): void {
    const task = this.find(recordId);
    if (task === undefined) return;
    this.count.increment('log.append-failed');
    task.inFlight = false;
    task.record = undefined;
    task.attempts++;
    const longest = RETRY_MIN_MS * 2 ** Math.min(task.attempts, 10);
    const bound = Math.min(RETRY_MAX_MS, longest);
    task.dueMs = nowMs + bound / 2 + this.random.nextInt(bound / 2);
  }

  private dropMet(needs: readonly Need[]): void {
    const keys = new Set(needs.map(n => n.key));
    for (const key of this.tasks.keys()) {
      if (!keys.has(key)) this.tasks.delete(key);
    }
  }

  private taskOf(need: Need, nowMs: units.MonotonicMs): Task {
    let task = this.tasks.get(need.key);
    if (task === undefined) {
      task = new Task(need, nowMs + need.delayMs());
      this.tasks.set(need.key, task);
    }
    return task;
  }

  private find(recordId: string): Task | undefined {
    for (const task of this.tasks.values()) {
      if (task.record?.recordId === recordId) return task;
    }
    return undefined;
  }

  /** Own records carry strictly growing times, which order them within an incarnation. */
  private newRecord(need: Need, epochMs: units.EpochMs): peer.LogRecord {
    this.lastTimeMs = Math.max(epochMs, this.lastTimeMs + 1);
    const {nodeId, incarnation} = this.self;
    return {
      recordId: `${nodeId}.${incarnation}.${this.sequence++}`,
      timeMs: this.lastTimeMs,
      body: need.body(),
    };
  }
}
