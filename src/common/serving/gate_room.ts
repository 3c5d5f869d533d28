/** How much the backend server may be sent now, and how long one more request would wait. */
import * as serving from '../../generated/serving.js';
import * as randomSource from '../random_source.js';
import * as units from '../units.js';
import * as coldRate from './cold_rate.js';
import * as gateCall from './gate_call.js';
import * as operatorIntent from './operator_intent.js';
import * as runQueue from './run_queue.js';
import * as runTimes from './run_times.js';
import * as serverLife from './server_life.js';
import * as serverPace from './server_pace.js';
import * as slotReserve from './slot_reserve.js';

/** Share of the slots that is used; many servers slow down when nearly full. */
const SLOT_SHARE = 0.8;

/** Time for which a full server that shed a request is sent no more than it had then. */
const SHED_PAUSE_MS: units.Millis = 300;

/** Part of the mean run time below which the time left is not worth a run. */
const WORTHWHILE_SHARE = 0.5;

/** Part of the objective's slack that a request may wait while another data centre has room. */
const WAIT_SLACK_SHARE = 0.3;

/** Waiting requests, as a part of the limit, from which the gate counts as overloaded. */
const OVERLOAD_SHARE = 0.5;

/** Weight of the newest request in the share that is refused. */
const REFUSAL_WEIGHT = 0.05;

/** Added to the time to come back when all requests are refused; bursts last seconds. */
const OVERLOAD_RETRY_MS: units.Millis = 1_000;

/** Part of the time to come back that is random, so that returns do not come in one wave. */
const RETRY_JITTER = 0.6;

/** Least and most time after which a refused request is told to come back. */
const RETRY_AFTER_MIN_MS: units.Millis = 20;
const RETRY_AFTER_MAX_MS: units.Millis = 3_000;

/** What room depends on. */
export interface GateRoomOptions {
  readonly service: () => string;
  readonly intent: operatorIntent.OperatorIntent;
  readonly life: serverLife.ServerLife;
  readonly random: randomSource.RandomSource;
  /** Multiple of its declared rate up to which a cold server is sent requests. */
  readonly coldRateFactor: number;
  /** Start of the process. */
  readonly startedMs: units.MonotonicMs;
}

/** Room at the backend server, with the requests that wait for it. */
export class GateRoom {
  readonly queue = new runQueue.RunQueue<gateCall.GateCall>();
  readonly times = new runTimes.RunTimes();
  readonly pace = new serverPace.ServerPace();
  private readonly cold: coldRate.ColdRate;
  private runningCount = 0;
  private shedCap = Infinity;
  private shedUntilMs: units.MonotonicMs = 0;
  private refusedShare = 0;
  private readonly reserve = new slotReserve.SlotReserve();

  constructor(private readonly options: GateRoomOptions) {
    this.cold = new coldRate.ColdRate(options.startedMs);
  }

  /** Requests on the backend server. */
  get running(): number {
    return this.runningCount;
  }

  /** An incarnation has begun that no earlier process can have sent anything. */
  onFreshServer(): void {
    this.cold.onFreshServer();
  }

  /** Notes a request sent to the backend server. */
  onStarted(now: units.MonotonicMs): void {
    this.runningCount++;
    this.cold.onStart(now);
  }

  /** Notes the end of a run. */
  onEnded(): void {
    this.runningCount--;
  }

  /** Notes that the backend server shed a request, though it may have slots free. */
  onShed(now: units.MonotonicMs): void {
    this.times.onFailed(now);
    if (!this.pace.isFull) return;
    this.shedCap = this.runningCount;
    this.shedUntilMs = now + SHED_PAUSE_MS;
  }

  /** Requests that may run at the same time. */
  limit(now: units.MonotonicMs): number {
    const limit = Math.max(1, Math.floor(this.options.life.slots * SLOT_SHARE));
    if (now >= this.shedUntilMs) return limit;
    return Math.max(1, Math.min(limit, this.shedCap));
  }

  /**
   * Returns why a request is refused at once, undefined if it is taken.
   *
   * Load patterns: spells in which neighbours stall the server, and bursts (pass on to gates with
   * room); more work than the service carries (refuse what would be late, so that the slots serve
   * what is in time).
   */
  refusalOf(
    call: gateCall.GateCall,
    now: units.MonotonicMs,
  ): serving.Reason | undefined {
    const {redirectable, siblingNear} = call.dispatch;
    const serviceMs = this.serviceMs(call);
    const slackMs = call.objectiveAtMs - now - serviceMs;
    const waitMs = this.expectedWaitMs(call, now);
    if (redirectable) {
      if (this.pace.isStalled(now)) return serving.Reason.STALLED;
      const bearableMs = siblingNear ? 0 : WAIT_SLACK_SHARE * slackMs;
      if (waitMs > Math.max(0, bearableMs)) return serving.Reason.FULL;
    }
    const neededMs = waitMs + this.worthwhileMs(call);
    if (now + neededMs > call.deadlineMs) return serving.Reason.NO_TIME;
    if (waitMs > slackMs && this.isOverloaded(now)) {
      return serving.Reason.OVERLOADED;
    }
    return undefined;
  }

