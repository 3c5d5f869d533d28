/** Publishes a change of configuration, or settles one, over the log service. */
import * as uuid from 'uuid';

import * as settlement from '../common/configuration/change_settlement.js';
import * as operation from '../common/configuration/operation.js';
import * as counters from '../common/counters.js';
import * as invariants from '../common/invariants.js';
import * as units from '../common/units.js';
import * as peer from '../generated/peer.js';
import * as logClient from '../node/log_client.js';

/** A change to be published. */
export interface Change {
  readonly baseRevision: number;
  readonly author: string;
  readonly reason: string;
  readonly operation: operation.Operation;
}

/** What became of a change. */
export interface Published {
  readonly changeId: string;
  readonly settlement: settlement.Settlement;
  /** The last failure of the log, empty without one. */
  readonly lastFailure: string;
}

/** Publishes over one log. */
export class Publisher {
  private readonly events: settlement.SettlementEvent[] = [];
  private lastFailure = '';
  private onEvent = (): void => {};

  constructor(private readonly log: logClient.LogService) {}

  /** Appends a change once and reads until the log shows its outcome or `timeoutMs` passes. */
  publish(change: Change, timeoutMs: units.Millis): Promise<Published> {
    return this.run(toChange(change, uuid.v7()), timeoutMs, true);
  }

  /** Reads until the outcome of a change is known or `timeoutMs` passes. */
  settle(changeId: string, timeoutMs: units.Millis): Promise<Published> {
    const change = peer.ConfigurationChange.fromPartial({changeId});
    return this.run(change, timeoutMs, false);
  }

  private async run(
    change: peer.ConfigurationChange,
    timeoutMs: units.Millis,
    append: boolean,
  ): Promise<Published> {
    const counted = new counters.MemoryCounters();
    const options = {
      change,
      record: toRecord(change),
      deadlineMs: performance.now() + timeoutMs,
      counters: counted,
      invariants: new invariants.Invariants(counted),
    };
    const core = new settlement.ChangeSettlement(options, append);
    const {changeId} = change;
    for (let event: settlement.SettlementEvent = {kind: 'tick'}; ;) {
      const now = {monotonicMs: performance.now(), epochMs: Date.now()};
      for (const action of core.handle(event, now)) {
        if (action.kind === 'settled') {
          const {lastFailure} = this;
          return {changeId, settlement: action.settlement, lastFailure};
        }
        this.start(action);
      }
      event = await this.nextEvent(core.nextWakeMs());
    }
  }

  private start(
    action: Exclude<settlement.SettlementAction, {readonly kind: 'settled'}>,
  ): void {
    switch (action.kind) {
      case 'append': {
        const bytes = peer.LogRecord.encode(action.record).finish();
        return this.follow(this.log.append(bytes), 'append-failed', () => ({
          kind: 'appended',
        }));
      }
      case 'read-log': {
        const reading = this.log.read(action.from, action.limit, action.waitMs);
        return this.follow(reading, 'log-read-failed', page => ({
          kind: 'log-read',
          page,
        }));
      }
      default:
        return invariants.assertNever(action);
    }
  }

  private follow<T>(
    work: Promise<T>,
    failureKind: 'append-failed' | 'log-read-failed',
    toEvent: (value: T) => settlement.SettlementEvent,
  ): void {
    work.then(
      value => this.put(toEvent(value)),
      err => {
        this.lastFailure = err instanceof Error ? err.message : String(err);
        this.put({kind: failureKind});
      },
    );
  }

  private put(event: settlement.SettlementEvent): void {
    this.events.push(event);
    this.onEvent();
  }

  /** Returns the next event, a tick at `wakeMs` at the latest. */
  private async nextEvent(
    wakeMs: units.MonotonicMs | undefined,
  ): Promise<settlement.SettlementEvent> {
    if (this.events.length === 0) {
      const waitMs = Math.max(0, (wakeMs ?? Infinity) - performance.now());
      await new Promise<void>(resolve => {
        const timer = setTimeout(resolve, waitMs);
        this.onEvent = () => {
          clearTimeout(timer);
          resolve();
        };
      });
    }
    return this.events.shift() ?? {kind: 'tick'};
  }
}

function toChange(change: Change, changeId: string): peer.ConfigurationChange {
  const {baseRevision, author, reason} = change;
  const operationJson = JSON.stringify(change.operation);
  return {changeId, baseRevision, author, reason, operationJson};
}

function toRecord(change: peer.ConfigurationChange): peer.LogRecord {
  return {
    recordId: change.changeId,
    timeMs: Date.now(),
    body: {$case: 'change', value: change},
  };
}
