/** Decides which calls run on the backend server beside this node, and replies to them. */
import * as peer from '../../generated/peer.js';
import * as controlContract from '../control/control_contract.js';
import * as core from '../core.js';
import * as invariants from '../invariants.js';
import * as units from '../units.js';
import * as arrivals from './arrivals.js';
import * as callFinisher from './call_finisher.js';
import * as dispatcher from './dispatcher.js';
import * as gateContract from './gate_contract.js';
import * as gateOptions from './gate_options.js';
import * as gateParts from './gate_parts.js';
import * as loadNotices from './load_notices.js';
import * as quarantine from './quarantine.js';
import * as responder from './responder.js';
import * as serverResults from './server_results.js';

/** Minimum delay of the next wake-up, so that rounding cannot cause a loop of wake-ups. */
const MIN_WAKE_DELAY_MS = 1;

/** Gate of one backend server: queues calls, limits concurrency and tracks the results. */
export class GateCore implements core.Core<
  gateContract.GateEvent,
  gateContract.GateAction
> {
  private actions: gateContract.GateAction[] = [];
  private lastEventMs: units.MonotonicMs = 0;
  private readonly parts: gateParts.GateParts;
  private readonly finisher: callFinisher.CallFinisher;
  private readonly quarantine: quarantine.Quarantine;
  private readonly arrivals: arrivals.Arrivals;
  private readonly dispatcher: dispatcher.Dispatcher;
  private readonly results: serverResults.ServerResults;
  private readonly notices: loadNotices.LoadNotices;
  private drainedReported = false;

  constructor(private readonly options: gateOptions.GateOptions) {
    const emit: responder.Emit = action => void this.actions.push(action);
    this.parts = gateParts.createParts(options, this, emit);
    this.finisher = new callFinisher.CallFinisher(this.parts);
    this.quarantine = new quarantine.Quarantine(
      this.parts,
      this.finisher,
      emit,
    );
    this.notices = new loadNotices.LoadNotices(this.parts, emit);
    this.arrivals = new arrivals.Arrivals(
      this.parts,
      this.finisher,
      this.quarantine,
    );
    this.dispatcher = new dispatcher.Dispatcher(
      this.parts,
      this.finisher,
      this.quarantine,
    );
    this.results = new serverResults.ServerResults(
      this.parts,
      this.finisher,
      this.quarantine,
    );
  }

  handle(
    event: gateContract.GateEvent,
    now: units.Instant,
  ): readonly gateContract.GateAction[] {
    this.actions = [];
    this.lastEventMs = now.monotonicMs;
    this.parts.readiness.observe(now.monotonicMs);
    this.apply(event, now);
    this.advance(now);
    return this.actions;
  }

  nextWakeMs(): units.MonotonicMs | undefined {
    let next = Math.min(
      this.parts.runs.nextSettleMs ?? Infinity,
      this.parts.readiness.nextObserveMs ?? Infinity,
      this.drainedReported ? Infinity : (this.notices.nextWakeMs ?? Infinity),
    );
    for (const rec of this.parts.calls.activeRecords) {
      next = Math.min(next, rec.wakeMs);
      const dueMs = this.dispatcher.secondRunDueMs(rec);
      if (dueMs > this.lastEventMs) next = Math.min(next, dueMs);
    }
    if (next === Infinity) return undefined;
    return next > this.lastEventMs
      ? next
      : this.lastEventMs + MIN_WAKE_DELAY_MS;
  }

  /** Current load of this gate. */
  loadReport(): peer.LoadReport {
    const {admission, readiness, runs} = this.parts;
    return {
      inFlight: runs.inFlight,
      queued: admission.queue.size,
      limit: admission.limit,
      latencyUs: Math.round(admission.reportedMs * units.MICROS_PER_MS),
      cold: admission.isCold,
      leaving: readiness.isLeaving,
      ageMs: 0,
    };
  }

  /** Siblings that reported free capacity, best first. */
  alternatives(now: units.Instant): readonly peer.Alternative[] {
    return this.parts.siblings.withFreeCapacity(now.monotonicMs);
  }

  /** Time after which a call refused for this reason should be retried. */
  retryAfterMs(reason: peer.RefusalReason): units.Millis {
    return this.parts.admission.retryAfterMs(reason);
  }

  private apply(event: gateContract.GateEvent, now: units.Instant): void {
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
        return this.parts.readiness.stop();
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
    state: controlContract.ServerState,
    slots: number,
    now: units.Instant,
  ): void {
    const {admission, readiness} = this.parts;
    const change = readiness.setServerState(state, slots);
    if (change === 'started') admission.beginSlowStart(now.monotonicMs);
  }

  /** Performs the work that is due after an event or by time. */
  private advance(now: units.Instant): void {
    const {admission, calls, readiness, runs} = this.parts;
    calls.purge(now.monotonicMs);
    runs.settle(now.monotonicMs);
    if (readiness.detectReturn() || readiness.isStarting) {
      admission.beginSlowStart(now.monotonicMs);
    }
    this.detectCold(now);
    this.results.refuseBroken(now);
    this.refuseExpired(now);
    this.dispatcher.dispatch(now);
    this.dispatcher.startSecondRuns(now);
    if (readiness.isStopping) this.reportDrained();
    this.notices.observe(this.loadReport(), now.monotonicMs);
  }

  private detectCold(now: units.Instant): void {
    const {admission, calls} = this.parts;
    const runs = () =>
      [...calls.activeRecords].flatMap(item =>
        item.runs.map(({startedMs}) => ({item, startedMs})),
      );
    if (!admission.detectCold(runs, now.monotonicMs)) return;
    this.options.counters.increment('gate.cold-detected');
  }

  private refuseExpired(now: units.Instant): void {
    const {calls, runs} = this.parts;
    for (const rec of [...calls.activeRecords]) {
      if (rec.deadlineMs > now.monotonicMs) continue;
      runs.abortAll(rec, now.monotonicMs);
      this.finisher.refuse(rec, peer.RefusalReason.DEADLINE, now);
    }
  }

  /** Reports once that no call is in flight. */
  private reportDrained(): void {
    if (this.drainedReported || this.parts.calls.activeCount > 0) return;
    this.drainedReported = true;
    this.actions.push({kind: 'drained'});
  }
}
