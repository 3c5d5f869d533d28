/** Takes callers' requests, chooses gates, retries, and gives each caller one truthful end. */
import * as generated from '../../generated/settings.js';
import * as peer from '../../generated/peer.js';
import * as fleetView from '../control/fleet_view.js';
import * as core from '../core.js';
import * as counterNames from '../counter_names.js';
import * as counters from '../counters.js';
import * as invariants from '../invariants.js';
import * as randomSource from '../random_source.js';
import * as outstanding from '../routing/outstanding.js';
import * as selector from '../routing/selector.js';
import * as units from '../units.js';
import * as call from './call.js';
import * as callRequests from './call_requests.js';
import * as contract from './entry_contract.js';
import * as refusals from './refusals.js';

const FULL_RETRY_AFTER_MS = 100;
const NO_SERVER_RETRY_AFTER_MS = 1_000;
const LINK_RETRY_AFTER_MS = 100;

/** What an entry is made with. */
export interface EntryOptions {
  readonly nodeId: string;
  readonly dataCentre: string;
  readonly region: string;
  readonly incarnation: number;
  readonly selector: generated.Settings['selector'];
  /** Most calls in progress at once. */
  readonly maxCalls: number;
  readonly view: fleetView.FleetView;
  readonly counters: counters.Counters;
  readonly invariants: invariants.Invariants;
  readonly random: randomSource.RandomSource;
}

interface OpenAttempt {
  readonly call: call.Call;
  readonly attempt: call.Attempt;
}

/** Decision logic of an entry. */
export class EntryCore implements core.Core<
  contract.EntryEvent,
  contract.EntryAction
