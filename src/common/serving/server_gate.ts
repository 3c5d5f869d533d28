/** Admission and scheduling of requests at the backend server beside this node. */
import * as serving from '../../generated/serving.js';
import * as invariants from '../invariants.js';
import * as units from '../units.js';
import * as barredCall from './barred_call.js';
import * as rateLimitReports from './rate_limit_reports.js';
import * as replyCache from './reply_cache.js';
import * as gateBodies from './gate_bodies.js';
import * as gateCall from './gate_call.js';
import * as gateReplies from './gate_replies.js';
import * as gateCapacity from './gate_capacity.js';
import * as gateClosure from './gate_closure.js';
import * as gateLoad from './gate_load.js';
import * as gateOptions from './gate_options.js';
import * as gateCalls from './gate_calls.js';
import * as gateTimeouts from './gate_timeouts.js';
import * as incarnations from './incarnations.js';
import * as runReports from './run_reports.js';
import * as sentReplies from './sent_replies.js';
import * as serverDeaths from './server_deaths.js';
import * as serverPace from './server_pace.js';
import * as serverStatement from './server_statement.js';
import * as serverAvailability from './server_availability.js';

/** Maximum wait for a health check after a connection broke during a run. */
const HEALTH_CHECK_WAIT_MS: units.Millis = 150;

/** Refusal of a run that ended without a result. */
const BROKEN = {reason: serving.Reason.BROKEN, mayHaveRun: true};

/** Gate of one backend server; no other component sends requests to that server. */
export class ServerGate {
  /** Replies that entries may not have received. */
  readonly sentReplies: sentReplies.SentReplies;
  private readonly server: serverAvailability.ServerAvailability;
  private readonly capacity: gateCapacity.GateCapacity;
  private readonly calls: gateCalls.GateCalls;
  private readonly replies: gateReplies.GateReplies;
  private readonly runReports: runReports.RunReports;
  private readonly limitReports = new rateLimitReports.RateLimitReports();
  private readonly deaths: serverDeaths.ServerDeaths;
  private readonly bodies: gateBodies.GateBodies;
  private stopping = false;
  private wasOut = false;
  private lastClosure = serving.Closure.UNCONFIGURED;

  constructor(private readonly options: gateOptions.GateOptions) {
    const {log, output, isEntryUp} = options;
    this.calls = new gateCalls.GateCalls(isEntryUp);
    this.sentReplies = new sentReplies.SentReplies(isEntryUp);
    this.replies = new gateReplies.GateReplies(options, this.sentReplies);
    this.deaths = new serverDeaths.ServerDeaths(options, this.replies);
    this.bodies = new gateBodies.GateBodies(options, this.replies);
    this.server = new serverAvailability.ServerAvailability({
      log,
      checkHealth: () => output.checkHealth(),
      onNewIncarnation: () => this.capacity.times.reset(),
    });
    const {tracker} = this.server;
    this.runReports = new runReports.RunReports(options.rollouts, tracker);
    this.capacity = new gateCapacity.GateCapacity({...options, tracker});
  }

  /** Number of requests without a reply. */
  get unanswered(): number {
    return this.calls.size;
  }

  /** Whether a health check decides if the backend server gets more requests. */
  get needsHealthCheck(): boolean {
    return this.server.needsCheck;
  }

  /** Returns why the gate accepts no new requests, or `OPEN`. */
  closure(): serving.Closure {
    return gateClosure.closureOf(this.options, this.server, this.stopping);
  }

  /** Version of the backend server, undefined until an announcement has stated it. */
  get version(): string | undefined {
    return this.server.tracker.version;
  }

  /** Returns the load to report to other nodes. */
  load(now: units.MonotonicMs): serving.Load {
    return gateLoad.loadOf(this.capacity, this.server, this.closure(), now);
  }

  /** Handles a request from an entry, which may be a resend over a new link. */
  onCall(arriving: gateCall.ArrivingCall, now: units.MonotonicMs): void {
    const {key, linkId} = arriving;
    const known = this.calls.get(key);
    if (known) return known.onResent(linkId);
    if (this.replies.resend(arriving)) return;
    const call = new gateCall.GateCall(arriving, now);
    if (arriving.dispatch.notice) {
      this.server.onNotice(arriving.dispatch.notice);
    }
    this.processQueue(now);
    this.capacity.onArrival(call, now);
    const reason = this.refusalReason(call, now);
    if (reason !== undefined) {
      return this.refuse(call, {reason, mayHaveRun: false}, now);
    }
    this.calls.add(call);
    this.capacity.queue.add(call);
    this.processQueue(now);
  }

