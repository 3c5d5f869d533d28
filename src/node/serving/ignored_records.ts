/** Logs records that have no effect, once each. */
import * as decision from '../../common/serving/decision.js';

/** Records that are remembered; a record beyond them is not logged. */
const MAX_REMEMBERED = 200;

/** Longest key in the log, in UTF-16 code units. */
const MAX_KEY_LENGTH = 100;

/** Log of records that were ignored, which are read again and again. */
export class IgnoredRecords {
  private readonly noted = new Set<string>();

  constructor(private readonly log: decision.DecisionLog) {}

  /**
   * Logs an ignored record unless it was logged before for the same reason.
   *
   * @param key key of the record, or id of the node that it is about.
   */
  note(key: string, err: unknown): void {
    const detail = err instanceof Error ? err.message : String(err);
    const record = key.slice(0, MAX_KEY_LENGTH);
    const line = `${record} ${detail}`;
    if (this.noted.has(line) || this.noted.size >= MAX_REMEMBERED) return;
    this.noted.add(line);
    const facts = {record, detail};
    decision.noteStateChange(this.log, 'fleet', 'record-ignored', facts);
  }
}
