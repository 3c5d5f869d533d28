/** Decides which requests run on the backend server beside this node, and when. */
import * as serving from '../../generated/serving.js';
import * as invariants from '../invariants.js';
import * as randomSource from '../random_source.js';
import * as units from '../units.js';
import * as crashSuspects from './crash_suspects.js';
import * as decision from './decision.js';
import * as finishedCalls from './finished_calls.js';
import * as gateCall from './gate_call.js';
import * as gateReplies from './gate_replies.js';
import * as gateRoom from './gate_room.js';
import * as operatorIntent from './operator_intent.js';
import * as serverLife from './server_life.js';
import * as serverPace from './server_pace.js';
import * as serverTrust from './server_trust.js';

/** Longest wait for the health check that tells whether the backend server died. */
const JUDGEMENT_MS: units.Millis = 150;

/** Time after the loss of its link for which a call waits to be asked for again. */
const ORPHAN_LIFE_MS: units.Millis = 1_000;

/** Time past the deadline after which a run is given up; the server ends it at the deadline. */
const OVERDUE_MS: units.Millis = 300;

/** First status that says that the server failed. */
const FIRST_ERROR_STATUS = 500;

const PERCENT = 100;

/** Longest age that is logged; older values are as good as unknown. */
const MAX_LOGGED_MS: units.Millis = 1_000_000;

/** What a gate is made with. */
export interface GateOptions {
  readonly service: () => string;
  readonly dataCentre: string;
  readonly intent: operatorIntent.OperatorIntent;
  readonly suspects: crashSuspects.CrashSuspects;
  readonly output: gateCall.GateOutput;
  readonly log: decision.DecisionLog;
  readonly random: randomSource.RandomSource;
  /** Multiple of its declared rate up to which a cold server is sent requests. */
  readonly coldRateFactor: number;
  /** Start of the process, on both clocks. */
  readonly startedMs: units.MonotonicMs;
  readonly startedEpochMs: units.EpochMs;
}

/** The gate in front of one backend server; it alone sends requests there. */
export class ServerGate {
  private readonly trust: serverTrust.ServerTrust;
  private readonly room: gateRoom.GateRoom;
  private readonly live = new Map<string, gateCall.GateCall>();
  private readonly replies: gateReplies.GateReplies;
  private stopping = false;
  private wasOut = false;
  private toldClosure = serving.Closure.UNCONFIGURED;

  constructor(private readonly options: GateOptions) {
    const {log, output} = options;
    this.replies = new gateReplies.GateReplies(output, log);
    this.trust = new serverTrust.ServerTrust({
      log,
      checkHealth: () => output.checkHealth(),
      onNewIncarnation: () => this.room.times.reset(),
    });
    this.room = new gateRoom.GateRoom({...options, life: this.trust.life});
  }

  /** Requests that have not been answered. */
  get unanswered(): number {
    return this.live.size;
  }

  /** Whether the backend server has to be checked before it gets more work. */
  get isDoubted(): boolean {
    return !this.trust.isConfirmed;
  }

  /** Why the gate takes no new work. */
  closure(): serving.Closure {
    const {intent, dataCentre} = this.options;
    if (this.stopping) return serving.Closure.NODE_STOPPING;
    if (!intent.isKnown) return serving.Closure.UNCONFIGURED;
    if (intent.dataCentresOut.has(dataCentre)) {
      return serving.Closure.DATA_CENTRE_OUT;
    }
    if (this.trust.life.state === 'leaving') {
      return serving.Closure.SERVER_LEAVING;
    }
    if (!this.trust.isPresent) return serving.Closure.SERVER_ABSENT;
    return serving.Closure.OPEN;
  }

  /** Load to tell other nodes. */
  load(now: units.MonotonicMs): serving.Load {
    const {running, queue, pace, times} = this.room;
    return {
      running,
      waiting: queue.size,
      limit: this.room.sustainedLimit(now),
      pacePercent: Math.round(pace.percentAt(now)),
      meanMs: Math.round(times.meanMs),
      failingPercent: Math.round(PERCENT * times.failureShare(now)),
      cold: this.trust.life.isCold(now),
      closure: this.closure(),
    };
  }

