/** Gives each caller its one end, and lets go of what the request holds. */
import * as peer from '../../generated/peer.js';
import * as fleetView from '../control/fleet_view.js';
import * as counterNames from '../counter_names.js';
import * as counters from '../counters.js';
import * as invariants from '../invariants.js';
import * as units from '../units.js';
import * as attemptSender from './attempt_sender.js';
import * as call from './call.js';
import * as callTable from './call_table.js';
import * as contract from './entry_contract.js';
import * as refusals from './refusals.js';

/** What an ender is made with. */
export interface EnderOptions {
  readonly view: fleetView.FleetView;
  readonly counters: counters.Counters;
  readonly invariants: invariants.Invariants;
  readonly calls: callTable.CallTable;
  readonly sender: attemptSender.AttemptSender;
}

/** Ends calls; each end is a list of actions. */
export class CallEnder {
  constructor(private readonly options: EnderOptions) {}

  /**
   * Gives the caller a whole answer.
   *
   * @throws errors.InvariantError if the answer is not the request's own or comes second.
   */
  respond(
    c: call.Call,
    served: call.ServedAnswer,
  ): readonly contract.EntryAction[] {
    const {requestId} = c.request;
    const {calls, counters: count} = this.options;
    this.options.invariants.check(
      calls.get(requestId) === c &&
        attemptSender.belongsTo(served.answer.callId, requestId),
      {step: 'respond', peer: served.nodeId},
      "an answer is given once, and is the request's own",
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

  /** Gives the caller the final refusal. */
  refuse(
    c: call.Call,
    reason: peer.RefusalReason,
    retryAfterMs: units.Millis,
  ): readonly contract.EntryAction[] {
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

  /** Drops a call and cancels what is still open. */
  close(c: call.Call): readonly contract.EntryAction[] {
    const {calls, sender} = this.options;
    if (calls.get(c.request.requestId) !== c) return [];
    calls.remove(c);
    return c.openAttempts.map(attempt => {
      sender.end(attempt);
      const {nodeId, callId} = attempt;
      return {kind: 'cancel', nodeId, callId};
    });
  }
}
