/** Decides which calls run on the backend server beside this node, when, and what they are told. */
import * as peer from '../../generated/peer.js';
import * as control from '../control/control_contract.js';
import * as core from '../core.js';
import * as invariants from '../invariants.js';
import * as units from '../units.js';
import * as arrivals from './arrivals.js';
import * as callEnds from './call_ends.js';
import * as dispatcher from './dispatcher.js';
import * as contract from './gate_contract.js';
import * as gateOptions from './gate_options.js';
import * as gateParts from './gate_parts.js';
import * as loadNotices from './load_notices.js';
import * as quarantine from './quarantine.js';
import * as responder from './responder.js';
import * as serverResults from './server_results.js';

/** Least time to the next wake-up, so that rounding never makes a loop of wake-ups. */
const WAKE_MIN_MS = 1;

/** The gate in front of one backend server. */
export class GateCore implements core.Core<
  contract.GateEvent,
  contract.GateAction
> {
  private actions: contract.GateAction[] = [];
  private lastMs: units.MonotonicMs = 0;
  private readonly parts: gateParts.GateParts;
  private readonly ends: callEnds.CallEnds;
  private readonly quarantine: quarantine.Quarantine;
  private readonly arrivals: arrivals.Arrivals;
  private readonly dispatcher: dispatcher.Dispatcher;
  private readonly results: serverResults.ServerResults;
  private readonly notices: loadNotices.LoadNotices;
  private drainedSent = false;

  constructor(private readonly options: gateOptions.GateOptions) {
    const emit: responder.Emit = action => void this.actions.push(action);
    this.parts = gateParts.createParts(options, this, emit);
    this.ends = new callEnds.CallEnds(this.parts);
    this.quarantine = new quarantine.Quarantine(this.parts, this.ends, emit);
    this.notices = new loadNotices.LoadNotices(this.parts, emit);
    this.arrivals = new arrivals.Arrivals(
      this.parts,
      this.ends,
      this.quarantine,
    );
    this.dispatcher = new dispatcher.Dispatcher(
      this.parts,
      this.ends,
      this.quarantine,
    );
    this.results = new serverResults.ServerResults(
      this.parts,
      this.ends,
      this.quarantine,
    );
  }

  handle(
    event: contract.GateEvent,
    now: units.Instant,
  ): readonly contract.GateAction[] {
    this.actions = [];
    this.lastMs = now.monotonicMs;
    this.parts.entrance.observe(now.monotonicMs);
    this.apply(event, now);
    this.advance(now);
    return this.actions;
  }

  nextWakeMs(): units.MonotonicMs | undefined {
    let next = Math.min(
      this.parts.runs.nextSettleMs ?? Infinity,
      this.parts.entrance.nextObserveMs ?? Infinity,
      this.drainedSent ? Infinity : (this.notices.nextWakeMs ?? Infinity),
    );
    for (const rec of this.parts.calls.liveRecords) {
      next = Math.min(next, rec.wakeMs);
      const silentMs = this.dispatcher.silentMs(rec);
      if (silentMs > this.lastMs) next = Math.min(next, silentMs);
    }
    if (next === Infinity) return undefined;
    return next > this.lastMs ? next : this.lastMs + WAKE_MIN_MS;
  }

  /** Load of this gate. */
  loadReport(): peer.LoadReport {
    const {admission, entrance, runs} = this.parts;
    return {
      inFlight: runs.inFlight,
      queued: admission.queue.size,
      limit: admission.limit,
      latencyUs: Math.round(admission.reportedMs * units.MICROS_PER_MS),
      cold: admission.isCold,
      leaving: entrance.isLeaving,
      ageMs: 0,
    };
  }

  /** Siblings believed to have room. */
  alternatives(now: units.Instant): readonly peer.Alternative[] {
    return this.parts.siblings.withRoom(now.monotonicMs);
  }

  /** Time after which to come back. */
  retryAfterMs(reason: peer.RefusalReason): units.Millis {
    return this.parts.admission.retryAfterMs(reason);
  }

  private apply(event: contract.GateEvent, now: units.Instant): void {
    switch (event.kind) {
      case 'call':
        return this.arrivals.onCall(event.source, event.call, now);
      case 'cancel':
        return this.arrivals.onCancel(event.callId, now);
      case 'source-lost':
        return this.arrivals.onSourceLost(event.linkId);
      case 'server-answered':
        return this.results.onAnswered(event, now);
      case 'server-failed':
        return this.results.onFailed(event, now);
      case 'server-state':
        return this.onServerState(event.state, event.slots, now);
      case 'server-lost':
        return this.results.onServerLost(now);
      case 'stop':
        return this.parts.entrance.stop();
      case 'sibling-load':
        return this.parts.siblings.onReport(
          event.nodeId,
          event.load,
          now.monotonicMs,
        );
      case 'suspect':
        return this.quarantine.onReport(event.report, now);
      case 'tick':
        return;
      default:
        return invariants.assertNever(event);
    }
  }

  private onServerState(
    state: control.ServerState,
    slots: number,
    now: units.Instant,
  ): void {
    const {admission, entrance} = this.parts;
    const change = entrance.setServer(state, slots);
    if (change === 'begins') admission.restart(now.monotonicMs);
  }

  /** Does what time and the last event make due. */
  private advance(now: units.Instant): void {
    const {admission, calls, entrance, runs} = this.parts;
    calls.purge(now.monotonicMs);
    runs.settle(now.monotonicMs);
    if (entrance.hasReturned() || entrance.isStarting) {
      admission.restart(now.monotonicMs);
    }
    this.detectCold(now);
    this.results.endBroken(now);
    this.expire(now);
    this.dispatcher.dispatch(now);
    this.dispatcher.replaceSilent(now);
    if (entrance.isStopping) this.finishStop();
    this.notices.observe(this.loadReport(), now.monotonicMs);
  }

  private detectCold(now: units.Instant): void {
    const {admission, calls} = this.parts;
    const runs = () =>
      [...calls.liveRecords].flatMap(item =>
        item.runs.map(({startedMs}) => ({item, startedMs})),
      );
    if (!admission.detectCold(runs, now.monotonicMs)) return;
    this.options.counters.increment('gate.cold-detected');
  }

  private expire(now: units.Instant): void {
    const {calls, runs} = this.parts;
    for (const rec of [...calls.liveRecords]) {
      if (rec.deadlineMs > now.monotonicMs) continue;
      runs.abortAll(rec, now.monotonicMs);
      this.ends.refuse(rec, peer.RefusalReason.DEADLINE, now);
    }
  }

  /** Reports that nothing is in flight. */
  private finishStop(): void {
    if (this.drainedSent || this.parts.calls.liveCount > 0) return;
    this.drainedSent = true;
    this.actions.push({kind: 'drained'});
  }
}
