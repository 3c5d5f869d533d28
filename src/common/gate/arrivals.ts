/** Calls and cancellations as they arrive at a gate. */
import * as peer from '../../generated/peer.js';
import * as invariants from '../invariants.js';
import * as units from '../units.js';
import * as callEnds from './call_ends.js';
import * as record from './call_record.js';
import * as contract from './gate_contract.js';
import * as delegations from './delegations.js';
import * as gateParts from './gate_parts.js';
import * as keyedCalls from './keyed_calls.js';
import * as quarantine from './quarantine.js';

/** Takes calls into the queue, or refuses them at once. */
export class Arrivals {
  constructor(
    private readonly parts: gateParts.GateParts,
    private readonly ends: callEnds.CallEnds,
    private readonly keyed: keyedCalls.KeyedCalls,
    private readonly delegations: delegations.Delegations,
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
    if (rec.key !== '' && !this.keyed.admits(rec, now)) return;
    this.admit(rec, now);
  }

  /** Cancels a call, or remembers that it is cancelled if its request comes later. */
  onCancel(callId: string, now: units.Instant): void {
    const {calls, runs} = this.parts;
    const rec = calls.liveCall(callId);
    if (rec && this.keyed.mustGoOn(rec)) {
      this.detach(rec, now);
    } else if (rec) {
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
    const isKeyed = call.idempotencyKey !== '' && !call.delegated;
    if (closed && !(isKeyed && entrance.mayDelegate(closed))) {
      return record.notRun(closed);
    }
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
    const closed = this.parts.entrance.refusalReason();
    if (closed) return this.refuseFromClosed(rec, closed, now);
    const offer = this.parts.admission.offer(rec, now.monotonicMs);
    switch (offer.kind) {
      case 'queued':
        return;
      case 'displaced':
        return this.refuseForRoom(offer.item, now);
      case 'full':
        return this.refuseForRoom(rec, now);
      case 'too-late':
        return this.ends.refuse(rec, peer.RefusalReason.DEADLINE, now);
      default:
        return invariants.assertNever(offer);
    }
  }

  private refuseFromClosed(
    rec: record.CallRecord,
    reason: peer.RefusalReason,
    now: units.Instant,
  ): void {
    if (rec.key !== '' && this.delegations.delegateFromClosed(rec, now)) return;
    this.ends.refuse(rec, reason, now);
  }

  private refuseForRoom(rec: record.CallRecord, now: units.Instant): void {
    if (rec.key !== '' && this.delegations.delegate(rec, now)) return;
    this.ends.refuse(rec, this.fullReason, now);
  }

  /** Answers the cancellation of a call that goes on without its source. */
  private detach(rec: record.CallRecord, now: units.Instant): void {
    if (!rec.source) return;
    const detail = {
      reason: peer.RefusalReason.CANCELLED,
      outcome: peer.Outcome.UNKNOWN,
    };
    const result = {kind: 'refused', detail} as const;
    this.parts.responder.reply(rec.source, rec.callId, result, now);
    rec.source = undefined;
  }

  private get fullReason(): peer.RefusalReason {
    return this.parts.admission.isCold
      ? peer.RefusalReason.COLD_START
      : peer.RefusalReason.NO_ROOM;
  }
}
