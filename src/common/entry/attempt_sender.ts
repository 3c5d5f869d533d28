/** Opens attempts, sends them and resends them. */
import * as peer from '../../generated/peer.js';
import * as fleetView from '../control/fleet_view.js';
import * as counters from '../counters.js';
import * as invariants from '../invariants.js';
import * as serviceBudgets from '../retries/service_budgets.js';
import * as outstandingAttempts from '../routing/outstanding_attempts.js';
import * as units from '../units.js';
import * as call from './call.js';
import * as callRequests from './call_requests.js';
import * as callTable from './call_table.js';
import * as entryContract from './entry_contract.js';

/** Collaborators and settings of an `AttemptSender`. */
export interface AttemptSenderOptions {
  readonly view: fleetView.FleetView;
  readonly counters: counters.Counters;
  readonly invariants: invariants.Invariants;
  readonly calls: callTable.CallTable;
  readonly ownAttempts: outstandingAttempts.OutstandingAttempts;
  readonly budgets: serviceBudgets.ServiceBudgets;
  /** Whether the selector follows the alternatives that a full gate names. */
  readonly followsRedirections: boolean;
}

/** Returns whether `callId` identifies an attempt of the request. */
export function belongsTo(callId: string, requestId: string): boolean {
  return callId.slice(0, callId.lastIndexOf('.')) === requestId;
}

/** Keeps track of open attempts and builds their dispatch actions. */
export class AttemptSender {
  constructor(private readonly options: AttemptSenderOptions) {}

  /**
   * Opens an attempt at the gate of a member.
   *
   * @throws errors.InvariantError if the request is not idempotent and might run twice.
   */
  openAttempt(
    c: call.Call,
    m: peer.Member,
    nowMs: units.MonotonicMs,
  ): entryContract.EntryAction {
    this.options.invariants.check(
      c.idempotent || c.provenNotRun,
      {step: 'dispatch', peer: m.nodeId},
      'a non-idempotent request has another attempt that may have run',
    );
    const attempt = c.openAttempt(m, nowMs);
    this.options.calls.addAttempt(c, attempt);
    this.options.ownAttempts.add(m.nodeId, nowMs);
    this.options.counters.increment('entry.attempts');
    return this.dispatch(c, attempt, nowMs);
  }

  /** Sends an open attempt to the same gate again. */
  resend(
    c: call.Call,
    attempt: call.Attempt,
    nowMs: units.MonotonicMs,
  ): entryContract.EntryAction {
    const resent = {
      ...attempt,
      resends: attempt.resends + 1,
      resendAtMs: undefined,
    };
    c.updateAttempt(resent);
    this.options.counters.increment('entry.resends');
    return this.dispatch(c, resent, nowMs);
  }

  /** Removes the records of an attempt that has ended. */
  onAttemptEnded(attempt: call.Attempt): void {
    this.options.calls.removeAttempt(attempt);
    this.options.ownAttempts.remove(attempt.nodeId, attempt.startedAtMs);
  }

  private dispatch(
    c: call.Call,
    attempt: call.Attempt,
    nowMs: units.MonotonicMs,
  ): entryContract.EntryAction {
    const call = callRequests.callRequest(c, attempt, this.options.view, nowMs);
    const redirectable = this.isRedirectable(c, attempt) ? true : undefined;
    return {
      kind: 'dispatch',
      nodeId: attempt.nodeId,
      call: {...call, redirectable},
    };
  }

  /** Only the first attempt may be redirected, and only while the budget has tokens left. */
  private isRedirectable(c: call.Call, attempt: call.Attempt): boolean {
    const {budgets, followsRedirections} = this.options;
    if (!followsRedirections || attempt.number > 1) return false;
    return budgets.of(c.request.service).mayRedirect;
  }
}
