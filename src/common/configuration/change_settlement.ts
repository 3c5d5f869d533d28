/** Publication of one change: appended once, then settled by reading the log back. */
import * as peer from '../../generated/peer.js';
import * as control from '../control/control_contract.js';
import * as logState from '../control/log_state.js';
import * as core from '../core.js';
import * as counters from '../counters.js';
import * as invariants from '../invariants.js';
import * as units from '../units.js';

/** Most records asked for in one read. */
const READ_LIMIT = 500;

/** Time for which the log may hold a read that finds nothing. */
const READ_WAIT_MS: units.Millis = 500;

/** Wait after a failed read. */
const RETRY_MS: units.Millis = 300;

/** How a publication ended. */
export type Settlement =
  | {readonly kind: 'accepted'; readonly revision: number}
  /** `by` names the change that took the revision, empty if the operation does not apply. */
  | {readonly kind: 'rejected'; readonly by: string}
  /** The change never left: the log could not be read. */
  | {readonly kind: 'not-sent'}
  /** The change may be or come to be in the log; ask again by its change id. */
  | {readonly kind: 'unknown'; readonly changeId: string};

/** What happens to a publication. */
export type SettlementEvent =
  | {readonly kind: 'tick'}
  | {readonly kind: 'log-read'; readonly page: control.LogPage}
  | {readonly kind: 'log-read-failed'}
  | {readonly kind: 'appended'}
  | {readonly kind: 'append-failed'};

/** What a publication asks of its surroundings. */
export type SettlementAction =
  | Extract<control.ControlAction, {readonly kind: 'append' | 'read-log'}>
  | {readonly kind: 'settled'; readonly settlement: Settlement};

/** What a publication starts from. */
export interface SettlementOptions {
  readonly record: peer.LogRecord;
  readonly change: peer.ConfigurationChange;
  /** State of a node, needed where the log no longer holds its beginning. */
  readonly start?: control.PeerState;
  /** Time at which the outcome is given as unknown. */
  readonly deadlineMs: units.MonotonicMs;
  readonly counters: counters.Counters;
  readonly invariants: invariants.Invariants;
}

/** Publishes a change, or settles one whose answer was lost if `append` is false. */
export class ChangeSettlement implements core.Core<
  SettlementEvent,
  SettlementAction
> {
  private readonly log: logState.LogState;
  private phase: 'reading' | 'sent' | 'settled' = 'reading';
  private reading = false;
  private wakeMs: units.MonotonicMs | undefined;

  constructor(
    private readonly options: SettlementOptions,
    private readonly append = true,
  ) {
    this.log = new logState.LogState(options.invariants, options.counters);
    if (options.start) this.log.adopt(options.start);
    if (!append) this.phase = 'sent';
  }

  nextWakeMs(): units.MonotonicMs | undefined {
    return this.phase === 'settled' ? undefined : this.wakeMs;
  }

  handle(
    event: SettlementEvent,
    now: units.Instant,
  ): readonly SettlementAction[] {
    if (this.phase === 'settled') return [];
    const nowMs = now.monotonicMs;
    this.wakeMs = this.options.deadlineMs;
    const actions = this.take(event, nowMs);
    const settlement = this.settlement(nowMs);
    if (settlement === undefined) return [...actions, ...this.read(event)];
    this.phase = 'settled';
    return [{kind: 'settled', settlement}];
  }

  private take(
    event: SettlementEvent,
    nowMs: units.MonotonicMs,
  ): readonly SettlementAction[] {
    switch (event.kind) {
      case 'log-read':
        return this.takeRead(event.page);
      case 'log-read-failed':
        this.reading = false;
        this.wakeMs = Math.min(this.options.deadlineMs, nowMs + RETRY_MS);
        return [];
      case 'appended':
      case 'append-failed':
      case 'tick':
        return [];
      default:
        return invariants.assertNever(event);
    }
  }

  /** Appends once the tail has been read, so that the log is known to be there. */
  private takeRead(page: control.LogPage): readonly SettlementAction[] {
    this.reading = false;
    this.log.foldPage(page);
    const atTail = page.records.length < READ_LIMIT;
    if (this.phase !== 'reading' || !atTail || this.outcome()) return [];
    if (!this.log.configuration.complete) return [];
    this.phase = 'sent';
    return [{kind: 'append', record: this.options.record}];
  }

  private read(event: SettlementEvent): readonly SettlementAction[] {
    if (this.reading || event.kind === 'log-read-failed') return [];
    this.reading = true;
    const waitMs = this.phase === 'sent' ? READ_WAIT_MS : 0;
    const from = this.log.nextOffset;
    return [{kind: 'read-log', from, limit: READ_LIMIT, waitMs}];
  }

  private settlement(nowMs: units.MonotonicMs): Settlement | undefined {
    const outcome = this.outcome();
    if (outcome !== undefined) {
      return outcome.accepted
        ? {kind: 'accepted', revision: outcome.revision}
        : {kind: 'rejected', by: outcome.rejectedBy};
    }
    if (nowMs < this.options.deadlineMs) return undefined;
    return this.phase === 'reading' && this.append
      ? {kind: 'not-sent'}
      : {kind: 'unknown', changeId: this.options.change.changeId};
  }

  private outcome(): peer.ChangeOutcome | undefined {
    return this.log.configuration.outcomeOf(this.options.change.changeId);
  }
}
