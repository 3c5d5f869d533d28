/** Decides which requests run on the backend server beside this node, when, and what others are told. */
import * as serving from '../../generated/serving.js';
import * as invariants from '../invariants.js';
import * as units from '../units.js';
import * as coldRate from './cold_rate.js';
import * as crashSuspects from './crash_suspects.js';
import * as decision from './decision.js';
import * as finishedCalls from './finished_calls.js';
import * as gateCall from './gate_call.js';
import * as operatorIntent from './operator_intent.js';
import * as runQueue from './run_queue.js';
import * as runTimes from './run_times.js';
import * as serverLife from './server_life.js';
import * as serverPace from './server_pace.js';

/** Share of the slots that are used; many servers slow down when nearly full. */
const SLOT_SHARE = 0.8;

/** Time for which a server that shed a request is sent no more than it had then. */
const SHED_PAUSE_MS: units.Millis = 300;

/** Longest wait for the health check that tells whether the backend server died. */
const JUDGEMENT_MS: units.Millis = 150;

/** Time after the loss of its link for which a call waits to be asked for again. */
const ORPHAN_LIFE_MS: units.Millis = 1_000;

/** Time past the deadline after which a run is given up; the server ends it at the deadline. */
const OVERDUE_MS: units.Millis = 300;

/** Rate used of what operators declare for cold servers, whose bound lies at half more. */
const COLD_RATE_SHARE = 1.25;

/** Part of the mean run time below which the time left is not worth a run. */
const WORTHWHILE_SHARE = 0.5;

/** Least and most time after which a refused request is told to come back. */
const RETRY_AFTER_MIN_MS: units.Millis = 20;
const RETRY_AFTER_MAX_MS: units.Millis = 3_000;

/** First status that says that the server failed. */
const FIRST_ERROR_STATUS = 500;

const PERCENT = 100;

/** What a gate is made with. */
export interface GateOptions {
  readonly service: () => string;
  readonly dataCentre: string;
  readonly intent: operatorIntent.OperatorIntent;
  readonly suspects: crashSuspects.CrashSuspects;
  readonly output: gateCall.GateOutput;
  readonly log: decision.DecisionLog;
  readonly startedMs: units.MonotonicMs;
}

/** Trust in what is known of the backend server. */
type Trust =
  | 'confirmed'
  /** Nothing is sent until a health check confirms the incarnation. */
  | 'doubted'
  /** The backend server does not answer. */
  | 'down';

/** The gate in front of one backend server; it alone sends requests there. */
export class ServerGate {
  readonly life = new serverLife.ServerLife();
  readonly pace = new serverPace.ServerPace();
  private readonly times = new runTimes.RunTimes();
  private readonly cold: coldRate.ColdRate;
  private readonly queue = new runQueue.RunQueue<gateCall.GateCall>();
  private readonly live = new Map<string, gateCall.GateCall>();
  private readonly finished = new finishedCalls.FinishedCalls();
  private trust: Trust = 'doubted';
  private stopping = false;
  private running = 0;
  private shedCap = Infinity;
  private shedUntilMs: units.MonotonicMs = 0;
  private wasOut = false;
  private toldClosure = serving.Closure.UNCONFIGURED;

  constructor(private readonly options: GateOptions) {
    this.cold = new coldRate.ColdRate(options.startedMs);
  }

  /** Requests that have not been answered. */
  get unanswered(): number {
    return this.live.size;
  }

  /** Why the gate takes no new work. */
  closure(): serving.Closure {
    const {intent, dataCentre} = this.options;
    if (this.stopping) return serving.Closure.NODE_STOPPING;
    if (!intent.isKnown) return serving.Closure.UNCONFIGURED;
    if (intent.dataCentresOut.has(dataCentre)) {
      return serving.Closure.DATA_CENTRE_OUT;
    }
    if (this.life.state === 'leaving') return serving.Closure.SERVER_LEAVING;
    if (this.life.state === 'absent' || this.trust === 'down') {
      return serving.Closure.SERVER_ABSENT;
    }
    return serving.Closure.OPEN;
  }

  /** Load to tell other nodes. */
  load(now: units.MonotonicMs): serving.Load {
    return {
      running: this.running,
      waiting: this.queue.size,
      limit: this.limit(now),
      pacePercent: Math.round(this.pace.percentAt(now)),
      meanMs: Math.round(this.times.meanMs),
      failingPercent: Math.round(PERCENT * this.times.failureShare(now)),
      cold: this.life.isCold(now),
      closure: this.closure(),
    };
  }

