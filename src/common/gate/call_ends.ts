/** Ends of calls: the result is remembered and goes to who waits for it. */
import * as peer from '../../generated/peer.js';
import * as emitter from '../emitter.js';
import * as errors from '../errors.js';
import * as invariants from '../invariants.js';
import * as units from '../units.js';
import * as record from './call_record.js';
import * as gateOptions from './gate_options.js';
import * as gateParts from './gate_parts.js';

/** A call that has ended. */
export interface EndedCall {
  readonly rec: record.CallRecord;
  readonly result: record.CallResult;
  readonly now: units.Instant;
}

/** Ends calls. */
export class CallEnds {
  private readonly endEmitter = new emitter.Emitter<EndedCall>();

  /** Fires for each call that ends, before its result goes to its source. */
  readonly onEnd = this.endEmitter.event;

  constructor(private readonly parts: gateParts.GateParts) {}

  /** Refuses a call; the outcome is what is known of its runs. */
  refuse(
    rec: record.CallRecord,
    reason: peer.RefusalReason,
    now: units.Instant,
  ): void {
    this.refuseWith(rec, {reason, outcome: rec.outcomeSoFar}, now);
  }

  /** Refuses a call. */
  refuseWith(
    rec: record.CallRecord,
    detail: record.RefusalDetail,
    now: units.Instant,
  ): void {
    this.finish(
      rec,
      {kind: 'refused', detail: this.truthful(rec, detail)},
      now,
    );
  }

  /** Ends a call with a result. */
  finish(
    rec: record.CallRecord,
    result: record.CallResult,
    now: units.Instant,
  ): void {
    const {admission, calls, responder} = this.parts;
    admission.queue.remove(rec);
    calls.finish(rec, result, now.monotonicMs);
    this.endEmitter.fire({rec, result, now});
    if (!rec.source) return;
    responder.reply(rec.source, rec.callId, result, now);
  }

  /** Does a step of a call; a breach of an invariant ends the call. */
  guard(rec: record.CallRecord, now: units.Instant, step: () => void): void {
    try {
      step();
    } catch (err) {
      if (!(err instanceof errors.InvariantError)) throw err;
      this.parts.runs.abortAll(rec, now.monotonicMs);
      this.refuse(rec, peer.RefusalReason.INTERNAL, now);
    }
  }

  /** Never lets a refusal say of a call that was dispatched that it did not run. */
  private truthful(
    rec: record.CallRecord,
    detail: record.RefusalDetail,
  ): record.RefusalDetail {
    const {options} = this.parts;
    const checks: invariants.Invariants = options.invariants;
    const isTrue =
      detail.outcome !== peer.Outcome.NOT_RUN || rec.runsSent === 0;
    try {
      checks.check(
        isTrue,
        gateOptions.siteOf(options, 'refuse call'),
        `call ${rec.callId} was dispatched, its refusal says not run`,
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