  /** Handles the withdrawal of a request by its entry. */
  onWithdraw(key: string, now: units.MonotonicMs): void {
    const call = this.calls.get(key);
    if (call === undefined) {
      return this.replies.cacheWithdrawal(key, now);
    }
    this.withdraw(call, now);
    this.processQueue(now);
  }

  /** Handles the loss of a link; its calls are kept for a while for the entry to resend. */
  onLinkLost(linkId: number, now: units.MonotonicMs): void {
    this.calls.onLinkLost(linkId, now);
    this.sentReplies.onLinkLost(linkId, now);
  }

  /** Handles the start of a node's process: the callers of its former ones are gone. */
  onEntryStarted(
    nodeId: string,
    startedMs: units.EpochMs,
    now: units.MonotonicMs,
  ): void {
    this.replies.discardAnswers(nodeId, startedMs);
    for (const call of this.calls.succeededBy(nodeId, startedMs)) {
      this.withdraw(call, now);
    }
    this.processQueue(now);
  }

  /** Handles what the head of an answer states; ignored if the call is not running. */
  onStatement(
    key: string,
    statement: serverStatement.ServerStatement,
    now: units.MonotonicMs,
  ): void {
    const stage = this.calls.get(key)?.stage;
    if (stage?.kind !== 'running') return;
    this.server.onStatement(statement, stage);
    this.processQueue(now);
  }

  /** Handles the end of a run; ignored if the call is not running. */
  onRunEnded(key: string, end: gateCall.RunEnd, now: units.MonotonicMs): void {
    const call = this.calls.get(key);
    if (call?.stage.kind !== 'running') return;
    this.capacity.onEnded();
    this.finishRun(call, call.stage.startedMs, end, now);
    this.processQueue(now);
  }

  /** Handles an announcement of the backend server and returns the resulting change. */
  onAnnouncement(
    announcement: incarnations.Announcement,
    now: units.MonotonicMs,
  ): incarnations.IncarnationChange {
    const change = this.server.onAnnouncement(announcement, now);
    const isNewer = announcement.startMs >= this.options.soleSenderSinceMs;
    if (isNewer && incarnations.isOfCurrent(change)) {
      this.capacity.onServerStart();
    }
    this.processQueue(now);
    return change;
  }

  /** Handles a deregistration, which no further announcement has to follow. */
  onDeregistration(
    instanceId: string,
    startMs: units.EpochMs | undefined,
    now: units.MonotonicMs,
  ): incarnations.IncarnationChange {
    const change = this.server.onDeregistration(instanceId, startMs, now);
    this.processQueue(now);
    return change;
  }

  /** Handles what another node was told of the backend server, maybe by a former process. */
  onNotice(notice: serving.ServerNotice, now: units.MonotonicMs): void {
    this.server.onNotice(notice);
    this.processQueue(now);
  }

  /** Handles the answer to a health check. */
  onHealth(sample: incarnations.HealthSample, now: units.MonotonicMs): void {
    const serverDied = this.server.onHealth(sample, now);
    this.refuseBroken(serverDied, now);
    this.processQueue(now);
  }

  /** Handles a failed health check: connection refused, or no answer in time. */
  onHealthFailed(failure: 'refused' | 'silent', now: units.MonotonicMs): void {
    this.server.onHealthFailed(failure);
    this.refuseBroken(failure === 'refused', now);
    this.processQueue(now);
  }

  /** Handles a load report of the backend server. */
  onServerLoad(load: serverPace.ServerLoad, now: units.MonotonicMs): void {
    this.replies.noteStall(this.capacity.onServerLoad(load, now));
    const calls = this.capacity.waitingInStall(now);
    this.refuseUnrun(calls, serving.Reason.STALLED, now);
  }

  /**
   * Sends no requests until a health check confirms the backend server. Called after a pause too:
   * the server may have been replaced, and withdrawals of requests may be unread.
   */
  recheck(): void {
    this.server.recheck();
  }

  /** Handles the end of a pause of the process, before any message that came meanwhile. */
  onResumed(pausedMs: units.Millis, now: units.MonotonicMs): void {
    for (const call of this.calls.all) call.onResumed(pausedMs);
    this.server.onResumed(now);
  }

  /** Handles a change of the operators' intent. */
  onIntent(now: units.MonotonicMs): void {
    const {intent, dataCentre} = this.options;
    const isOut = intent.dataCentresOut.has(dataCentre);
    // The server may have gone into cold start while its data centre was out.
    if (this.wasOut && !isOut) this.server.recheck();
    this.wasOut = isOut;
    this.processQueue(now);
  }

