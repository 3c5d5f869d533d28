/** Publishes one change: appends it once, then reads the log to find its outcome. */
import * as peer from '../../generated/peer.js';
import * as controlContract from '../control/control_contract.js';
import * as logState from '../control/log_state.js';
import * as core from '../core.js';
import * as counters from '../counters.js';
import * as invariants from '../invariants.js';
import * as units from '../units.js';

/** Maximum number of records per read. */
const READ_LIMIT = 500;

/** Long-poll timeout of a read while waiting for the outcome. */
const READ_WAIT_MS: units.Millis = 500;

/** Delay after a failed read. */
const RETRY_MS: units.Millis = 300;

/** Result of a publication. */
export type Settlement =
  | {readonly kind: 'accepted'; readonly revision: number}
  /** `by` is the id of the change accepted instead, empty if the operation is not applicable. */
  | {readonly kind: 'rejected'; readonly by: string}
  /** The change was not sent because the log could not be read. */
  | {readonly kind: 'not-sent'}
  /** The change may already be in the log or reach it later; query again by its change id. */
  | {readonly kind: 'unknown'; readonly changeId: string};

/** Input of a publication. */
export type SettlementEvent =
  | {readonly kind: 'tick'}
  | {readonly kind: 'log-read'; readonly page: controlContract.LogPage}
  | {readonly kind: 'log-read-failed'}
  | {readonly kind: 'appended'}
  | {readonly kind: 'append-failed'};

/** Output of a publication, executed by its host. */
export type SettlementAction =
  | Extract<
      controlContract.ControlAction,
      {readonly kind: 'append' | 'read-log'}
    >
  | {readonly kind: 'settled'; readonly settlement: Settlement};

/** The change to publish and the dependencies. */
export interface SettlementOptions {
  readonly record: peer.LogRecord;
  readonly change: peer.ConfigurationChange;
  /** State of a node, needed if the log no longer holds its first records. */
  readonly start?: controlContract.PeerState;
  /** Time at which an undetermined outcome is reported as unknown. */
  readonly deadlineMs: units.MonotonicMs;
  readonly counters: counters.Counters;
  readonly invariants: invariants.Invariants;
}

/** Publishes a change. With `append` false, only finds the outcome of one sent earlier. */
export class ChangeSettlement implements core.Core<
  SettlementEvent,
  SettlementAction
> {
  private readonly log: logState.LogState;
  private phase: 'reading' | 'sent' | 'settled' = 'reading';
  private readInProgress = false;
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
    const actions = this.handleEvent(event, nowMs);
    const settlement = this.settlement(nowMs);
    if (settlement === undefined) return [...actions, ...this.nextRead(event)];
    this.phase = 'settled';
    return [{kind: 'settled', settlement}];
  }

  private handleEvent(
    event: SettlementEvent,
    nowMs: units.MonotonicMs,
  ): readonly SettlementAction[] {
    switch (event.kind) {
      case 'log-read':
        return this.handleLogRead(event.page);
      case 'log-read-failed':
        this.readInProgress = false;
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

  /** Appends the change after the tail has been read, which shows that the log is reachable. */
  private handleLogRead(
    page: controlContract.LogPage,
  ): readonly SettlementAction[] {
    this.readInProgress = false;
    this.log.foldPage(page);
    const atTail = page.records.length < READ_LIMIT;
    if (this.phase !== 'reading' || !atTail || this.outcome()) return [];
    if (!this.log.configuration.complete) return [];
    this.phase = 'sent';
    return [{kind: 'append', record: this.options.record}];
  }

  private nextRead(event: SettlementEvent): readonly SettlementAction[] {
    if (this.readInProgress || event.kind === 'log-read-failed') return [];
    this.readInProgress = true;
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
