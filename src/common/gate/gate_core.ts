/** Decides which calls run on the backend server beside this node, when, and what they are told. */
import * as peer from '../../generated/peer.js';
import * as admission from '../admission/admission.js';
import * as core from '../core.js';
import * as errors from '../errors.js';
import * as invariants from '../invariants.js';
import * as units from '../units.js';
import * as callTable from './call_table.js';
import * as record from './call_record.js';
import * as entrance from './entrance.js';
import * as contract from './gate_contract.js';
import * as gateOptions from './gate_options.js';
import * as responder from './responder.js';
import * as runSupervisor from './run_supervisor.js';

type Answered = Extract<contract.GateEvent, {readonly kind: 'server-answered'}>;
type Failed = Extract<contract.GateEvent, {readonly kind: 'server-failed'}>;

/** The gate in front of one backend server. */
export class GateCore implements core.Core<
  contract.GateEvent,
  contract.GateAction
> {
  private actions: contract.GateAction[] = [];
  private lastMs: units.MonotonicMs = 0;
  private readonly calls: callTable.CallTable;
  private readonly runs: runSupervisor.RunSupervisor;
  private readonly entrance: entrance.Entrance;
  private readonly admission: admission.Admission<record.CallRecord>;
  private readonly responder: responder.Responder;
  private drainedSent = false;

  constructor(private readonly options: gateOptions.GateOptions) {
    const emit: responder.Emit = action => void this.actions.push(action);
    this.calls = new callTable.CallTable(options.bounds.calls);
    this.runs = new runSupervisor.RunSupervisor(options, emit);
    this.entrance = new entrance.Entrance(options);
    this.admission = new admission.Admission({
      random: options.random,
      tuning: () => gateOptions.tuningInForce(options),
      slots: () => this.entrance.slots,
      inFlight: () => this.runs.inFlight,
    });
    this.responder = new responder.Responder(options, this, emit);
  }

  handle(
    event: contract.GateEvent,
    now: units.Instant,
  ): readonly contract.GateAction[] {
    this.actions = [];
    this.lastMs = now.monotonicMs;
    this.apply(event, now);
    this.advance(now);
    return this.actions;
  }

  nextWakeMs(): units.MonotonicMs | undefined {
    let next = this.runs.nextSettleMs ?? Infinity;
    for (const rec of this.calls.liveRecords) {
      next = Math.min(next, rec.deadlineMs);
      const silentMs = this.silentMs(rec);
      if (silentMs > this.lastMs) next = Math.min(next, silentMs);
    }
    return next === Infinity ? undefined : next;
  }

  /** Load of this gate. */
  loadReport(): peer.LoadReport {
    return {
      inFlight: this.runs.inFlight,
      queued: this.admission.queue.size,
      limit: this.admission.limit,
      latencyUs: Math.round(this.admission.recentMs * units.MICROS_PER_MS),
      cold: false,
      leaving: this.entrance.isLeaving,
      ageMs: 0,
    };
  }

  /** Siblings believed to have room. */
  alternatives(): readonly peer.Alternative[] {
    return [];
  }

  /** Time after which to come back. */
  retryAfterMs(reason: peer.RefusalReason): units.Millis {
    return this.admission.retryAfterMs(reason);
  }

  private apply(event: contract.GateEvent, now: units.Instant): void {
    switch (event.kind) {
      case 'call':
        return this.onCall(event.source, event.call, now);
      case 'cancel':
        return this.onCancel(event.callId, now);
      case 'source-lost':
        return this.onSourceLost(event.linkId);
      case 'server-answered':
        return this.onAnswered(event, now);
      case 'server-failed':
        return this.onFailed(event, now);
      case 'server-state':
        return this.entrance.setServer(event.state, event.slots);
      case 'server-lost':
        return this.onServerLost(now);
      case 'stop':
        return this.entrance.stop();
      case 'sibling-load':
      case 'suspect':
      case 'delegate-answered':
      case 'delegate-refused':
      case 'delegate-lost':
      case 'keys-received':
      case 'tick':
        return;
      default:
        return invariants.assertNever(event);
    }
  }

  private onCall(
    source: contract.CallSource,
    call: peer.CallRequest,
    now: units.Instant,
  ): void {
    if (this.isKnown(source, call, now)) return;
    const requestClass = this.options.view.configuration?.requestClass(
      call.className,
    );
    const detail = this.refusalOnArrival(call);
    if (detail || !requestClass) {
      const given = detail ?? notRun(peer.RefusalReason.NO_ROUTE);
      return this.refuseUnrecorded(source, call.callId, given, now);
    }
    const rec = new record.CallRecord(
      call,
      requestClass,
      now.monotonicMs,
      source,
    );
    if (!this.calls.hasRoom(rec.idempotent)) {
      const full = notRun(peer.RefusalReason.NO_ROOM);
      return this.refuseUnrecorded(source, call.callId, full, now);
    }
    this.calls.add(rec);
    this.admit(rec, now);
  }

  /** A call that was seen before: its new source waits for the result, or gets it. */
  private isKnown(
    source: contract.CallSource,
    call: peer.CallRequest,
    now: units.Instant,
  ): boolean {
    const live = this.calls.liveCall(call.callId);
    if (live) live.source = source;
    const result = this.calls.resultOf(call.callId);
    if (result) this.responder.reply(source, call.callId, result, now);
    return live !== undefined || result !== undefined;
  }

  private refusalOnArrival(
    call: peer.CallRequest,
  ): record.RefusalDetail | undefined {
    if (this.calls.isCancelled(call.callId)) {
      return notRun(peer.RefusalReason.CANCELLED);
    }
    if (call.resend && call.gateIncarnation !== this.options.incarnation) {
      return {
        reason: peer.RefusalReason.LINK_FAILED,
        outcome: peer.Outcome.UNKNOWN,
      };
    }
    const closed = this.entrance.refusalReason();
    return closed && notRun(closed);
  }

  /** Queues a call, or refuses it or a less entitled one. */
  private admit(rec: record.CallRecord, now: units.Instant): void {
    const offer = this.admission.offer(rec, now.monotonicMs);
    switch (offer.kind) {
      case 'queued':
        return;
      case 'displaced':
        return this.refuse(offer.item, peer.RefusalReason.NO_ROOM, now);
      case 'full':
        return this.refuse(rec, peer.RefusalReason.NO_ROOM, now);
      case 'too-late':
        return this.refuse(rec, peer.RefusalReason.DEADLINE, now);
      default:
        return invariants.assertNever(offer);
    }
  }

  private onCancel(callId: string, now: units.Instant): void {
    const rec = this.calls.liveCall(callId);
    if (rec) {
      this.runs.abortAll(rec, now.monotonicMs);
      this.refuse(rec, peer.RefusalReason.CANCELLED, now);
    } else if (!this.calls.resultOf(callId)) {
      this.calls.addCancelled(callId, now.monotonicMs);
    }
  }

  private onSourceLost(linkId: number): void {
    for (const rec of this.calls.liveRecords) {
      const {source} = rec;
      if (source?.kind === 'link' && source.linkId === linkId) {
        rec.source = undefined;
      }
    }
  }

  private onAnswered(event: Answered, now: units.Instant): void {
    const rec = this.calls.liveCall(event.callId);
    const run = this.runs.end(rec, event.callId, event.run);
    if (!rec || !run) return;
    this.admission.onAnswered(rec, now.monotonicMs - run.startedMs);
    this.runs.abortAll(rec, now.monotonicMs);
    const {status, headers, body} = event;
    const answer = {status, headers, body, replayed: false};
    this.finish(rec, {kind: 'answered', answer}, now);
  }

  private onFailed(event: Failed, now: units.Instant): void {
    const rec = this.calls.liveCall(event.callId);
    const run = this.runs.end(rec, event.callId, event.run);
    if (!rec || !run) return;
    const {failure} = event;
    const disclaimed = failure.kind === 'not-sent' || failure.kind === 'shed';
    if (disclaimed) rec.runsSent--;
    if (rec.runs.length > 0) return;
    switch (failure.kind) {
      case 'not-sent':
        return this.onNotSent(rec, now);
      case 'shed':
        return this.finishRefused(
          rec,
          {
            reason: peer.RefusalReason.SERVER_SHED,
            outcome: rec.outcomeSoFar,
            retryAfterMs: failure.retryAfterMs,
          },
          now,
        );
      case 'broken':
        return this.refuse(rec, peer.RefusalReason.SERVER_FAILED, now);
      case 'bad-answer':
        return this.refuse(rec, peer.RefusalReason.BAD_ANSWER, now);
      default:
        return invariants.assertNever(failure);
    }
  }

  /** Sends a call once more, unless that failed before. */
  private onNotSent(rec: record.CallRecord, now: units.Instant): void {
    if (rec.repeatedAfterNotSent) {
      return this.refuse(rec, peer.RefusalReason.SERVER_FAILED, now);
    }
    rec.repeatedAfterNotSent = true;
    rec.state = {kind: 'waiting'};
    this.admission.queue.putFirst(rec);
  }

  private onServerLost(now: units.Instant): void {
    this.entrance.setServer('absent', 0);
    for (const rec of [...this.calls.liveRecords]) {
      if (rec.state.kind !== 'running') continue;
      this.runs.dropAll(rec);
      const detail = {
        reason: peer.RefusalReason.SERVER_FAILED,
        outcome: rec.outcomeSoFar,
        serverDied: true,
      };
      this.finishRefused(rec, detail, now);
    }
  }

  /** Does what time and the last event make due. */
  private advance(now: units.Instant): void {
    this.calls.purge(now.monotonicMs);
    this.runs.settle(now.monotonicMs);
    this.expire(now);
    this.dispatch(now);
    this.replaceSilent(now);
    if (this.entrance.isStopping && this.calls.liveCount === 0) {
      this.sendDrained();
    }
  }

  private expire(now: units.Instant): void {
    for (const rec of [...this.calls.liveRecords]) {
      if (rec.deadlineMs > now.monotonicMs) continue;
      this.runs.abortAll(rec, now.monotonicMs);
      this.refuse(rec, peer.RefusalReason.DEADLINE, now);
    }
  }

  private dispatch(now: units.Instant): void {
    const closed = this.entrance.refusalReason();
    if (closed) {
      for (const rec of this.admission.queue.items()) {
        this.refuse(rec, closed, now);
      }
      return;
    }
    while (this.admission.hasRoom) {
      const rec = this.admission.queue.take();
      if (!rec) return;
      if (this.admission.isInTime(rec, now.monotonicMs)) {
        this.start(rec, now);
      } else {
        this.refuse(rec, peer.RefusalReason.DEADLINE, now);
      }
    }
  }

  private start(rec: record.CallRecord, now: units.Instant): void {
    this.guard(rec, now, () => {
      const site = gateOptions.siteOf(this.options, 'start run');
      const {inFlight} = this.runs;
      const {limit} = this.admission;
      const {slots} = this.entrance;
      this.options.invariants.check(
        inFlight < limit && limit <= slots,
        site,
        `${inFlight} in flight, limit ${limit}, ${slots} slots`,
      );
      this.options.invariants.check(
        this.entrance.refusalReason() === undefined,
        site,
        `call ${rec.callId} dispatched while the gate takes no new work`,
      );
      this.runs.start(rec, now.monotonicMs);
    });
  }

  /** Gives idempotent calls whose run is silent a second one on a fresh connection. */
  private replaceSilent(now: units.Instant): void {
    if (this.entrance.refusalReason()) return;
    for (const rec of [...this.calls.liveRecords]) {
      if (this.silentMs(rec) > now.monotonicMs) continue;
      if (!this.runs.second.tryTake()) return;
      this.options.counters.increment('gate.second-run');
      if (this.admission.hasRoom) {
        this.start(rec, now);
      } else {
        this.runs.abortAll(rec, now.monotonicMs);
        rec.state = {kind: 'waiting'};
        this.admission.queue.putFirst(rec);
      }
    }
  }

  /** Time at which the only run of a call counts as silent. */
  private silentMs(rec: record.CallRecord): units.MonotonicMs {
    const {progressTimeoutMs} = gateOptions.tuningInForce(this.options);
    const {recentMs} = this.admission;
    const dueMs = this.runs.second.dueMs(rec, progressTimeoutMs, recentMs);
    return dueMs ?? Infinity;
  }

  private sendDrained(): void {
    if (this.drainedSent) return;
    this.drainedSent = true;
    this.actions.push({kind: 'drained'});
  }

  /** Refuses the call if an invariant is breached while it is handled. */
  private guard(
    rec: record.CallRecord,
    now: units.Instant,
    work: () => void,
  ): void {
    try {
      work();
    } catch (err) {
      if (!(err instanceof errors.InvariantError)) throw err;
      this.runs.abortAll(rec, now.monotonicMs);
      this.refuse(rec, peer.RefusalReason.INTERNAL, now);
    }
  }

  private refuse(
    rec: record.CallRecord,
    reason: peer.RefusalReason,
    now: units.Instant,
  ): void {
    this.finishRefused(rec, {reason, outcome: rec.outcomeSoFar}, now);
  }

  private finishRefused(
    rec: record.CallRecord,
    detail: record.RefusalDetail,
    now: units.Instant,
  ): void {
    this.finish(rec, {kind: 'refused', detail}, now);
  }

  private finish(
    rec: record.CallRecord,
    result: record.CallResult,
    now: units.Instant,
  ): void {
    this.admission.queue.remove(rec);
    this.calls.finish(rec, result, now.monotonicMs);
    if (!rec.source) return;
    this.responder.reply(rec.source, rec.callId, result, now);
  }

  private refuseUnrecorded(
    source: contract.CallSource,
    callId: string,
    detail: record.RefusalDetail,
    now: units.Instant,
  ): void {
    this.responder.reply(source, callId, {kind: 'refused', detail}, now);
  }
}

function notRun(reason: peer.RefusalReason): record.RefusalDetail {
  return {reason, outcome: peer.Outcome.NOT_RUN};
}
