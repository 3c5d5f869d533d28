/** Ends calls: responds to the caller once and releases the resources of the call. */
import * as peer from '../../generated/peer.js';
import * as fleetView from '../control/fleet_view.js';
import * as counterNames from '../counter_names.js';
import * as counters from '../counters.js';
import * as invariants from '../invariants.js';
import * as units from '../units.js';
import * as attemptSender from './attempt_sender.js';
import * as call from './call.js';
import * as callTable from './call_table.js';
import * as entryContract from './entry_contract.js';
import * as refusals from './refusals.js';

/** Collaborators of a `CallFinisher`. */
export interface CallFinisherOptions {
  readonly view: fleetView.FleetView;
  readonly counters: counters.Counters;
  readonly invariants: invariants.Invariants;
  readonly calls: callTable.CallTable;
  readonly sender: attemptSender.AttemptSender;
}

/** Ends calls; each method returns the actions to carry out. */
export class CallFinisher {
  constructor(private readonly options: CallFinisherOptions) {}

  /**
   * Responds to the caller with a complete answer.
   *
   * @throws errors.InvariantError if the answer is a duplicate or belongs to another request.
   */
  respond(
    c: call.Call,
    served: call.ServedAnswer,
  ): readonly entryContract.EntryAction[] {
    const {requestId} = c.request;
    const {calls, counters: count} = this.options;
    this.options.invariants.check(
      calls.get(requestId) === c &&
        attemptSender.belongsTo(served.answer.callId, requestId),
      {step: 'respond', peer: served.nodeId},
      'answer is a duplicate or belongs to another request',
    );
    count.increment('entry.answered');
    return [
      {
        kind: 'respond',
        requestId,
        answer: served.answer,
        servedBy: served.nodeId,
        attempts: c.attempts,
      },
      ...this.close(c),
    ];
  }

  /** Refuses the request with the combined outcome of its attempts. */
  refuse(
    c: call.Call,
    reason: peer.RefusalReason,
    retryAfterMs: units.Millis,
  ): readonly entryContract.EntryAction[] {
    const {requestId} = c.request;
    const refusal = refusals.callerRefusal({
      callId: requestId,
      reason,
      outcome: c.outcome(),
      retryAfterMs,
      configurationRevision: this.options.view.configuration?.revision ?? 0,
    });
    this.options.counters.increment(counterNames.refusalCounter(reason));
    const {attempts} = c;
    return [{kind: 'refuse', requestId, refusal, attempts}, ...this.close(c)];
  }

  /** Removes a call and cancels its open attempts; does nothing if the call has ended. */
  close(c: call.Call): readonly entryContract.EntryAction[] {
    const {calls, sender} = this.options;
    if (calls.get(c.request.requestId) !== c) return [];
    calls.remove(c);
    return c.openAttempts.map(attempt => {
      sender.onAttemptEnded(attempt);
      const {nodeId, callId} = attempt;
      return {kind: 'cancel', nodeId, callId};
    });
  }
}