  /** Takes a request. */
  onCall(arriving: gateCall.ArrivingCall, now: units.MonotonicMs): void {
    const {key, source} = arriving;
    const known = this.live.get(key);
    if (known) {
      known.source = source;
      known.sourceLostMs = undefined;
      return;
    }
    if (this.replies.repeat(arriving)) return;
    const call = new gateCall.GateCall(arriving, now);
    this.room.onArrival(call, now);
    const reason = this.refusalOf(call, now);
    if (reason !== undefined) {
      return this.refuse(call, {reason, mayHaveRun: false}, now);
    }
    this.live.set(key, call);
    this.room.queue.add(call);
    this.pump(now);
  }

  /** Ends a request that nobody wants any more. */
  onWithdraw(key: string, now: units.MonotonicMs): void {
    const call = this.live.get(key);
    if (call === undefined) {
      return this.replies.refuseLater(key, now);
    }
    call.source = undefined;
    this.drop(call, now);
    this.pump(now);
  }

  /** A link is lost: its calls wait for a while to be asked for again. */
  onSourceLost(source: number, now: units.MonotonicMs): void {
    for (const call of this.live.values()) {
      if (call.source !== source) continue;
      call.source = undefined;
      call.sourceLostMs = now;
    }
  }

  /** Takes the end of a run. */
  onRunEnded(key: string, end: gateCall.RunEnd, now: units.MonotonicMs): void {
    const call = this.live.get(key);
    if (call?.stage.kind !== 'running') return;
    this.room.onEnded();
    this.concludeRun(call, call.stage.startedMs, end, now);
    this.pump(now);
  }

  /** Takes an announcement of the backend server; returns how it relates to what was known. */
  onAnnouncement(
    a: serverLife.Announcement,
    now: units.MonotonicMs,
  ): serverLife.LifeChange {
    const change = this.trust.onAnnouncement(a, now);
    const isFresh = a.bornMs >= this.options.startedEpochMs;
    if (isFresh && change !== 'outdated') this.room.onFreshServer();
    this.pump(now);
    return change;
  }

  /** Takes word that an instance leaves without further announcements. */
  onDeregistration(
    instanceId: string,
    bornMs: units.EpochMs | undefined,
    now: units.MonotonicMs,
  ): serverLife.LifeChange {
    const change = this.trust.onDeregistration(instanceId, bornMs, now);
    this.pump(now);
    return change;
  }

  /** Takes the answer to a health check. */
  onHealth(sample: serverLife.HealthSample, now: units.MonotonicMs): void {
    const isOver = this.trust.onHealth(sample, now);
    this.judge(isOver, now);
    this.pump(now);
  }

  /** The health check failed. */
  onHealthFailed(failure: 'refused' | 'silent', now: units.MonotonicMs): void {
    this.trust.onHealthFailed(failure);
    this.judge(failure === 'refused', now);
    this.pump(now);
  }

  /** Takes the load that the backend server told. */
  onServerLoad(load: serverPace.ServerLoad, now: units.MonotonicMs): void {
    this.room.pace.onLoad(load, now);
  }

  /** Lets nothing through until a health check confirms the backend server. */
  doubt(): void {
    this.trust.doubt();
  }

  /** The operators' intent has changed. */
  onIntent(now: units.MonotonicMs): void {
    const {intent, dataCentre} = this.options;
    const out = intent.dataCentresOut.has(dataCentre);
    // Servers may have turned cold while their data centre was out.
    if (this.wasOut && !out) this.trust.doubt();
    this.wasOut = out;
    this.pump(now);
  }

  /** Refuses new work from now on; what has arrived is finished. */
  stop(now: units.MonotonicMs): void {
    this.stopping = true;
    this.pump(now);
  }

  /** Does what time has made due. */
  tick(now: units.MonotonicMs): void {
    for (const call of [...this.live.values()]) this.expire(call, now);
    this.pump(now);
  }

  /** Next time at which `tick` has something to do. */
  nextWakeMs(now: units.MonotonicMs): units.MonotonicMs {
    let next = this.room.nextColdMs(now);
    for (const call of this.live.values()) {
      next = Math.min(next, this.dueMs(call));
    }
    return next;
  }

