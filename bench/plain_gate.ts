/** Baseline gate of the load tool: concurrency limit equal to the slots, and a FIFO queue. */
import * as peer from '../src/generated/peer.js';
import * as controlContract from '../src/common/control/control_contract.js';
import * as core from '../src/common/core.js';
import * as gateContract from '../src/common/gate/gate_contract.js';
import * as units from '../src/common/units.js';

/** Most calls in the queue; further calls are refused. */
const QUEUE_LENGTH = 24;
const RETRY_AFTER_MS = 100;
/** Number of the only run of each call. */
const FIRST_RUN = 1;

/** A call in the queue or at the backend server. */
interface PendingCall {
  readonly source: gateContract.CallSource;
  readonly call: peer.CallRequest;
  readonly deadlineAtMs: units.MonotonicMs;
}

/** Runs calls in order of arrival, as many concurrently as the backend server has slots. */
export class PlainGate implements core.Core<
  gateContract.GateEvent,
  gateContract.GateAction
> {
  private readonly running = new Map<string, PendingCall>();
  private queue: readonly PendingCall[] = [];
  private state: controlContract.ServerState = 'absent';
  private slots = 0;
  private actions: gateContract.GateAction[] = [];

  handle(
    event: gateContract.GateEvent,
    now: units.Instant,
  ): readonly gateContract.GateAction[] {
    this.actions = [];
    this.handleEvent(event, now.monotonicMs);
    this.startQueuedCalls(now.monotonicMs);
    return this.actions;
  }

  nextWakeMs(): units.MonotonicMs | undefined {
    let wakeMs: units.MonotonicMs | undefined;
    for (const pending of this.running.values()) {
      if (wakeMs === undefined || pending.deadlineAtMs < wakeMs) {
        wakeMs = pending.deadlineAtMs;
      }
    }
    return wakeMs;
  }

  private handleEvent(
    event: gateContract.GateEvent,
    nowMs: units.MonotonicMs,
  ): void {
    switch (event.kind) {
      case 'call':
        return this.onCall(event.source, event.call, nowMs);
      case 'cancel':
        return this.onCancel(event.callId);
      case 'server-answered':
        return this.onAnswered(event);
      case 'server-failed':
        return this.onFailed(event.callId, event.failure);
      case 'server-state':
        this.state = event.state;
        this.slots = event.slots;
        return;
      case 'server-lost':
        this.state = 'absent';
        return;
      case 'tick':
        return this.onTick(nowMs);
      case 'stop':
        this.state = 'leaving';
        return;
      default:
        return;
    }
  }

  private onCall(
    source: gateContract.CallSource,
    call: peer.CallRequest,
    nowMs: units.MonotonicMs,
  ): void {
    const pending = {source, call, deadlineAtMs: nowMs + call.deadlineMs};
    if (this.state !== 'ready') {
      return this.refuse(
        pending,
        peer.RefusalReason.SERVER_ABSENT,
        peer.Outcome.NOT_RUN,
      );
    }
    if (this.queue.length >= QUEUE_LENGTH) {
      return this.refuse(
        pending,
        peer.RefusalReason.NO_ROOM,
        peer.Outcome.NOT_RUN,
      );
    }
    this.queue = [...this.queue, pending];
  }

  private onCancel(callId: string): void {
    this.queue = this.queue.filter(pending => pending.call.callId !== callId);
    if (!this.running.delete(callId)) return;
    this.actions.push({kind: 'abort', callId, run: FIRST_RUN});
  }

  private onAnswered(
    event: Extract<gateContract.GateEvent, {readonly kind: 'server-answered'}>,
  ): void {
    const pending = this.running.get(event.callId);
    if (pending === undefined) return;
    this.running.delete(event.callId);
    const {callId, status, headers, body} = event;
    this.actions.push({
      kind: 'answer',
      source: pending.source,
      answer: {
        callId,
        status,
        headers,
        body: Buffer.from(body),
        load: this.load(),
        configurationRevision: 0,
      },
    });
  }

  private onFailed(callId: string, failure: gateContract.ServerFailure): void {
    const pending = this.running.get(callId);
    if (pending === undefined) return;
    this.running.delete(callId);
    const didNotRun = failure.kind === 'not-sent' || failure.kind === 'shed';
    const outcome = didNotRun ? peer.Outcome.NOT_RUN : peer.Outcome.UNKNOWN;
    this.refuse(pending, peer.RefusalReason.SERVER_FAILED, outcome);
  }

  private onTick(nowMs: units.MonotonicMs): void {
    for (const [callId, pending] of this.running) {
      if (pending.deadlineAtMs > nowMs) continue;
      this.running.delete(callId);
      this.actions.push({kind: 'abort', callId, run: FIRST_RUN});
      this.refuse(pending, peer.RefusalReason.DEADLINE, peer.Outcome.UNKNOWN);
    }
  }

  private startQueuedCalls(nowMs: units.MonotonicMs): void {
    while (this.running.size < this.slots && this.queue.length > 0) {
      const [pending, ...rest] = this.queue;
      this.queue = rest;
      if (pending.deadlineAtMs <= nowMs) {
        this.refuse(pending, peer.RefusalReason.DEADLINE, peer.Outcome.NOT_RUN);
        continue;
      }
      this.running.set(pending.call.callId, pending);
      const deadlineMs = pending.deadlineAtMs - nowMs;
      const run = FIRST_RUN;
      this.actions.push({
        kind: 'run',
        call: pending.call,
        run,
        freshConnection: false,
        deadlineMs,
      });
    }
  }

  private refuse(
    pending: PendingCall,
    reason: peer.RefusalReason,
    outcome: peer.Outcome,
  ): void {
    this.actions.push({
      kind: 'refuse',
      source: pending.source,
      refusal: {
        callId: pending.call.callId,
        reason,
        outcome,
        retryAfterMs: RETRY_AFTER_MS,
        alternatives: [],
        load: this.load(),
        configurationRevision: 0,
        serverDied: false,
      },
    });
  }

  private load(): peer.LoadReport {
    return {
      inFlight: this.running.size,
      queued: this.queue.length,
      limit: this.slots,
      latencyUs: 0,
      cold: false,
      leaving: this.state === 'leaving',
      ageMs: 0,
    };
  }
}
