/** Keyed calls that a home lets a sibling run; the memory of the key stays with the home. */
import * as peer from '../../generated/peer.js';
import * as units from '../units.js';
import * as callEnds from './call_ends.js';
import * as record from './call_record.js';
import * as gateParts from './gate_parts.js';
import * as responder from './responder.js';

/** Hands calls to siblings and takes their results. */
export class Delegations {
  constructor(
    private readonly parts: gateParts.GateParts,
    private readonly ends: callEnds.CallEnds,
    private readonly emit: responder.Emit,
  ) {}

  /** Hands a call to a sibling believed to have room; returns whether there is one. */
  delegate(rec: record.CallRecord, now: units.Instant): boolean {
    const [sibling] = this.parts.siblings.withRoom(now.monotonicMs);
    if (sibling) this.handTo(sibling.nodeId, rec, now);
    return sibling !== undefined;
  }

  /** Hands a call to a sibling, also to one of unknown load; returns whether there is one. */
  delegateFromClosed(rec: record.CallRecord, now: units.Instant): boolean {
    if (this.delegate(rec, now)) return true;
    const {options, siblings} = this.parts;
    const ids = siblings.siblingIds();
    if (ids.length === 0) return false;
    this.handTo(ids[options.random.nextInt(ids.length)], rec, now);
    return true;
  }

  private handTo(
    nodeId: string,
    rec: record.CallRecord,
    now: units.Instant,
  ): void {
    const {options, siblings} = this.parts;
    siblings.onSent(nodeId);
    options.counters.increment('gate.delegated');
    rec.state = {kind: 'delegated', nodeId};
    const deadlineMs = Math.max(1, Math.ceil(rec.deadlineMs - now.monotonicMs));
    const call = {...rec.call, delegated: true, resend: false, deadlineMs};
    this.emit({kind: 'delegate', nodeId, call});
  }

  /** Takes the answer of a sibling. */
  onAnswered(answer: peer.CallAnswer, now: units.Instant): void {
    const rec = this.delegated(answer.callId);
    if (!rec) return;
    const {status, headers, body} = answer;
    const given = {status, headers, body, replayed: false};
    this.ends.finish(rec, {kind: 'answered', answer: given}, now);
  }

  /** Takes the refusal of a sibling. */
  onRefused(refusal: peer.CallRefusal, now: units.Instant): void {
    const rec = this.delegated(refusal.callId);
    if (!rec) return;
    const {reason, outcome, retryAfterMs, serverDied} = refusal;
    const detail = {reason, outcome, retryAfterMs, serverDied};
    this.ends.refuseWith(rec, detail, now);
  }

  /** A sibling may have run the call, its result is lost. */
  onLost(callId: string, now: units.Instant): void {
    const rec = this.delegated(callId);
    if (rec) this.ends.refuse(rec, peer.RefusalReason.LINK_FAILED, now);
  }

  private delegated(callId: string): record.CallRecord | undefined {
    const rec = this.parts.calls.liveCall(callId);
    return rec?.state.kind === 'delegated' ? rec : undefined;
  }
}