  /** Returns why a request is refused at once, undefined if it is taken. */
  private refusalOf(
    call: gateCall.GateCall,
    now: units.MonotonicMs,
  ): serving.Reason | undefined {
    const {dispatch} = call;
    const {service, suspects} = this.options;
    if (dispatch.service !== service()) return serving.Reason.WRONG_SERVICE;
    if (this.closure() !== serving.Closure.OPEN) return serving.Reason.CLOSED;
    if (suspects.isQuarantined(dispatch.fingerprint, now)) {
      return serving.Reason.QUARANTINED;
    }
    const reason = this.room.refusalOf(call, now);
    if (!dispatch.redirectable) this.room.onAdmission(reason !== undefined);
    return reason;
  }

  /** Starts the requests for which there is room; refuses all if the gate is closed. */
  private pump(now: units.MonotonicMs): void {
    const closure = this.closure();
    if (closure !== this.toldClosure) {
      this.replies.noteClosure(this.toldClosure, closure);
      this.toldClosure = closure;
      this.options.output.closureChanged(closure);
    }
    if (closure !== serving.Closure.OPEN) return this.refuseWaiting(now);
    if (!this.trust.isConfirmed) return;
    for (;;) {
      const call = this.room.takeNext(now);
      if (call === undefined) return;
      this.start(call, now);
    }
  }

  private refuseWaiting(now: units.MonotonicMs): void {
    const detail = {reason: serving.Reason.CLOSED, mayHaveRun: false};
    for (const call of [...this.room.queue.waiting]) {
      this.refuse(call, detail, now);
    }
  }

  private start(call: gateCall.GateCall, now: units.MonotonicMs): void {
    const {instanceId} = this.trust.life;
    const {suspects, intent, output} = this.options;
    if (instanceId === undefined) {
      const detail = {reason: serving.Reason.CLOSED, mayHaveRun: false};
      return this.refuse(call, detail, now);
    }
    if (suspects.isQuarantined(call.dispatch.fingerprint, now)) {
      const detail = {reason: serving.Reason.QUARANTINED, mayHaveRun: false};
      return this.refuse(call, detail, now);
    }
    call.stage = {kind: 'running', startedMs: now};
    this.room.onStarted(now);
    const {pace, running} = this.room;
    this.replies.note(call, 'routine', 'run', {
      instanceId,
      waitedMs: Math.round(now - call.arrivedMs),
      running,
      limit: this.room.limit(now),
      pacePercent: pace.percentAt(now),
      paceAgeMs: Math.round(Math.min(pace.ageMs(now), MAX_LOGGED_MS)),
      configuration: intent.configuration?.version,
    });
    output.run(call, instanceId, call.deadlineMs - now);
  }

  private concludeRun(
    call: gateCall.GateCall,
    startedMs: units.MonotonicMs,
    end: gateCall.RunEnd,
    now: units.MonotonicMs,
  ): void {
    const refuse = (reason: serving.Reason, mayHaveRun: boolean): void =>
      this.refuse(call, {reason, mayHaveRun}, now);
    switch (end.kind) {
      case 'answered':
        return this.answer(call, startedMs, end.answer, now);
      case 'shed':
        this.room.onShed(now);
        return refuse(serving.Reason.SHED, false);
      case 'misdirected':
        this.trust.onMisdirected(now);
        return refuse(serving.Reason.CLOSED, false);
      case 'not-sent':
        this.trust.doubt();
        return refuse(serving.Reason.NOT_SENT, false);
      case 'broken':
        this.room.times.onFailed(now);
        // The health check tells next whether the server died or only lost an answer.
        call.stage = {kind: 'broken', untilMs: now + JUDGEMENT_MS};
        return this.trust.doubt();
      case 'bad-answer':
        this.room.times.onFailed(now);
        this.replies.note(call, 'failure', 'bad-answer', {detail: end.detail});
        return refuse(serving.Reason.BAD_ANSWER, true);
      default:
        return invariants.assertNever(end);
    }
  }

  /** Ends the calls whose connection broke, now that it is known whether the server died. */
  private judge(serverDied: boolean, now: units.MonotonicMs): void {
    for (const call of [...this.live.values()]) {
      if (call.stage.kind !== 'broken') continue;
      if (serverDied) this.noteDeath(call, now);
      const reason = serving.Reason.BROKEN;
      this.refuse(call, {reason, mayHaveRun: true, serverDied}, now);
    }
  }