  /** Returns the time by which a waiting request must start. */
  lastStartMs(call: gateCall.GateCall): units.MonotonicMs {
    const lastMs = this.lastWorthwhileMs(call);
    const inTimeMs = call.objectiveAtMs - this.serviceMs(call);
    const keepsWaiting = inTimeMs < call.arrivedMs || this.queue.size <= 1;
    return keepsWaiting ? lastMs : Math.min(lastMs, inTimeMs);
  }

  /** Returns why a request is refused that has not started in time. */
  expiryOf(call: gateCall.GateCall, now: units.MonotonicMs): serving.Reason {
    const lastMs = this.lastWorthwhileMs(call);
    return lastMs <= now ? serving.Reason.NO_TIME : serving.Reason.OVERLOADED;
  }

  /** Requests that can run at the same time for long: a cold server's rate allows fewer. */
  sustainedLimit(now: units.MonotonicMs): number {
    const limit = this.limit(now);
    if (!this.options.life.isCold(now)) return limit;
    const meanSeconds = this.times.meanMs / units.MS_PER_SECOND;
    return Math.max(
      1,
      Math.min(limit, Math.floor(this.coldPerSecond * meanSeconds)),
    );
  }

  /** Removes and returns the waiting request whose turn it is. */
  takeNext(now: units.MonotonicMs): gateCall.GateCall | undefined {
    if (this.queue.size === 0 || !this.hasColdRoom(now)) return undefined;
    return this.queue.take(
      call => this.runningCount < this.limitFor(call, now),
      call => this.serviceMs(call),
      now,
    );
  }

  /** Notes a request that arrives. */
  onArrival(call: gateCall.GateCall, now: units.MonotonicMs): void {
    const {route, rank, objectiveLeftMs} = call.dispatch;
    this.reserve.onRequest(route, rank, objectiveLeftMs, now);
  }

  /** Notes whether a request was taken or refused for good. */
  onAdmission(refused: boolean): void {
    const sample = refused ? 1 : 0;
    this.refusedShare += REFUSAL_WEIGHT * (sample - this.refusedShare);
  }

  /** Time that a request is expected to wait. */
  private expectedWaitMs(
    call: gateCall.GateCall,
    now: units.MonotonicMs,
  ): units.Millis {
    const ahead =
      this.queue.countAhead(call, other => this.serviceMs(other), now) + 1;
    const waitsForCold = !this.hasColdRoom(now) || this.queue.size > 0;
    const coldWaitMs =
      this.options.life.isCold(now) && waitsForCold
        ? (ahead * units.MS_PER_SECOND) / this.coldPerSecond
        : 0;
    const limit = this.limitFor(call, now);
    const queued = Math.max(0, ahead - Math.max(0, limit - this.runningCount));
    return Math.max(coldWaitMs, (queued * this.times.meanMs) / limit);
  }

  /** Requests that may run when one more of this kind starts. */
  private limitFor(call: gateCall.GateCall, now: units.MonotonicMs): number {
    const limit = this.limit(now);
    const serviceMs = this.serviceMs(call);
    return limit - this.reserve.reserved(call.rank, serviceMs, limit, now);
  }

  private hasColdRoom(now: units.MonotonicMs): boolean {
    if (!this.options.life.isCold(now)) return true;
    return this.cold.hasRoom(this.coldPerSecond, now);
  }

  /** Latest start of a run that is worth its cost. */
  private lastWorthwhileMs(call: gateCall.GateCall): units.MonotonicMs {
    return call.deadlineMs - this.worthwhileMs(call);
  }

  /** Least time left for which a run is worth its cost. */
  private worthwhileMs(call: gateCall.GateCall): units.Millis {
    return this.serviceMs(call) * WORTHWHILE_SHARE;
  }

  /** Time after which a refused request is told to come back. */
  retryAfterMs(now: units.MonotonicMs): units.Millis {
    const drainMs = (this.queue.size + 1) * this.times.meanMs;
    const waitMs =
      drainMs / this.limit(now) + OVERLOAD_RETRY_MS * this.refusedShare;
    const spread = 1 + RETRY_JITTER * (this.options.random.next() - 0.5);
    const boundedMs = Math.max(RETRY_AFTER_MIN_MS, waitMs * spread);
    return Math.round(Math.min(RETRY_AFTER_MAX_MS, boundedMs));
  }

  /** Time at which a waiting request may be sent to a cold server. */
  nextColdMs(now: units.MonotonicMs): units.MonotonicMs {
    if (this.queue.size === 0 || !this.options.life.isCold(now)) {
      return Infinity;
    }
    return this.cold.nextRoomMs(this.coldPerSecond, now);
  }

  private isOverloaded(now: units.MonotonicMs): boolean {
    return this.queue.size >= OVERLOAD_SHARE * this.limit(now);
  }

  private get coldPerSecond(): number {
    const {intent, service} = this.options;
    const rules = intent.configuration?.serviceRules(service());
    return (rules?.coldPerSecond ?? 1) * this.options.coldRateFactor;
  }

  private serviceMs(call: gateCall.GateCall): units.Millis {
    return this.times.meanOfMs(call.dispatch.route);
  }
}
