/** Publishes changes of configuration and settles their outcome by reading the log. */
import * as uuid from 'uuid';

import * as operation from '../common/configuration/operation.js';
import * as units from '../common/units.js';
import * as peer from '../generated/peer.js';
import * as logClient from '../node/log_client.js';
import * as fleetLog from './fleet_log.js';

/** What became of a change. */
export type PublishResult =
  | {
      readonly kind: 'accepted';
      readonly changeId: string;
      readonly revision: number;
    }
  | {
      readonly kind: 'rejected';
      readonly changeId: string;
      readonly rejectedBy: string;
    }
  | {
      readonly kind: 'unknown';
      readonly changeId: string;
      readonly cause: string;
    };

/** A change to be published. */
export interface Change {
  readonly baseRevision: number;
  readonly author: string;
  readonly reason: string;
  readonly operation: operation.Operation;
}

const READ_WAIT_MS = 1_000;
const RETRY_PAUSE_MS = 200;

/** Publishes over one log. */
export class Publisher {
  constructor(
    private readonly log: logClient.LogService,
    private readonly fleet: fleetLog.FleetLog,
  ) {}

  /** Appends a change once and waits until the log shows its outcome or `timeoutMs` passes. */
  async publish(
    change: Change,
    timeoutMs: units.Millis,
  ): Promise<PublishResult> {
    const changeId = uuid.v7();
    const deadlineMs = performance.now() + timeoutMs;
    const bytes = peer.LogRecord.encode(toRecord(change, changeId)).finish();
    const failure = await failureOf(this.log.append(bytes));
    return this.settle(changeId, deadlineMs - performance.now(), failure);
  }

  /** Reads until the outcome of a change is known or `timeoutMs` passes. */
  async settle(
    changeId: string,
    timeoutMs: units.Millis,
    appendFailure?: string,
  ): Promise<PublishResult> {
    const deadlineMs = performance.now() + timeoutMs;
    let cause = appendFailure ?? 'the change is not in the log';
    do {
      const waitMs = Math.min(READ_WAIT_MS, deadlineMs - performance.now());
      const failure = await failureOf(this.fleet.read(Math.max(0, waitMs)));
      const outcome = this.fleet.folded.configuration.outcomeOf(changeId);
      if (outcome) return toResult(outcome);
      if (failure !== undefined) {
        cause = failure;
        await new Promise(resolve => setTimeout(resolve, RETRY_PAUSE_MS));
      }
    } while (performance.now() < deadlineMs);
    return {kind: 'unknown', changeId, cause};
  }
}

function toRecord(change: Change, changeId: string): peer.LogRecord {
  const value = {
    changeId,
    baseRevision: change.baseRevision,
    author: change.author,
    reason: change.reason,
    operationJson: JSON.stringify(change.operation),
  };
  return {
    recordId: changeId,
    timeMs: Date.now(),
    body: {$case: 'change', value},
  };
}

function toResult(outcome: peer.ChangeOutcome): PublishResult {
  const {changeId, revision, rejectedBy} = outcome;
  return outcome.accepted
    ? {kind: 'accepted', changeId, revision}
    : {kind: 'rejected', changeId, rejectedBy};
}

/** Returns the message of a rejected promise, undefined if it is fulfilled. */
async function failureOf(work: Promise<unknown>): Promise<string | undefined> {
  try {
    await work;
    return undefined;
  } catch (err) {
    return err instanceof Error ? err.message : String(err);
  }
}
