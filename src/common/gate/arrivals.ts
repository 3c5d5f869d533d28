/** Calls and cancellations as they arrive at a gate. */
import * as peer from '../../generated/peer.js';
import * as invariants from '../invariants.js';
import * as units from '../units.js';
import * as callEnds from './call_ends.js';
import * as record from './call_record.js';
import * as contract from './gate_contract.js';
import * as gateParts from './gate_parts.js';
import * as quarantine from './quarantine.js';

/** Takes calls into the queue, or refuses them at once. */
export class Arrivals {
  constructor(
    private readonly parts: gateParts.GateParts,
    private readonly ends: callEnds.CallEnds,
    private readonly quarantine: quarantine.Quarantine,
  ) {}

  /** Takes a call. */
  onCall(
    source: contract.CallSource,
    call: peer.CallRequest,
    now: units.Instant,
  ): void {
    if (this.isKnown(source, call, now)) return;
    const rec = this.recordOf(source, call, now);
    if ('reason' in rec) {
      const result = {kind: 'refused', detail: rec} as const;
      this.parts.calls.addRefused(call.callId, result, now.monotonicMs);
      return this.parts.responder.reply(source, call.callId, result, now);
    }
    this.parts.calls.add(rec);
    this.admit(rec, now);
  }

  /** Cancels a call, or remembers that it is cancelled if its request comes later. */
  onCancel(callId: string, now: units.Instant): void {
    const {calls, runs} = this.parts;
    const rec = calls.liveCall(callId);
    if (rec) {
      runs.abortAll(rec, now.monotonicMs);
      this.ends.refuse(rec, peer.RefusalReason.CANCELLED, now);
    } else if (!calls.resultOf(callId)) {
      calls.addCancelled(callId, now.monotonicMs);
    }
  }

  /** Forgets the source of calls whose link is lost; their runs complete. */
  onSourceLost(linkId: number): void {
    for (const rec of this.parts.calls.liveRecords) {
      const {source} = rec;
      if (source?.kind === 'link' && source.linkId === linkId) {
        rec.source = undefined;
      }
    }
  }

  /** A call that was seen before: its new source waits for the result, or gets it. */
  private isKnown(
    source: contract.CallSource,
    call: peer.CallRequest,
    now: units.Instant,
  ): boolean {
    const {calls, responder} = this.parts;
    const live = calls.liveCall(call.callId);
    if (live) live.source = source;
    const result = calls.resultOf(call.callId);
    if (result) responder.reply(source, call.callId, result, now);
    return live !== undefined || result !== undefined;
  }

  /** Returns the record of a new call, or why it is refused without one. */
  private recordOf(
    source: contract.CallSource,
    call: peer.CallRequest,
    now: units.Instant,
  ): record.CallRecord | record.RefusalDetail {
    const {calls, options} = this.parts;
    const refusal = this.refusalOnArrival(call, now);
    if (refusal) return refusal;
    const requestClass = options.view.configuration?.requestClass(
      call.className,
    );
    if (!requestClass) return record.notRun(this.unknownClassReason(call));
    const rec = new record.CallRecord(
      call,
      requestClass,
      now.monotonicMs,
      source,
    );
    if (calls.hasRoom(rec.idempotent)) return rec;
    return record.notRun(peer.RefusalReason.NO_ROOM);
  }

  private refusalOnArrival(
    call: peer.CallRequest,
    now: units.Instant,
  ): record.RefusalDetail | undefined {
    const {calls, entrance, options} = this.parts;
    if (calls.isCancelled(call.callId)) {
      return record.notRun(peer.RefusalReason.CANCELLED);
    }
    if (call.resend && call.gateIncarnation !== options.incarnation) {
      return {
        reason: peer.RefusalReason.LINK_FAILED,
        outcome: peer.Outcome.UNKNOWN,
      };
    }
    const closed = entrance.refusalReason();
    if (closed) return record.notRun(closed);
    return this.quarantine.refusalOf(call, now);
  }

  /** A class that is unknown here may be in a configuration that the sender knows already. */
  private unknownClassReason(call: peer.CallRequest): peer.RefusalReason {
    const revision = this.parts.options.view.configuration?.revision ?? 0;
    return call.configurationRevision > revision
      ? peer.RefusalReason.NOT_READY
      : peer.RefusalReason.NO_ROUTE;
  }

  /** Queues a call, or refuses it or a less entitled one. */
  private admit(rec: record.CallRecord, now: units.Instant): void {
    const offer = this.parts.admission.offer(rec, now.monotonicMs);
    switch (offer.kind) {
      case 'queued':
        return;
      case 'displaced':
        return this.ends.refuse(offer.item, this.fullReason, now);
      case 'full':
        return this.ends.refuse(rec, this.fullReason, now);
      case 'too-late':
        return this.ends.refuse(rec, peer.RefusalReason.DEADLINE, now);
      default:
        return invariants.assertNever(offer);
    }
  }

  private get fullReason(): peer.RefusalReason {
    return this.parts.admission.isCold
      ? peer.RefusalReason.COLD_START
      : peer.RefusalReason.NO_ROOM;
  }
}