  private noteDeath(call: gateCall.GateCall, now: units.MonotonicMs): void {
    const {suspects, output} = this.options;
    const suspicion = suspects.onDeath(call.dispatch.fingerprint, now);
    this.replies.note(call, 'failure', 'server-died', {
      deaths: suspicion.deaths,
    });
    output.reportSuspect(suspicion.fingerprint, suspicion.deaths);
  }

  private answer(
    call: gateCall.GateCall,
    startedMs: units.MonotonicMs,
    {status, headers, body}: gateCall.ServerAnswer,
    now: units.MonotonicMs,
  ): void {
    const durationMs = now - startedMs;
    const {route, fingerprint, call: number} = call.dispatch;
    if (status >= FIRST_ERROR_STATUS) {
      this.room.times.onFailed(now);
    } else {
      this.room.times.onAnswered(route, durationMs, now);
      this.options.suspects.onAnswered(fingerprint, now);
    }
    this.replies.note(call, 'routine', 'answered', {
      status,
      durationMs: Math.round(durationMs),
    });
    const load = this.load(now);
    const answer = {call: number, status, headers, body, load};
    this.conclude(call, {kind: 'answer', answer}, now);
  }

  private refuse(
    call: gateCall.GateCall,
    {reason, mayHaveRun, serverDied = false}: gateCall.RefusalDetail,
    now: units.MonotonicMs,
  ): void {
    const load = this.load(now);
    this.replies.noteRefusal(call, reason, {
      mayHaveRun,
      serverDied,
      closure: load.closure,
      running: load.running,
      waiting: load.waiting,
      limit: load.limit,
      timeLeftMs: Math.round(call.deadlineMs - now),
    });
    const refusal = {
      call: call.dispatch.call,
      reason,
      mayHaveRun,
      serverDied,
      retryAfterMs: this.room.retryAfterMs(now),
      load,
    };
    this.conclude(call, {kind: 'refusal', refusal}, now);
  }

  private conclude(
    call: gateCall.GateCall,
    reply: finishedCalls.Reply,
    now: units.MonotonicMs,
  ): void {
    this.room.queue.remove(call);
    this.live.delete(call.key);
    this.replies.conclude(call, reply, now);
  }

  /** Ends a call that nobody waits for; a run that must not be repeated is left to finish. */
  private drop(call: gateCall.GateCall, now: units.MonotonicMs): void {
    const isRunning = call.stage.kind === 'running';
    if (isRunning && !call.dispatch.repeatable) return;
    if (isRunning) this.abort(call);
    const reason = serving.Reason.WITHDRAWN;
    this.refuse(call, {reason, mayHaveRun: isRunning}, now);
  }

  private abort(call: gateCall.GateCall): void {
    this.room.onEnded();
    this.options.output.abort(call.key);
  }

  private expire(call: gateCall.GateCall, now: units.MonotonicMs): void {
    if (this.dueMs(call) > now) return;
    if (orphanMsOf(call) <= now) {
      call.sourceLostMs = undefined;
      return this.drop(call, now);
    }
    const broken = {reason: serving.Reason.BROKEN, mayHaveRun: true};
    switch (call.stage.kind) {
      case 'waiting': {
        const reason = this.room.expiryOf(call, now);
        return this.refuse(call, {reason, mayHaveRun: false}, now);
      }
      case 'running':
        this.room.times.onFailed(now);
        this.abort(call);
        return this.refuse(call, broken, now);
      case 'broken':
        return this.refuse(call, broken, now);
      default:
        return invariants.assertNever(call.stage);
    }
  }

  private dueMs(call: gateCall.GateCall): units.MonotonicMs {
    switch (call.stage.kind) {
      case 'waiting':
        return Math.min(orphanMsOf(call), this.room.lastStartMs(call));
      case 'running':
        return Math.min(orphanMsOf(call), call.deadlineMs + OVERDUE_MS);
      case 'broken':
        return call.stage.untilMs;
      default:
        return invariants.assertNever(call.stage);
    }
  }
}

/** Returns the time at which a call without its link is ended. */
function orphanMsOf(call: gateCall.GateCall): units.MonotonicMs {
  const {sourceLostMs} = call;
  return sourceLostMs === undefined ? Infinity : sourceLostMs + ORPHAN_LIFE_MS;
}
