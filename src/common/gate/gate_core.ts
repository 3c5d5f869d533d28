/** Decides which calls run on the backend server beside this node, when, and what they are told. */
import * as peer from '../../generated/peer.js';
import * as core from '../core.js';
import * as invariants from '../invariants.js';
import * as units from '../units.js';
import * as callTable from './call_table.js';
import * as record from './call_record.js';
import * as entrance from './entrance.js';
import * as contract from './gate_contract.js';
import * as gateOptions from './gate_options.js';
import * as responder from './responder.js';
import * as runSupervisor from './run_supervisor.js';

const SHED_RETRY_AFTER_MS = 100;

/** The gate in front of one backend server. */
export class GateCore implements core.Core<
  contract.GateEvent,
  contract.GateAction
> {
  private actions: contract.GateAction[] = [];
  private readonly calls: callTable.CallTable;
  private readonly runs: runSupervisor.RunSupervisor;
  private readonly entrance: entrance.Entrance;
  private readonly responder: responder.Responder;
  private readonly waiting: record.CallRecord[] = [];
  private drainedSent = false;

  constructor(private readonly options: gateOptions.GateOptions) {
    const emit: responder.Emit = action => void this.actions.push(action);
    this.calls = new callTable.CallTable(options.bounds.calls);
    this.runs = new runSupervisor.RunSupervisor(options, emit);
    this.entrance = new entrance.Entrance(options);
    this.responder = new responder.Responder(options, this, emit);
  }

  handle(
    event: contract.GateEvent,
    now: units.Instant,
  ): readonly contract.GateAction[] {
    this.actions = [];
    this.apply(event, now);
    this.advance(now);
    return this.actions;
  }

  nextWakeMs(): units.MonotonicMs | undefined {
    let next = this.runs.nextSettleMs ?? Infinity;
    for (const rec of this.calls.liveRecords) {
      next = Math.min(next, rec.deadlineMs);
    }
    return next === Infinity ? undefined : next;
  }

  /** Load of this gate. */
  loadReport(): peer.LoadReport {
    return {
      inFlight: this.runs.inFlight,
      queued: this.waiting.length,
      limit: this.limit,
      latencyUs: 0,
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
  retryAfterMs(): units.Millis {
    return 0;
  }

  private get limit(): number {
    return this.entrance.slots;
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
    const known = this.calls.get(call.callId);
    if (known) return this.attach(known, source, now);
    const detail = this.refusalOnArrival(call);
    if (detail) {
      const result = {kind: 'refused', detail} as const;
      return this.responder.reply(source, call.callId, result, now);
    }
    const requestClass = this.options.view.configuration?.requestClass(
      call.className,
    );
    if (!requestClass) return;
    const rec = new record.CallRecord(
      call,
      requestClass,
      now.monotonicMs,
      source,
    );
    this.calls.add(rec);
    this.waiting.push(rec);
  }

  /** A call that is known already: its new source waits for the result, or gets it. */
  private attach(
    rec: record.CallRecord,
    source: contract.CallSource,
    now: units.Instant,
  ): void {
    if (rec.state.kind === 'finished') {
      this.responder.reply(source, rec.callId, rec.state.result, now);
    } else {
      rec.source = source;
    }
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
    if (closed) return notRun(closed);
    if (!this.options.view.configuration?.requestClass(call.className)) {
      return notRun(peer.RefusalReason.NO_ROUTE);
    }
    const queueLength = gateOptions.tuningInForce(this.options).queueLength;
    const full =
      this.runs.inFlight >= this.limit && this.waiting.length >= queueLength;
    if (full || !this.calls.hasRoom) {
      return notRun(peer.RefusalReason.NO_ROOM);
    }
    return undefined;
  }

  private onCancel(callId: string, now: units.Instant): void {
    const rec = this.calls.get(callId);
    if (!rec) return this.calls.addCancelled(callId, now.monotonicMs);
    if (rec.state.kind === 'finished') return;
    this.runs.abortAll(rec, now.monotonicMs);
    this.refuse(rec, peer.RefusalReason.CANCELLED, now);
  }

  private onSourceLost(linkId: number): void {
    for (const rec of this.calls.liveRecords) {
      const {source} = rec;
      if (source?.kind === 'link' && source.linkId === linkId) {
        rec.source = undefined;
      }
    }
  }

  private onAnswered(
    event: Extract<contract.GateEvent, {readonly kind: 'server-answered'}>,
    now: units.Instant,
  ): void {
    const rec = this.calls.get(event.callId);
    const run = this.runs.end(rec, event.callId, event.run);
    if (!rec || !run) return;
    this.runs.abortAll(rec, now.monotonicMs);
    const {status, headers, body} = event;
    const answer = {status, headers, body, replayed: false};
    this.finish(rec, {kind: 'answered', answer}, now);
  }

  private onFailed(
    event: Extract<contract.GateEvent, {readonly kind: 'server-failed'}>,
    now: units.Instant,
  ): void {
    const rec = this.calls.get(event.callId);
    const run = this.runs.end(rec, event.callId, event.run);
    if (!rec || !run) return;
    const {failure} = event;
    if (failure.kind === 'not-sent' || failure.kind === 'shed') rec.runsSent--;
    if (rec.runs.length > 0) return;
    switch (failure.kind) {
      case 'not-sent':
        return this.refuse(rec, peer.RefusalReason.SERVER_FAILED, now);
      case 'shed':
        return this.finishRefused(
          rec,
          {
            reason: peer.RefusalReason.SERVER_SHED,
            outcome: rec.outcomeSoFar,
            retryAfterMs: failure.retryAfterMs || SHED_RETRY_AFTER_MS,
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

  private onServerLost(now: units.Instant): void {
    this.entrance.setServer('absent', 0);
    for (const rec of [...this.calls.liveRecords]) {
      if (rec.state.kind !== 'running') continue;
      this.runs.dropAll(rec);
      this.finishRefused(
        rec,
        {
          reason: peer.RefusalReason.SERVER_FAILED,
          outcome: rec.outcomeSoFar,
          serverDied: true,
        },
        now,
      );
    }
  }

  /** Does what time and the last event make due. */
  private advance(now: units.Instant): void {
    this.calls.purge(now.monotonicMs);
    this.runs.settle(now.monotonicMs);
    this.expire(now);
    this.dispatch(now);
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
    while (this.waiting.length > 0) {
      if (!closed && this.runs.inFlight >= this.limit) return;
      const rec = this.waiting[0];
      if (closed) {
        this.refuse(rec, closed, now);
      } else {
        this.waiting.shift();
        this.runs.start(rec, now.monotonicMs);
      }
    }
  }

  private sendDrained(): void {
    if (this.drainedSent) return;
    this.drainedSent = true;
    this.actions.push({kind: 'drained'});
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
    const index = this.waiting.indexOf(rec);
    if (index >= 0) this.waiting.splice(index, 1);
    this.calls.finish(rec, result, now.monotonicMs);
    if (!rec.source) return;
    this.responder.reply(rec.source, rec.callId, result, now);
  }
}

function notRun(reason: peer.RefusalReason): record.RefusalDetail {
  return {reason, outcome: peer.Outcome.NOT_RUN};
}