> {
  private readonly calls = new Map<string, call.Call>();
  private readonly attempts = new Map<string, OpenAttempt>();
  private readonly own = new outstanding.Outstanding();
  private actions: contract.EntryAction[] = [];

  constructor(private readonly options: EntryOptions) {}

  handle(
    event: contract.EntryEvent,
    now: units.Instant,
  ): readonly contract.EntryAction[] {
    this.actions = [];
    this.dispatchEvent(event, now.monotonicMs);
    return this.actions;
  }

  nextWakeMs(): units.MonotonicMs | undefined {
    let wake: units.MonotonicMs | undefined;
    for (const c of this.calls.values()) {
      if (wake === undefined || c.deadlineAtMs < wake) wake = c.deadlineAtMs;
    }
    return wake;
  }

  private dispatchEvent(
    event: contract.EntryEvent,
    nowMs: units.MonotonicMs,
  ): void {
    switch (event.kind) {
      case 'request':
        return this.onRequest(event.request, nowMs);
      case 'caller-gone':
        return this.onCallerGone(event.requestId);
      case 'answer':
        return this.onAnswer(event.nodeId, event.answer);
      case 'refusal':
        return this.onRefusal(event.nodeId, event.refusal, nowMs);
      case 'link-failed':
        return this.onLinkFailed(event.callId, event.sent, nowMs);
      case 'link-silent':
        return this.onLinkFailed(event.callId, true, nowMs);
      case 'load':
        return;
      case 'tick':
        return this.onTick(nowMs);
      default:
        return invariants.assertNever(event);
    }
  }

  private onRequest(
    request: contract.CallerRequest,
    nowMs: units.MonotonicMs,
  ): void {
    const c = new call.Call(request, nowMs);
    if (this.calls.size >= this.options.maxCalls) {
      return this.refuse(c, peer.RefusalReason.NO_ROOM, FULL_RETRY_AFTER_MS);
    }
    this.calls.set(request.requestId, c);
    this.attempt(c, nowMs);
  }

  private attempt(c: call.Call, nowMs: units.MonotonicMs): void {
    const member = this.choose(c);
    if (member === undefined) {
      return this.refuse(
        c,
        peer.RefusalReason.NO_SERVER,
        NO_SERVER_RETRY_AFTER_MS,
      );
    }
    const attempt = c.openAttempt(member, nowMs);
    this.attempts.set(attempt.callId, {call: c, attempt});
    this.own.add(member.nodeId);
    const {view} = this.options;
    this.actions.push({
      kind: 'dispatch',
      nodeId: member.nodeId,
      call: callRequests.callRequest(c, attempt, view, nowMs),
    });
  }

  private choose(c: call.Call): peer.Member | undefined {
    const {view, random} = this.options;
    const {service, idempotencyKey} = c.request;
    if (idempotencyKey === '') {
      return selector.leastOutstanding(
        view,
        service,
        c.tried,
        this.own,
        random,
      );
    }
    const home = view.homeOf(service, idempotencyKey);
    return home === undefined ? undefined : view.member(home)?.member;
  }

  private onCallerGone(requestId: string): void {
    const c = this.calls.get(requestId);
    if (c !== undefined) this.close(c);
  }

  private onAnswer(nodeId: string, answer: peer.CallAnswer): void {
    const open = this.settle(nodeId, answer.callId, peer.Outcome.RAN);
    if (open === undefined) return;
    this.actions.push({
      kind: 'respond',
      requestId: open.call.request.requestId,
      answer,
      servedBy: nodeId,
      attempts: open.call.attempts,
    });
    this.close(open.call);
  }

  private onRefusal(
    nodeId: string,
    refusal: peer.CallRefusal,
    nowMs: units.MonotonicMs,
  ): void {
    const open = this.settle(nodeId, refusal.callId, refusal.outcome);
    if (open !== undefined) {
      this.afterFailure(open.call, {...refusal, nodeId}, nowMs);
    }
  }

  private onLinkFailed(
    callId: string,
    sent: boolean,
    nowMs: units.MonotonicMs,
  ): void {
    const nodeId = this.attempts.get(callId)?.attempt.nodeId ?? '';
    const outcome = sent ? peer.Outcome.UNKNOWN : peer.Outcome.NOT_RUN;
    const open = this.settle(nodeId, callId, outcome);
    if (open === undefined) return;
    this.afterFailure(
      open.call,
      {
        nodeId,
        reason: peer.RefusalReason.LINK_FAILED,
        outcome,
        retryAfterMs: LINK_RETRY_AFTER_MS,
        alternatives: [],
        homeNodeId: '',
      },
      nowMs,
    );
  }

  private afterFailure(
    c: call.Call,
    failure: call.AttemptFailure,
    nowMs: units.MonotonicMs,
  ): void {
    c.lastFailure = failure;
    if (c.tally.allNotRun && c.attempts < 2) {
      this.options.counters.increment(
        counterNames.retryCounter(failure.reason),
      );
      return this.attempt(c, nowMs);
    }
    this.refuse(c, failure.reason, failure.retryAfterMs);
  }

  private onTick(nowMs: units.MonotonicMs): void {
    for (const c of [...this.calls.values()]) {
      if (c.deadlineAtMs > nowMs) continue;
      this.refuse(c, peer.RefusalReason.DEADLINE, 0);
    }
  }

  /** Ends the attempt `callId` at `nodeId`; undefined if it is not open there. */
  private settle(
    nodeId: string,
    callId: string,
    outcome: peer.Outcome,
  ): OpenAttempt | undefined {
    const open = this.attempts.get(callId);
    if (open === undefined || open.attempt.nodeId !== nodeId) return undefined;
    this.forget(open);
    open.call.settle(open.attempt, outcome);
    return open;
  }

  private forget(open: OpenAttempt): void {
    this.attempts.delete(open.attempt.callId);
    this.own.remove(open.attempt.nodeId);
  }

  /** Gives the caller the final refusal. */
  private refuse(
    c: call.Call,
    reason: peer.RefusalReason,
    retryAfterMs: units.Millis,
  ): void {
    const refusal = refusals.callerRefusal({
      callId: c.request.requestId,
      reason,
      outcome: c.outcome(),
      retryAfterMs,
      configurationRevision: this.options.view.configuration?.revision ?? 0,
    });
    this.options.counters.increment(counterNames.refusalCounter(reason));
    this.actions.push({
      kind: 'refuse',
      requestId: c.request.requestId,
      refusal,
      attempts: c.attempts,
    });
    this.close(c);
  }

  /** Drops a call and cancels what is still open. */
  private close(c: call.Call): void {
    this.calls.delete(c.request.requestId);
    for (const attempt of c.openAttempts) {
      this.forget({call: c, attempt});
      const {nodeId, callId} = attempt;
      this.actions.push({kind: 'cancel', nodeId, callId});
    }
  }
}
