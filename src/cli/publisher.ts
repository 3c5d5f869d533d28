/** Publishes configuration changes through the log service and determines their outcome. */
import * as uuid from 'uuid';

import * as settlement from '../common/configuration/change_settlement.js';
import * as operation from '../common/configuration/operation.js';
import * as counters from '../common/counters.js';
import * as invariants from '../common/invariants.js';
import * as units from '../common/units.js';
import * as peer from '../generated/peer.js';
import * as logClient from '../node/log_client.js';

/** A configuration change to publish on top of `baseRevision`. */
export interface Change {
  readonly baseRevision: number;
  readonly author: string;
  readonly reason: string;
  readonly operation: operation.Operation;
}

/** The outcome of a change. */
export interface PublishResult {
  readonly changeId: string;
  readonly settlement: settlement.Settlement;
  /** Message of the last failed log call; empty if none failed. */
  readonly lastFailure: string;
}

/** Publishes or settles one change through a log service. */
export class Publisher {
  private readonly pendingEvents: settlement.SettlementEvent[] = [];
  private lastFailure = '';
  private wakeUp = (): void => {};

  constructor(private readonly log: logClient.LogService) {}

  /** Appends a change once and reads until the log shows its outcome or `timeoutMs` passes. */
  publish(change: Change, timeoutMs: units.Millis): Promise<PublishResult> {
    return this.run(toConfigurationChange(change, uuid.v7()), timeoutMs, true);
  }

  /** Reads until the outcome of a change is known or `timeoutMs` passes. */
  settle(changeId: string, timeoutMs: units.Millis): Promise<PublishResult> {
    const change = peer.ConfigurationChange.fromPartial({changeId});
    return this.run(change, timeoutMs, false);
  }

  private async run(
    change: peer.ConfigurationChange,
    timeoutMs: units.Millis,
    append: boolean,
  ): Promise<PublishResult> {
    const memoryCounters = new counters.MemoryCounters();
    const options = {
      change,
      record: toLogRecord(change),
      deadlineMs: performance.now() + timeoutMs,
      counters: memoryCounters,
      invariants: new invariants.Invariants(memoryCounters),
    };
    const changeSettlement = new settlement.ChangeSettlement(options, append);
    const {changeId} = change;
    for (let event: settlement.SettlementEvent = {kind: 'tick'}; ;) {
      const now = {monotonicMs: performance.now(), epochMs: Date.now()};
      for (const action of changeSettlement.handle(event, now)) {
        if (action.kind === 'settled') {
          const {lastFailure} = this;
          return {changeId, settlement: action.settlement, lastFailure};
        }
        this.startAction(action);
      }
      event = await this.nextEvent(changeSettlement.nextWakeMs());
    }
  }

  private startAction(
    action: Exclude<settlement.SettlementAction, {readonly kind: 'settled'}>,
  ): void {
    switch (action.kind) {
      case 'append': {
        const bytes = peer.LogRecord.encode(action.record).finish();
        return this.enqueueResult(
          this.log.append(bytes),
          'append-failed',
          () => ({
            kind: 'appended',
          }),
        );
      }
      case 'read-log': {
        const readResult = this.log.read(
          action.from,
          action.limit,
          action.waitMs,
        );
        return this.enqueueResult(readResult, 'log-read-failed', page => ({
          kind: 'log-read',
          page,
        }));
      }
      default:
        return invariants.assertNever(action);
    }
  }

  private enqueueResult<T>(
    promise: Promise<T>,
    failureKind: 'append-failed' | 'log-read-failed',
    toEvent: (value: T) => settlement.SettlementEvent,
  ): void {
    promise.then(
      value => this.enqueue(toEvent(value)),
      err => {
        this.lastFailure = err instanceof Error ? err.message : String(err);
        this.enqueue({kind: failureKind});
      },
    );
  }

  private enqueue(event: settlement.SettlementEvent): void {
    this.pendingEvents.push(event);
    this.wakeUp();
  }

  /** Returns the next event, or a tick once `wakeMs` is reached. */
  private async nextEvent(
    wakeMs: units.MonotonicMs | undefined,
  ): Promise<settlement.SettlementEvent> {
    if (this.pendingEvents.length === 0) {
      const waitMs = Math.max(0, (wakeMs ?? Infinity) - performance.now());
      await new Promise<void>(resolve => {
        const timer = setTimeout(resolve, waitMs);
        this.wakeUp = () => {
          clearTimeout(timer);
          resolve();
        };
      });
    }
    return this.pendingEvents.shift() ?? {kind: 'tick'};
  }
}

function toConfigurationChange(
  change: Change,
  changeId: string,
): peer.ConfigurationChange {
  const {baseRevision, author, reason} = change;
  const operationJson = JSON.stringify(change.operation);
  return {changeId, baseRevision, author, reason, operationJson};
}

function toLogRecord(change: peer.ConfigurationChange): peer.LogRecord {
  return {
    recordId: change.changeId,
    timeMs: Date.now(),
    body: {$case: 'change', value: change},
  };
}
