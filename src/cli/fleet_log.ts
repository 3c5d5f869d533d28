/** Reads the log to its end and applies its records in the same way as the nodes. */
import * as logState from '../common/control/log_state.js';
import * as counters from '../common/counters.js';
import * as invariants from '../common/invariants.js';
import * as logClient from '../node/log_client.js';

const PAGE_RECORDS = 1_000;

/** A configuration change in the log and its outcome; `timeMs` is since the Unix epoch. */
export interface HistoryEntry {
  readonly offset: number;
  readonly timeMs: number;
  readonly changeId: string;
  readonly author: string;
  readonly reason: string;
  readonly operation: string;
  readonly outcome: 'accepted' | 'rejected' | 'not kept';
  readonly revision?: number;
  readonly rejectedBy?: string;
}

/** State built from the records in the log, and the history of changes. */
export class FleetLog {
  private readonly state = new logState.LogState(
    new invariants.Invariants(new counters.MemoryCounters()),
    new counters.MemoryCounters(),
  );
  private readonly changes: Omit<HistoryEntry, 'outcome'>[] = [];

  constructor(private readonly log: logClient.LogService) {}

  /** State after all records read so far. */
  get currentState(): logState.LogState {
    return this.state;
  }

  /** Reads to the end of the log; each read waits up to `waitMs` for new records. */
  async read(waitMs = 0): Promise<void> {
    for (;;) {
      const from = this.state.nextOffset;
      const page = await this.log.read(from, PAGE_RECORDS, waitMs);
      const foldedRecords = this.state.foldPage(page);
      foldedRecords.forEach(f => this.addChange(f));
      if (page.records.length < PAGE_RECORDS) return;
    }
  }

  /** Returns the changes still in the log, oldest first. */
  history(): readonly HistoryEntry[] {
    return this.changes.map(change => {
      const outcome = this.state.configuration.outcomeOf(change.changeId);
      if (!outcome) return {...change, outcome: 'not kept'};
      const {revision, rejectedBy} = outcome;
      return outcome.accepted
        ? {...change, outcome: 'accepted', revision}
        : {...change, outcome: 'rejected', rejectedBy};
    });
  }

  private addChange(foldedRecord: logState.FoldedRecord): void {
    const {record, offset} = foldedRecord;
    if (record.body?.$case !== 'change') return;
    const {changeId, author, reason, operationJson} = record.body.value;
    const {timeMs} = record;
    this.changes.push({
      offset,
      timeMs,
      changeId,
      author,
      reason,
      operation: operationKind(operationJson),
    });
  }
}

function operationKind(operationJson: string): string {
  const match = /"kind":"([a-z-]+)"/.exec(operationJson);
  return match ? match[1] : 'malformed';
}
