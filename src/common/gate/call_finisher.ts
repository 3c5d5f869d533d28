/** Finishes calls: records the result and sends it to the source of the call. */
import * as peer from '../../generated/peer.js';
import * as emitter from '../emitter.js';
import * as errors from '../errors.js';
import * as invariants from '../invariants.js';
import * as units from '../units.js';
import * as callRecord from './call_record.js';
import * as gateOptions from './gate_options.js';
import * as gateParts from './gate_parts.js';

/** Event fired when a call has finished. */
export interface FinishedCallEvent {
  readonly rec: callRecord.CallRecord;
  readonly result: callRecord.CallResult;
  readonly now: units.Instant;
}

/** Finishes calls with an answer or a refusal. */
export class CallFinisher {
  private readonly finishedEmitter = new emitter.Emitter<FinishedCallEvent>();

  /** Fires for each finished call, before the result is sent to its source. */
  readonly onFinished = this.finishedEmitter.event;

  constructor(private readonly parts: gateParts.GateParts) {}

  /** Refuses a call; the outcome is derived from the runs sent so far. */
  refuse(
    rec: callRecord.CallRecord,
    reason: peer.RefusalReason,
    now: units.Instant,
  ): void {
    this.refuseWith(rec, {reason, outcome: rec.outcomeSoFar}, now);
  }

  /** Refuses a call with the given outcome, corrected if it contradicts the runs sent. */
  refuseWith(
    rec: callRecord.CallRecord,
    detail: callRecord.RefusalDetail,
    now: units.Instant,
  ): void {
    this.finish(
      rec,
      {kind: 'refused', detail: this.withCheckedOutcome(rec, detail)},
      now,
    );
  }

  /** Removes a call from the queue, records its result and replies to its source, if any. */
  finish(
    rec: callRecord.CallRecord,
    result: callRecord.CallResult,
    now: units.Instant,
  ): void {
    const {admission, calls, responder} = this.parts;
    admission.queue.remove(rec);
    calls.finish(rec, result, now.monotonicMs);
    this.finishedEmitter.fire({rec, result, now});
    if (!rec.source) return;
    responder.reply(rec.source, rec.callId, result, now);
  }

  /** Runs a step of a call; a violated invariant refuses this call instead of failing the gate. */
  guard(
    rec: callRecord.CallRecord,
    now: units.Instant,
    step: () => void,
  ): void {
    try {
      step();
    } catch (err) {
      if (!(err instanceof errors.InvariantError)) throw err;
      this.parts.runs.abortAll(rec, now.monotonicMs);
      this.refuse(rec, peer.RefusalReason.INTERNAL, now);
    }
  }

  /**
   * Returns the detail, or an internal error with an unknown outcome if the detail claims that a
   * dispatched call did not run.
   */
  private withCheckedOutcome(
    rec: callRecord.CallRecord,
    detail: callRecord.RefusalDetail,
  ): callRecord.RefusalDetail {
    const {options} = this.parts;
    const checks: invariants.Invariants = options.invariants;
    const isConsistent =
      detail.outcome !== peer.Outcome.NOT_RUN || rec.runsSent === 0;
    try {
      checks.check(
        isConsistent,
        gateOptions.errorSite(options, 'refuse call'),
        `call ${rec.callId} was dispatched, but its refusal says not run`,
      );
      return detail;
    } catch (err) {
      if (!(err instanceof errors.InvariantError)) throw err;
      return {
        reason: peer.RefusalReason.INTERNAL,
        outcome: peer.Outcome.UNKNOWN,
      };
    }
  }
}
