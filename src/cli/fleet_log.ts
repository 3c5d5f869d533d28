/** Reads the log to its tail and folds it as every node does. */
import * as logState from '../common/control/log_state.js';
import * as counters from '../common/counters.js';
import * as invariants from '../common/invariants.js';
import * as logClient from '../node/log_client.js';

const PAGE_RECORDS = 1_000;

/** A record of a change, for the history. */
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

/** The log as folded by this process. */
export class FleetLog {
  private readonly state = new logState.LogState(
    new invariants.Invariants(new counters.MemoryCounters()),
    new counters.MemoryCounters(),
  );
  private readonly changes: Omit<HistoryEntry, 'outcome'>[] = [];

  constructor(private readonly log: logClient.LogService) {}

  /** Folds up to this point. */
  get folded(): logState.LogState {
    return this.state;
  }

  /** Reads all that the log holds now, then waits up to `waitMs` for more. */
  async read(waitMs = 0): Promise<void> {
    for (;;) {
      const from = this.state.nextOffset;
      const page = await this.log.read(from, PAGE_RECORDS, waitMs);
      const folded = this.state.foldPage(page);
      folded.forEach(f => this.noteChange(f));
      if (page.records.length < PAGE_RECORDS) return;
    }
  }

  /** Changes still in the log, oldest first. */
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

  private noteChange(folded: logState.FoldedRecord): void {
    const {record, offset} = folded;
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