  /** Closes the gate: refuses new and queued requests and lets running ones finish. */
  stop(now: units.MonotonicMs): void {
    this.stopping = true;
    this.processQueue(now);
  }

  /** Handles expired timers. */
  tick(now: units.MonotonicMs): void {
    for (const call of this.calls.all) this.expireIfDue(call, now);
    this.processQueue(now);
  }

  /** Returns the next time at which `tick` is due, infinity if there is none. */
  nextWakeMs(now: units.MonotonicMs): units.MonotonicMs {
    const {calls, capacity} = this;
    return Math.min(calls.nextDueMs(capacity), capacity.nextWakeMs(now));
  }

  /** Returns why an arriving request is refused, undefined if it is accepted. */
  private refusalReason(
    call: gateCall.GateCall,
    now: units.MonotonicMs,
  ): serving.Reason | undefined {
    const {service, redirectable} = call.dispatch;
    if (service !== this.options.service()) return serving.Reason.WRONG_SERVICE;
    if (this.closure() !== serving.Closure.OPEN) return serving.Reason.CLOSED;
    const barred = barredCall.barredReason(call, this.options, now);
    if (barred) return barred;
    const reason = this.capacity.refusalReason(call, now);
    if (!redirectable) this.capacity.onAdmission(reason !== undefined);
    return reason ?? this.bodies.take(call);
  }

  /** Starts queued requests while there is capacity; refuses them all if the gate is closed. */
  private processQueue(now: units.MonotonicMs): void {
    this.applyRateLimit(now);
    const closure = this.closure();
    if (closure !== this.lastClosure) {
      this.replies.noteClosure(this.lastClosure, closure);
      this.lastClosure = closure;
      this.options.output.closureChanged(closure);
    }
    if (closure !== serving.Closure.OPEN) {
      const {waiting} = this.capacity.queue;
      return this.refuseUnrun(waiting, serving.Reason.CLOSED, now);
    }
    if (!this.server.isConfirmed) return;
    for (;;) {
      if (this.capacity.awaitsSample(now)) {
        if (this.capacity.requestSample(now)) this.options.output.sampleLoad();
        return;
      }
      const call = this.capacity.takeNext(now);
      if (call === undefined) return;
      this.start(call, now);
    }
  }

  /** Applies the limit that the backend server names, which a new incarnation does not inherit. */
  private applyRateLimit(now: units.MonotonicMs): void {
    const {rate} = this.capacity;
    const {limitPerSecond} = this.server.tracker;
    if (limitPerSecond !== rate.perSecond) rate.setLimit(limitPerSecond, now);
    if (this.limitReports.take(limitPerSecond, now)) {
      this.options.output.rateLimitChanged();
    }
    // Other gates may start these sooner.
    const late = this.capacity.waitingBeyondRate(now);
    this.refuseUnrun(late, serving.Reason.RATE_LIMITED, now);
  }

  private refuseUnrun(
    calls: readonly gateCall.GateCall[],
    reason: serving.Reason,
    now: units.MonotonicMs,
  ): void {
    for (const call of this.calls.unended([...calls])) {
      if (call.stage.kind !== 'waiting') continue;
      this.refuse(call, {reason, mayHaveRun: false}, now);
    }
  }

  private start(call: gateCall.GateCall, now: units.MonotonicMs): void {
    const {instanceId, serial, limitPerSecond} = this.server.tracker;
    const {intent, output} = this.options;
    const barred = barredCall.barredReason(call, this.options, now);
    if (instanceId === undefined || barred !== undefined) {
      return this.refuseUnrun([call], barred ?? serving.Reason.CLOSED, now);
    }
    call.stage = {kind: 'running', startedMs: now, serial};
    this.deaths.onRunStarted();
    this.capacity.onStarted(now);
    this.runReports.onStarted(this.capacity, now);
    this.replies.noteRun(call, this.capacity, now, {
      instanceId,
      limitPerSecond,
      configuration: intent.configuration?.version,
    });
    output.run(call, instanceId, call.deadlineMs - now);
  }

  private finishRun(
    call: gateCall.GateCall,
    startedMs: units.MonotonicMs,
    end: gateCall.RunEnd,
    now: units.MonotonicMs,
  ): void {
    this.runReports.onEnded(call, end, now);
    const refuse = (reason: serving.Reason, mayHaveRun: boolean): void =>
      this.refuse(call, {reason, mayHaveRun}, now);
    switch (end.kind) {
      case 'answered':
        return this.answer(call, startedMs, end.answer, now);
      case 'shed':
        this.capacity.onShed(now);
        return refuse(serving.Reason.SHED, false);
      case 'misdirected':
        this.server.onMisdirected(now);
        return refuse(serving.Reason.CLOSED, false);
      case 'not-sent':
        this.server.recheck();
        return refuse(serving.Reason.NOT_SENT, false);
      case 'broken':
        this.capacity.times.onFailed(now);
        // The next health check shows whether the server died or only lost the connection.
        call.stage = {kind: 'broken', untilMs: now + HEALTH_CHECK_WAIT_MS};
        return this.server.recheck();
      case 'bad-answer':
        this.capacity.times.onFailed(now);
        this.replies.note(call, 'failure', 'bad-answer', {detail: end.detail});
        return refuse(serving.Reason.BAD_ANSWER, true);
      default:
        return invariants.assertNever(end);
    }
  }

