/** Opens attempts and sends them, first and again. */
import * as peer from '../../generated/peer.js';
import * as fleetView from '../control/fleet_view.js';
import * as counters from '../counters.js';
import * as invariants from '../invariants.js';
import * as serviceBudgets from '../retries/service_budgets.js';
import * as outstanding from '../routing/outstanding.js';
import * as units from '../units.js';
import * as call from './call.js';
import * as callRequests from './call_requests.js';
import * as callTable from './call_table.js';
import * as contract from './entry_contract.js';

/** What a sender is made with. */
export interface SenderOptions {
  readonly view: fleetView.FleetView;
  readonly counters: counters.Counters;
  readonly invariants: invariants.Invariants;
  readonly calls: callTable.CallTable;
  readonly own: outstanding.Outstanding;
  readonly budgets: serviceBudgets.ServiceBudgets;
  /** Whether the selector goes where a full gate points. */
  readonly followsRedirections: boolean;
}

/** Returns whether a call id is that of an attempt of the request. */
export function belongsTo(callId: string, requestId: string): boolean {
  return callId.slice(0, callId.lastIndexOf('.')) === requestId;
}

/** Turns decisions about attempts into dispatch actions. */
export class AttemptSender {
  constructor(private readonly options: SenderOptions) {}

  /**
   * Opens an attempt at a gate.
   *
   * @throws errors.InvariantError if the request might run twice by it.
   */
  open(
    c: call.Call,
    m: peer.Member,
    nowMs: units.MonotonicMs,
  ): contract.EntryAction {
    this.options.invariants.check(
      c.idempotent || c.provenNotRun,
      {step: 'dispatch', peer: m.nodeId},
      'a request that must not run twice has no attempt that may have run',
    );
    const attempt = c.openAttempt(m, nowMs);
    this.options.calls.addAttempt(c, attempt);
    this.options.own.add(m.nodeId, nowMs);
    this.options.counters.increment('entry.attempts');
    return this.dispatch(c, attempt, nowMs);
  }

  /** Sends an open attempt again to the same gate. */
  resend(
    c: call.Call,
    attempt: call.Attempt,
    nowMs: units.MonotonicMs,
  ): contract.EntryAction {
    const again = {
      ...attempt,
      resends: attempt.resends + 1,
      resendAtMs: undefined,
    };
    c.update(again);
    this.options.counters.increment('entry.resends');
    return this.dispatch(c, again, nowMs);
  }

  /** Notes that an attempt has ended. */
  end(attempt: call.Attempt): void {
    this.options.calls.removeAttempt(attempt);
    this.options.own.remove(attempt.nodeId, attempt.startedAtMs);
  }

  private dispatch(
    c: call.Call,
    attempt: call.Attempt,
    nowMs: units.MonotonicMs,
  ): contract.EntryAction {
    const call = callRequests.callRequest(c, attempt, this.options.view, nowMs);
    const redirectable = this.isRedirectable(c, attempt) ? true : undefined;
    return {
      kind: 'dispatch',
      nodeId: attempt.nodeId,
      call: {...call, redirectable},
    };
  }

  /** Whether a redirection of this attempt would be followed: once, while the budget lasts. */
  private isRedirectable(c: call.Call, attempt: call.Attempt): boolean {
    const {budgets, followsRedirections} = this.options;
    if (!followsRedirections || attempt.number > 1) return false;
    return budgets.of(c.request.service).mayRedirect;
  }
}