  /** Takes a request. */
  onCall(arriving: gateCall.ArrivingCall, now: units.MonotonicMs): void {
    const {key, source, dispatch} = arriving;
    const known = this.live.get(key);
    if (known) {
      known.source = source;
      known.sourceLostMs = undefined;
      return;
    }
    const reply = this.finished.replyTo(key);
    if (reply) return this.send(source, dispatch.call, reply);
    const call = newCall(arriving, now);
    const reason = this.refusalOf(call, now);
    if (reason !== undefined) {
      return this.refuse(call, {reason, mayHaveRun: false}, now);
    }
    this.live.set(key, call);
    this.queue.add(call);
    this.pump(now);
  }

  /** Ends a request that nobody wants any more. */
  onWithdraw(key: string, now: units.MonotonicMs): void {
    const call = this.live.get(key);
    if (call === undefined) {
      const refusal = refusalOf(0, serving.Reason.WITHDRAWN, false);
      this.finished.add(key, {kind: 'refusal', refusal}, now);
      return;
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
    this.running--;
    this.concludeRun(call, call.stage.startedMs, end, now);
    this.pump(now);
  }

  /** Takes an announcement of the backend server; returns how it relates to what was known. */
  onAnnouncement(
    a: serverLife.Announcement,
    now: units.MonotonicMs,
  ): serverLife.LifeChange {
    const change = this.life.onAnnouncement(a, now);
    this.noteLife(change, 'announced', now);
    if (change === 'new-incarnation' || this.trust === 'down') this.doubt();
    this.pump(now);
    return change;
  }

  /** Takes word that an instance leaves without further announcements. */
  onDeregistration(
    instanceId: string,
    bornMs: units.EpochMs | undefined,
    now: units.MonotonicMs,
  ): serverLife.LifeChange {
    const change = this.life.onDeregistration(instanceId, bornMs);
    this.noteLife(change, 'deregistered', now);
    this.pump(now);
    return change;
  }

  /** Takes the answer to a health check. */
  onHealth(sample: serverLife.HealthSample, now: units.MonotonicMs): void {
    const before = this.life.instanceId;
    const change = this.life.onHealth(sample, now);
    this.noteLife(change, 'health check', now);
    const isKnown = sample.instanceId === this.life.instanceId;
    if (isKnown && this.trust !== 'confirmed') {
      this.note('belief', 'server-confirmed', {was: this.trust});
      this.trust = 'confirmed';
    }
    this.judge(before !== this.life.instanceId || change === 'gone', now);
    this.pump(now);
  }

  /**
   * The health check failed: nobody listens at the address, or no answer came in time. Silence
   * alone does not shut out a server that was confirmed.
   */
  onHealthFailed(failure: 'refused' | 'silent', now: units.MonotonicMs): void {
    const isDown = failure === 'refused' || this.trust === 'doubted';
    if (isDown && this.trust !== 'down') {
      this.trust = 'down';
      if (this.life.state !== 'absent') {
        this.note('belief', 'server-down', {failure});
      }
    }
    this.judge(failure === 'refused', now);
    this.pump(now);
  }

  /** Takes the load that the backend server told. */
  onServerLoad(load: serverPace.ServerLoad, now: units.MonotonicMs): void {
    this.pace.onLoad(load, now);
  }

  /** Whether the backend server has to be checked before it gets more work. */
  get isDoubted(): boolean {
    return this.trust !== 'confirmed';
  }

  /** Lets nothing through until a health check confirms the backend server. */
  doubt(): void {
    if (this.trust === 'confirmed') this.trust = 'doubted';
    this.options.output.checkHealth();
  }

  /** The operators' intent has changed. */
  onIntent(now: units.MonotonicMs): void {
    const {intent, dataCentre} = this.options;
    const out = intent.dataCentresOut.has(dataCentre);
    // Servers may have turned cold while their data centre was out.
    if (this.wasOut && !out) this.doubt();
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
    let next = Infinity;
    for (const call of this.live.values()) {
      next = Math.min(next, this.dueMs(call));
    }
    if (this.queue.size > 0 && this.life.isCold(now)) {
      next = Math.min(next, this.cold.nextRoomMs(this.coldPerSecond, now));
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
    if (dispatch.redirectable) {
      if (this.pace.isStalled(now)) return serving.Reason.STALLED;
      if (!this.hasRoomAtOnce(now)) return serving.Reason.FULL;
    }
    const waitMs = this.expectedWaitMs(call, now);
    const worthwhileMs = this.worthwhileMs(call);
    if (now + waitMs + worthwhileMs > call.deadlineMs) {
      return serving.Reason.NO_TIME;
    }
    return undefined;
  }

  private limit(now: units.MonotonicMs): number {
    const limit = Math.max(1, Math.floor(this.life.slots * SLOT_SHARE));
    if (now >= this.shedUntilMs) return limit;
    return Math.max(1, Math.min(limit, this.shedCap));
  }

  private get coldPerSecond(): number {
    const {intent, service} = this.options;
    const rules = intent.configuration?.serviceRules(service());
    return (rules?.coldPerSecond ?? 1) * COLD_RATE_SHARE;
  }

  private hasSlot(now: units.MonotonicMs): boolean {
    if (this.running >= this.limit(now)) return false;
    if (!this.life.isCold(now)) return true;
    return this.cold.hasRoom(this.coldPerSecond, now);
  }

  private hasRoomAtOnce(now: units.MonotonicMs): boolean {
    return this.queue.size === 0 && this.hasSlot(now);
  }

  private serviceMs(call: gateCall.GateCall): units.Millis {
    return this.times.meanOfMs(call.dispatch.route);
  }

  private worthwhileMs(call: gateCall.GateCall): units.Millis {
    return this.serviceMs(call) * WORTHWHILE_SHARE;
  }

  private expectedWaitMs(
    call: gateCall.GateCall,
    now: units.MonotonicMs,
  ): units.Millis {
    if (this.hasRoomAtOnce(now)) return 0;
    const service = (c: gateCall.GateCall) => this.serviceMs(c);
    const ahead = this.queue.countAhead(call, service, now) + 1;
    const coldWaitMs = this.life.isCold(now)
      ? (ahead * units.MS_PER_SECOND) / this.coldPerSecond
      : 0;
    const freeSlots = Math.max(0, this.limit(now) - this.running);
    const slotWaitMs =
      (Math.max(0, ahead - freeSlots) * this.times.meanMs) / this.limit(now);
    return Math.max(coldWaitMs, slotWaitMs);
  }

  /** Starts the requests for which there is room; refuses all if the gate is closed. */
  private pump(now: units.MonotonicMs): void {
    const closure = this.closure();
    if (closure !== this.toldClosure) {
      this.note('belief', 'gate-closure', {was: this.toldClosure, closure});
      this.toldClosure = closure;
      this.options.output.closureChanged(closure);
    }
    if (closure !== serving.Closure.OPEN) return this.refuseWaiting(now);
    if (this.trust !== 'confirmed') return;
    const service = (c: gateCall.GateCall) => this.serviceMs(c);
    while (this.queue.size > 0 && this.hasSlot(now)) {
      const call = this.queue.take(service, now);
      if (call === undefined) return;
      this.start(call, now);
    }
  }

  private refuseWaiting(now: units.MonotonicMs): void {
    for (const call of [...this.queue.waiting]) {
      this.end(call, serving.Reason.CLOSED, false, now);
    }
  }

  private start(call: gateCall.GateCall, now: units.MonotonicMs): void {
    const {instanceId} = this.life;
    const {suspects} = this.options;
    if (instanceId === undefined) {
      return this.end(call, serving.Reason.CLOSED, false, now);
    }
    if (suspects.isQuarantined(call.dispatch.fingerprint, now)) {
      return this.end(call, serving.Reason.QUARANTINED, false, now);
    }
    call.stage = {kind: 'running', startedMs: now};
    this.running++;
    this.cold.onStart(now);
    this.noteCall(call, 'routine', 'run', {
      instanceId,
      waitedMs: Math.round(now - call.arrivedMs),
      running: this.running,
      limit: this.limit(now),
      pacePercent: this.pace.percentAt(now),
      paceAgeMs: Math.round(Math.min(this.pace.ageMs(now), 1e6)),
      configuration: this.options.intent.configuration?.version,
    });
    this.options.output.run(call, instanceId, call.deadlineMs - now);
  }

  private concludeRun(
    call: gateCall.GateCall,
    startedMs: units.MonotonicMs,
    end: gateCall.RunEnd,
    now: units.MonotonicMs,
  ): void {
    switch (end.kind) {
      case 'answered':
        return this.answer(call, startedMs, end.answer, now);
      case 'shed':
        this.shedCap = this.running;
        this.shedUntilMs = now + SHED_PAUSE_MS;
        return this.end(call, serving.Reason.SHED, false, now);
      case 'misdirected':
        this.noteLife(this.life.disown(), 'misdirected', now);
        this.doubt();
        return this.end(call, serving.Reason.CLOSED, false, now);
      case 'not-sent':
        this.doubt();
        return this.end(call, serving.Reason.NOT_SENT, false, now);
      case 'broken':
        return this.onBroken(call, now);
      case 'bad-answer':
        this.times.onFailed(now);
        this.noteCall(call, 'notable', 'bad-answer', {detail: end.detail});
        return this.end(call, serving.Reason.BAD_ANSWER, true, now);
      default:
        return invariants.assertNever(end);
    }
  }

  /** The health check tells next whether the backend server died or only lost an answer. */
  private onBroken(call: gateCall.GateCall, now: units.MonotonicMs): void {
    this.times.onFailed(now);
    const {instanceId} = this.life;
    call.stage = {kind: 'broken', untilMs: now + JUDGEMENT_MS, instanceId};
    this.doubt();
  }

  /** Ends the calls whose connection broke, now that it is known whether the server died. */
  private judge(serverDied: boolean, now: units.MonotonicMs): void {
    for (const call of [...this.live.values()]) {
      if (call.stage.kind !== 'broken') continue;
      if (serverDied) this.noteDeath(call, now);
      this.end(call, serving.Reason.BROKEN, true, now, serverDied);
    }
  }

  private noteDeath(call: gateCall.GateCall, now: units.MonotonicMs): void {
    const {suspects, output} = this.options;
    const suspicion = suspects.onDeath(call.dispatch.fingerprint, now);
    this.noteCall(call, 'notable', 'server-died', {deaths: suspicion.deaths});
    output.reportSuspect(suspicion.fingerprint, suspicion.deaths);
  }

  private answer(
    call: gateCall.GateCall,
    startedMs: units.MonotonicMs,
    answer: gateCall.ServerAnswer,
    now: units.MonotonicMs,
  ): void {
    const durationMs = now - startedMs;
    if (answer.status >= FIRST_ERROR_STATUS) {
      this.times.onFailed(now);
    } else {
      this.times.onAnswered(call.dispatch.route, durationMs, now);
      this.options.suspects.onAnswered(call.dispatch.fingerprint, now);
    }
    this.noteCall(call, 'routine', 'answered', {
      status: answer.status,
      durationMs: Math.round(durationMs),
    });
    const reply = {
      kind: 'answer',
      answer: {
        call: call.dispatch.call,
        status: answer.status,
        headers: answer.headers,
        body: answer.body,
        load: this.load(now),
      },
    } as const;
    this.conclude(call, reply, now);
  }

  /** Refuses a call that is on the books. */
  private end(
    call: gateCall.GateCall,
    reason: serving.Reason,
    mayHaveRun: boolean,
    now: units.MonotonicMs,
    serverDied = false,
  ): void {
    this.refuse(call, {reason, mayHaveRun, serverDied}, now);
  }

  private refuse(
    call: gateCall.GateCall,
    detail: Pick<serving.Refusal, 'reason' | 'mayHaveRun'> & {
      readonly serverDied?: boolean;
    },
    now: units.MonotonicMs,
  ): void {
    const {reason, mayHaveRun, serverDied = false} = detail;
    this.noteCall(call, 'notable', 'refused', {
      reason,
      mayHaveRun,
      serverDied,
      closure: this.closure(),
      running: this.running,
      waiting: this.queue.size,
      limit: this.limit(now),
      timeLeftMs: Math.round(call.deadlineMs - now),
    });
    const refusal = {
      call: call.dispatch.call,
      reason,
      mayHaveRun,
      serverDied,
      retryAfterMs: this.retryAfterMs(now),
      load: this.load(now),
    };
    this.conclude(call, {kind: 'refusal', refusal}, now);
  }

  private conclude(
    call: gateCall.GateCall,
    reply: finishedCalls.Reply,
    now: units.MonotonicMs,
  ): void {
    this.queue.remove(call);
    this.live.delete(call.key);
    this.finished.add(call.key, reply, now);
    if (call.source !== undefined) {
      this.send(call.source, call.dispatch.call, reply);
    }
  }

  private send(
    source: number,
    callNumber: number,
    reply: finishedCalls.Reply,
  ): void {
    const {output} = this.options;
    if (reply.kind === 'answer') output.answer(source, reply.answer);
    else output.refuse(source, {...reply.refusal, call: callNumber});
  }

  private retryAfterMs(now: units.MonotonicMs): units.Millis {
    const drainMs = (this.queue.size + 1) * this.times.meanMs;
    const waitMs = drainMs / this.limit(now);
    return Math.round(
      Math.min(RETRY_AFTER_MAX_MS, Math.max(RETRY_AFTER_MIN_MS, waitMs)),
    );
  }

  /** Ends a call that nobody waits for; a run that must not be repeated is left to finish. */
  private drop(call: gateCall.GateCall, now: units.MonotonicMs): void {
    const isRunning = call.stage.kind === 'running';
    if (isRunning && !call.dispatch.repeatable) return;
    if (isRunning) {
      this.running--;
      this.options.output.abort(call.key);
    }
    this.end(call, serving.Reason.WITHDRAWN, isRunning, now);
  }

  private expire(call: gateCall.GateCall, now: units.MonotonicMs): void {
    if (this.dueMs(call) > now) return;
    if (this.isOrphan(call, now)) {
      call.sourceLostMs = undefined;
      return this.drop(call, now);
    }
    switch (call.stage.kind) {
      case 'waiting':
        return this.end(call, serving.Reason.NO_TIME, false, now);
      case 'running':
        this.running--;
        this.times.onFailed(now);
        this.options.output.abort(call.key);
        return this.end(call, serving.Reason.BROKEN, true, now);
      case 'broken':
        return this.end(call, serving.Reason.BROKEN, true, now);
      default:
        return invariants.assertNever(call.stage);
    }
  }

  private isOrphan(call: gateCall.GateCall, now: units.MonotonicMs): boolean {
    const {sourceLostMs} = call;
    return sourceLostMs !== undefined && sourceLostMs + ORPHAN_LIFE_MS <= now;
  }

  private dueMs(call: gateCall.GateCall): units.MonotonicMs {
    const orphanMs =
      call.sourceLostMs === undefined
        ? Infinity
        : call.sourceLostMs + ORPHAN_LIFE_MS;
    switch (call.stage.kind) {
      case 'waiting':
        return Math.min(orphanMs, call.deadlineMs - this.worthwhileMs(call));
      case 'running':
        return Math.min(orphanMs, call.deadlineMs + OVERDUE_MS);
      case 'broken':
        return call.stage.untilMs;
      default:
        return invariants.assertNever(call.stage);
    }
  }

  private noteLife(
    change: serverLife.LifeChange,
    source: string,
    now: units.MonotonicMs,
  ): void {
    if (change === 'unchanged') return;
    if (change === 'new-incarnation') {
      this.times.reset();
      this.options.output.checkHealth();
    }
    this.note('belief', `server-${change}`, {
      source,
      instanceId: this.life.instanceId,
      slots: this.life.slots,
      cold: this.life.isCold(now),
    });
  }

  private note(
    importance: decision.Importance,
    event: string,
    facts: decision.Facts,
  ): void {
    this.options.log.write({component: 'gate', event, importance, facts});
  }

  private noteCall(
    call: gateCall.GateCall,
    importance: decision.Importance,
    event: string,
    facts: decision.Facts,
  ): void {
    const {requestId, route} = call.dispatch;
    this.options.log.write({
      component: 'gate',
      event,
      importance,
      requestId,
      facts: {route, ...facts},
    });
  }
}

function newCall(
  {key, source, dispatch}: gateCall.ArrivingCall,
  now: units.MonotonicMs,
): gateCall.GateCall {
  return {
    key,
    source,
    sourceLostMs: undefined,
    dispatch,
    arrivedMs: now,
    rank: dispatch.rank,
    deadlineMs: now + dispatch.timeLeftMs,
    objectiveAtMs: now + dispatch.objectiveLeftMs,
    stage: {kind: 'waiting'},
  };
}

function refusalOf(
  call: number,
  reason: serving.Reason,
  mayHaveRun: boolean,
): serving.Refusal {
  return serving.Refusal.fromPartial({call, reason, mayHaveRun});
}