  /** Refuses the calls whose connection broke, once it is known whether the server died. */
  private refuseBroken(serverDied: boolean, now: units.MonotonicMs): void {
    for (const call of this.calls.all) {
      if (call.stage.kind !== 'broken') continue;
      if (serverDied) this.deaths.onDied(call, now);
      this.refuse(call, {...BROKEN, serverDied}, now);
    }
  }

  private answer(
    call: gateCall.GateCall,
    startedMs: units.MonotonicMs,
    {status, headers, body}: gateCall.ServerAnswer,
    now: units.MonotonicMs,
  ): void {
    const durationMs = now - startedMs;
    const {route, fingerprint, call: number} = call.dispatch;
    if (status >= gateCall.FIRST_ERROR_STATUS) {
      this.capacity.times.onFailed(now);
    } else {
      this.capacity.times.onAnswered(route, durationMs, now);
      this.deaths.onAnswered(fingerprint, now);
    }
    const facts = {status, durationMs: Math.round(durationMs)};
    this.replies.note(call, 'routine', 'answered', facts);
    const load = this.load(now);
    const answer = {call: number, status, headers, body, load};
    this.finish(call, {kind: 'answer', answer}, now);
  }

  private refuse(
    call: gateCall.GateCall,
    detail: gateCall.RefusalDetail,
    now: units.MonotonicMs,
  ): void {
    const load = this.load(now);
    this.replies.noteRefusal(call, detail, load, now);
    const {reason, mayHaveRun, serverDied = false} = detail;
    const refusal = {
      call: call.dispatch.call,
      reason,
      mayHaveRun,
      serverDied,
      retryAfterMs: this.capacity.retryAfterMs(now),
      load,
    };
    this.finish(call, {kind: 'refusal', refusal}, now);
  }

  private finish(
    call: gateCall.GateCall,
    reply: replyCache.Reply,
    now: units.MonotonicMs,
  ): void {
    this.capacity.queue.remove(call);
    this.calls.delete(call.key);
    this.bodies.giveBack(call);
    this.replies.finish(call, reply, now);
  }

  /** Ends a call whose reply nobody awaits. */
  private withdraw(call: gateCall.GateCall, now: units.MonotonicMs): void {
    call.withdrawn = true;
    call.linkId = undefined;
    call.lostLink = undefined;
    this.cancel(call, now);
  }

  /** Ends a call without a recipient; a run that must not be repeated is left to finish. */
  private cancel(call: gateCall.GateCall, now: units.MonotonicMs): void {
    const isRunning = call.stage.kind === 'running';
    if (isRunning && !call.dispatch.repeatable) return;
    if (isRunning) {
      this.runReports.onEnded(call, {kind: 'withdrawn'}, now);
      this.abort(call);
    }
    const reason = serving.Reason.WITHDRAWN;
    const mayHaveRun = call.stage.kind !== 'waiting';
    this.refuse(call, {reason, mayHaveRun}, now);
  }

  private abort(call: gateCall.GateCall): void {
    this.capacity.onEnded();
    this.options.output.abort(call.key);
  }

  private expireIfDue(call: gateCall.GateCall, now: units.MonotonicMs): void {
    if (gateTimeouts.dueMs(call, this.capacity) > now) return;
    if (this.calls.isLinkExpired(call, now)) {
      call.lostLink = undefined;
      return this.cancel(call, now);
    }
    if (gateTimeouts.dueMs(call, this.capacity) > now) return;
    switch (call.stage.kind) {
      case 'waiting': {
        const reason = this.capacity.expiryReason(call, now);
        return this.refuse(call, {reason, mayHaveRun: false}, now);
      }
      case 'running':
        this.capacity.times.onFailed(now);
        this.runReports.onEnded(call, {kind: 'broken'}, now);
        this.abort(call);
        return this.refuse(call, BROKEN, now);
      case 'broken':
        return this.refuse(call, BROKEN, now);
      default:
        return invariants.assertNever(call.stage);
    }
  }
}
