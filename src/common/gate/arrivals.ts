/** Handles calls and cancellations that arrive at a gate. */
import * as peer from '../../generated/peer.js';
import * as invariants from '../invariants.js';
import * as units from '../units.js';
import * as callFinisher from './call_finisher.js';
import * as callRecord from './call_record.js';
import * as gateContract from './gate_contract.js';
import * as gateParts from './gate_parts.js';
import * as quarantine from './quarantine.js';

/** Queues arriving calls, or refuses them immediately. */
export class Arrivals {
  constructor(
    private readonly parts: gateParts.GateParts,
    private readonly finisher: callFinisher.CallFinisher,
    private readonly quarantine: quarantine.Quarantine,
  ) {}

  /** Handles a call: a duplicate is matched to the known call, a new one is queued or refused. */
  onCall(
    source: gateContract.CallSource,
    call: peer.CallRequest,
    now: units.Instant,
  ): void {
    if (this.isKnown(source, call, now)) return;
    const rec = this.createRecord(source, call, now);
    if ('reason' in rec) {
      const result = {kind: 'refused', detail: rec} as const;
      this.parts.calls.addRefused(call.callId, result, now.monotonicMs);
      return this.parts.responder.reply(source, call.callId, result, now);
    }
    this.parts.calls.add(rec);
    this.admit(rec, now);
  }

  /** Cancels a call; if its request has not arrived yet, the cancellation is remembered. */
  onCancel(callId: string, now: units.Instant): void {
    const {calls, runs} = this.parts;
    const rec = calls.activeCall(callId);
    if (rec) {
      runs.abortAll(rec, now.monotonicMs);
      this.finisher.refuse(rec, peer.RefusalReason.CANCELLED, now);
    } else if (!calls.resultOf(callId)) {
      calls.addCancelled(callId, now.monotonicMs);
    }
  }

  /** Detaches calls from a lost link; their runs complete. */
  onSourceLost(linkId: number): void {
    for (const rec of this.parts.calls.activeRecords) {
      const {source} = rec;
      if (source?.kind === 'link' && source.linkId === linkId) {
        rec.source = undefined;
      }
    }
  }

  /**
   * Whether the call was received before. The new source then gets the result, now or when the
   * call finishes.
   */
  private isKnown(
    source: gateContract.CallSource,
    call: peer.CallRequest,
    now: units.Instant,
  ): boolean {
    const {calls, responder} = this.parts;
    const activeCall = calls.activeCall(call.callId);
    if (activeCall) activeCall.source = source;
    const result = calls.resultOf(call.callId);
    if (result) responder.reply(source, call.callId, result, now);
    return activeCall !== undefined || result !== undefined;
  }

  /** Returns the record of a new call, or the refusal if it cannot be accepted. */
  private createRecord(
    source: gateContract.CallSource,
    call: peer.CallRequest,
    now: units.Instant,
  ): callRecord.CallRecord | callRecord.RefusalDetail {
    const {calls, options} = this.parts;
    const refusal = this.arrivalRefusal(call, now);
    if (refusal) return refusal;
    const requestClass = options.view.configuration?.requestClass(
      call.className,
    );
    if (!requestClass) return callRecord.notRun(this.unknownClassReason(call));
    const rec = new callRecord.CallRecord(
      call,
      requestClass,
      now.monotonicMs,
      source,
    );
    if (calls.hasCapacity(rec.idempotent)) return rec;
    return callRecord.notRun(peer.RefusalReason.NO_ROOM);
  }

  private arrivalRefusal(
    call: peer.CallRequest,
    now: units.Instant,
  ): callRecord.RefusalDetail | undefined {
    const {calls, readiness, options} = this.parts;
    if (calls.isCancelled(call.callId)) {
      return callRecord.notRun(peer.RefusalReason.CANCELLED);
    }
    if (call.resend && call.gateIncarnation !== options.incarnation) {
      return {
        reason: peer.RefusalReason.LINK_FAILED,
        outcome: peer.Outcome.UNKNOWN,
      };
    }
    const reason = readiness.refusalReason();
    if (reason) return callRecord.notRun(reason);
    return this.quarantine.refusalFor(call, now);
  }

  /** The class may be defined in a newer configuration that only the sender has so far. */
  private unknownClassReason(call: peer.CallRequest): peer.RefusalReason {
    const revision = this.parts.options.view.configuration?.revision ?? 0;
    return call.configurationRevision > revision
      ? peer.RefusalReason.NOT_READY
      : peer.RefusalReason.NO_ROUTE;
  }

  /** Queues a call; if the queue is full, refuses it or a queued call of lower priority. */
  private admit(rec: callRecord.CallRecord, now: units.Instant): void {
    const offer = this.parts.admission.offer(rec, now.monotonicMs);
    switch (offer.kind) {
      case 'queued':
        return;
      case 'displaced':
        return this.finisher.refuse(offer.item, this.noRoomReason, now);
      case 'full':
        return this.finisher.refuse(rec, this.noRoomReason, now);
      case 'too-late':
        return this.finisher.refuse(rec, peer.RefusalReason.DEADLINE, now);
      default:
        return invariants.assertNever(offer);
    }
  }

  private get noRoomReason(): peer.RefusalReason {
    return this.parts.admission.isCold
      ? peer.RefusalReason.COLD_START
      : peer.RefusalReason.NO_ROOM;
  }
}
