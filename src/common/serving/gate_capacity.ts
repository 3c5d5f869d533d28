/** Concurrency limit, queue and wait estimate for requests to a backend server. */
import * as serving from '../../generated/serving.js';
import * as randomSource from '../random_source.js';
import * as units from '../units.js';
import * as coldStartLimiter from './cold_start_limiter.js';
import * as gateCall from './gate_call.js';
import * as gateOptions from './gate_options.js';
import * as operatorIntent from './operator_intent.js';
import * as paceConfirmation from './pace_confirmation.js';
import * as rateLimiter from './rate_limiter.js';
import * as runQueue from './run_queue.js';
import * as runTimes from './run_times.js';
import * as incarnations from './incarnations.js';
import * as serverPace from './server_pace.js';
import * as slotReserve from './slot_reserve.js';

/** Share of the slots that is used; many servers slow down when nearly full. */
const SLOT_SHARE = 0.8;

/** Time for which the limit stays lowered after a full server shed a request. */
const SHED_LIMIT_MS: units.Millis = 300;

/** Share of the mean run time that must be left before the deadline for a run to be started. */
const MIN_RUN_TIME_SHARE = 0.5;

/**
 * Share of the objective's slack that a request may wait although another gate is estimated to have
 * capacity: the estimate may be old, and a redirection takes time at two nodes.
 */
const MAX_WAIT_SLACK_SHARE = 0.3;

/** Queue length, as a share of the limit, from which the gate counts as overloaded. */
const OVERLOAD_QUEUE_SHARE = 0.5;

/** Weight of the newest request in the moving average of refusals. */
const REFUSAL_WEIGHT = 0.05;

/** Added to the retry delay when all requests are refused; bursts last seconds. */
const OVERLOAD_RETRY_AFTER_MS: units.Millis = 1_000;

/** Random share of the retry delay, so that retries do not arrive in one wave. */
const RETRY_AFTER_JITTER = 0.6;

/** Bounds of the retry delay given to refused requests; a rate limit may require more. */
const RETRY_AFTER_MIN_MS: units.Millis = 20;
const RETRY_AFTER_MAX_MS: units.Millis = 3_000;

/** Dependencies and settings of `GateCapacity`. */
export interface GateCapacityOptions {
  readonly service: () => string;
  readonly intent: operatorIntent.OperatorIntent;
  readonly tracker: incarnations.IncarnationTracker;
  readonly random: randomSource.RandomSource;
  /** Maximum request rate in cold start, as a multiple of the declared rate. */
  readonly coldRateFactor: number;
  /** Start of the process. */
  readonly startedMs: units.MonotonicMs;
}

/** Capacity of the backend server and the requests that wait for it. */
export class GateCapacity {
  readonly queue = new runQueue.RunQueue<gateCall.GateCall>();
  readonly times = new runTimes.RunTimes();
  readonly pace = new serverPace.ServerPace();
  readonly rate = new rateLimiter.RateLimiter();
  private readonly confirmation = new paceConfirmation.PaceConfirmation(
    this.pace,
  );
  private readonly coldStart: coldStartLimiter.ColdStartLimiter;
  private runningCount = 0;
  private shedLimit = Infinity;
  private shedUntilMs: units.MonotonicMs = 0;
  private refusalShare = 0;
  private readonly reserve = new slotReserve.SlotReserve();

  constructor(private readonly options: GateCapacityOptions) {
    this.coldStart = new coldStartLimiter.ColdStartLimiter(options.startedMs);
  }

  /** Number of requests that run on the backend server. */
  get running(): number {
    return this.runningCount;
  }

  /** Handles an incarnation that started after this process, so that all its requests are known. */
  onServerStart(): void {
    this.coldStart.onServerStart();
  }

  /** Records a request sent to the backend server. */
  onStarted(now: units.MonotonicMs): void {
    this.runningCount++;
    this.coldStart.onStart(now);
    this.rate.onStart(now);
  }

  /** Records the end of a run. */
  onEnded(): void {
    this.runningCount--;
  }

  /** Records a shed request; lowers the limit only if the server had reported no free slot. */
  onShed(now: units.MonotonicMs): void {
    this.times.onFailed(now);
    if (!this.pace.isFull) return;
    this.shedLimit = this.runningCount;
    this.shedUntilMs = now + SHED_LIMIT_MS;
  }

  /** Returns the maximum number of concurrent requests. */
  limit(now: units.MonotonicMs): number {
    const limit = Math.max(
      1,
      Math.floor(this.options.tracker.slots * SLOT_SHARE),
    );
    if (now >= this.shedUntilMs) return limit;
    return Math.max(1, Math.min(limit, this.shedLimit));
  }

  /**
   * Returns why an arriving request is refused, undefined if it is accepted.
   *
   * During bursts and while neighbours stall the server, requests are redirected to gates with
   * capacity. When the whole service is overloaded, requests that would miss their objective are
   * refused, so that the slots serve those that can still meet it.
   */
  refusalReason(
    call: gateCall.GateCall,
    now: units.MonotonicMs,
  ): serving.Reason | undefined {
    const {redirectable} = call.dispatch;
    const serviceMs = this.serviceMs(call);
    const slackMs = call.objectiveAtMs - now - serviceMs;
    const waitMs = this.expectedWaitMs(call, now);
    const ahead = this.queue.countAhead(call, c => this.serviceMs(c), now);
    if (redirectable) {
      if (this.pace.isStalled(now)) return serving.Reason.STALLED;
      if (waitMs > MAX_WAIT_SLACK_SHARE * Math.max(0, slackMs)) {
        const isRateLimited = this.rate.startMs(ahead, now) > now;
        return isRateLimited
          ? serving.Reason.RATE_LIMITED
          : serving.Reason.FULL;
      }
    }
    if (now + waitMs > this.latestUsefulStartMs(call)) {
      return serving.Reason.NO_TIME;
    }
    if (!this.isInRate(call, ahead, now)) return serving.Reason.OVERLOADED;
    if (waitMs > slackMs && this.isOverloaded(now)) {
      return serving.Reason.OVERLOADED;
    }
    return undefined;
  }

  /** Returns the waiting requests that the rate limit makes late, were they to wait on. */
  waitingBeyondRate(now: units.MonotonicMs): readonly gateCall.GateCall[] {
    if (this.rate.perSecond === undefined) return [];
    let ahead = 0;
    return this.queue
      .inOrder(call => this.serviceMs(call), now)
      .filter(call => {
        if (!this.isInRate(call, ahead, now)) return true;
        ahead++;
        return false;
      });
  }

  /** Whether the rate limit lets a request start in time for its objective, or now. */
  private isInRate(
    call: gateCall.GateCall,
    ahead: number,
    now: units.MonotonicMs,
  ): boolean {
    const inObjectiveMs = call.objectiveAtMs - this.serviceMs(call);
    return this.rate.startMs(ahead, now) <= Math.max(now, inObjectiveMs);
  }

  /** Returns the time until the rate limit allows a further request, 0 without a limit. */
  startWaitMs(now: units.MonotonicMs): units.Millis {
    return this.rate.startMs(this.queue.size, now) - now;
  }

  /** Returns the time by which a waiting request must start; it is refused then. */
  latestStartMs(call: gateCall.GateCall): units.MonotonicMs {
    const latestMs = this.latestUsefulStartMs(call);
    const inObjectiveMs = call.objectiveAtMs - this.serviceMs(call);
    const mayBeLate = inObjectiveMs < call.arrivedMs || this.queue.size <= 1;
    return mayBeLate ? latestMs : Math.min(latestMs, inObjectiveMs);
  }

  /** Returns why a request that has not started in time is refused. */
  expiryReason(
    call: gateCall.GateCall,
    now: units.MonotonicMs,
  ): serving.Reason {
    const latestMs = this.latestUsefulStartMs(call);
    return latestMs <= now ? serving.Reason.NO_TIME : serving.Reason.OVERLOADED;
  }

  /** Returns the concurrency that can be sustained; limits of the rate lower it. */
  sustainedLimit(now: units.MonotonicMs): number {
    const limit = this.limit(now);
    const perSecond = Math.min(
      this.options.tracker.isCold(now) ? this.coldPerSecond : Infinity,
      this.rate.perSecond ?? Infinity,
    );
    if (perSecond === Infinity) return limit;
    const meanSeconds = this.times.meanMs / units.MS_PER_SECOND;
    return Math.max(1, Math.min(limit, Math.floor(perSecond * meanSeconds)));
  }

  /**
   * Records a load report of the backend server.
   *
   * @returns the duration of the stall that has ended, see `ServerPace.onLoad`.
   */
  onServerLoad(
    load: serverPace.ServerLoad,
    now: units.MonotonicMs,
  ): units.Millis | undefined {
    const stallMs = this.pace.onLoad(load, now);
    if (load.pacePercent !== undefined) this.confirmation.onSample();
    return stallMs;
  }

  /** Returns the waiting requests that other gates may start before a stall is over. */
  waitingInStall(now: units.MonotonicMs): readonly gateCall.GateCall[] {
    if (!this.pace.isStalled(now)) return [];
    return this.queue.waiting.filter(({dispatch}) => dispatch.redirectable);
  }

  /** Whether a waiting request could start now but for the age of the latest load report. */
  awaitsSample(now: units.MonotonicMs): boolean {
    return this.mayStartNext(now) && this.confirmation.isAwaited(now);
  }

  /** Records that a load report is wanted; returns whether it has to be requested. */
  requestSample(now: units.MonotonicMs): boolean {
    return this.confirmation.request(now);
  }

  /** Removes and returns the next request to start, undefined if none may start. */
  takeNext(now: units.MonotonicMs): gateCall.GateCall | undefined {
    if (!this.mayStartNext(now)) return undefined;
    return this.queue.take(
      call =>
        this.runningCount < this.limitFor(call, now) &&
        this.holdMs(call, now) === 0,
      call => this.serviceMs(call),
      now,
    );
  }

  /** Whether requests wait, a slot is free, and limits of the rate allow a start. */
  private mayStartNext(now: units.MonotonicMs): boolean {
    return (
      this.queue.size > 0 &&
      this.runningCount < this.limit(now) &&
      this.nextStartMs(now) <= now
    );
  }

  /** Records an arriving request. */
  onArrival(call: gateCall.GateCall, now: units.MonotonicMs): void {
    const {route, rank, objectiveLeftMs} = call.dispatch;
    this.reserve.onRequest(route, rank, objectiveLeftMs, now);
  }

  /** Records whether a request that cannot be redirected was accepted or refused. */
  onAdmission(refused: boolean): void {
    const sample = refused ? 1 : 0;
    this.refusalShare += REFUSAL_WEIGHT * (sample - this.refusalShare);
  }

  /** Returns the time that a request is expected to wait. */
  private expectedWaitMs(
    call: gateCall.GateCall,
    now: units.MonotonicMs,
  ): units.Millis {
    const ahead =
      this.queue.countAhead(call, other => this.serviceMs(other), now) + 1;
    const waitsForCold = !this.mayStartCold(now) || this.queue.size > 0;
    const coldWaitMs =
      this.options.tracker.isCold(now) && waitsForCold
        ? (ahead * units.MS_PER_SECOND) / this.coldPerSecond
        : 0;
    const limit = this.limitFor(call, now);
    const queued = Math.max(0, ahead - Math.max(0, limit - this.runningCount));
    const holdMs = this.holdMs(call, now);
    const rateWaitMs = this.rate.startMs(ahead - 1, now) - now;
    const slotWaitMs = (queued * this.times.meanMs) / limit;
    return holdMs + Math.max(coldWaitMs, rateWaitMs, slotWaitMs);
  }

  /** Returns how long a request is expected to wait for the end of a stall. */
  private holdMs(
    call: gateCall.GateCall,
    now: units.MonotonicMs,
  ): units.Millis {
    return this.pace.expectedHoldMs(this.serviceMs(call), now);
  }

  /** Returns the concurrency limit for a request, less the slots reserved for others. */
  private limitFor(call: gateCall.GateCall, now: units.MonotonicMs): number {
    const limit = this.limit(now);
    const serviceMs = this.serviceMs(call);
    return limit - this.reserve.reservedSlots(call.rank, serviceMs, limit, now);
  }

  private mayStartCold(now: units.MonotonicMs): boolean {
    if (!this.options.tracker.isCold(now)) return true;
    return this.coldStart.mayStart(this.coldPerSecond, now);
  }

  /** Returns the latest start that leaves enough time before the deadline or the entry's stop. */
  private latestUsefulStartMs(call: gateCall.GateCall): units.MonotonicMs {
    return Math.min(call.deadlineMs - this.minRunTimeMs(call), call.startByMs);
  }

  /** Returns the minimum time left for a run to be started. */
  private minRunTimeMs(call: gateCall.GateCall): units.Millis {
    return this.serviceMs(call) * MIN_RUN_TIME_SHARE;
  }

  /** Returns the delay after which the caller of a refused request should retry. */
  retryAfterMs(now: units.MonotonicMs): units.Millis {
    const drainMs = (this.queue.size + 1) * this.times.meanMs;
    const waitMs =
      drainMs / this.limit(now) + OVERLOAD_RETRY_AFTER_MS * this.refusalShare;
    const jitter = 1 + RETRY_AFTER_JITTER * (this.options.random.next() - 0.5);
    const boundedMs = Math.max(RETRY_AFTER_MIN_MS, waitMs * jitter);
    const overloadMs = Math.min(RETRY_AFTER_MAX_MS, boundedMs);
    return Math.round(Math.max(overloadMs, this.startWaitMs(now)));
  }

  /** Returns when limits of the rate let the next waiting request start, `now` without any. */
  nextStartMs(now: units.MonotonicMs): units.MonotonicMs {
    const rateMs = this.rate.startMs(0, now);
    if (!this.options.tracker.isCold(now)) return rateMs;
    const coldMs = this.coldStart.nextStartMs(this.coldPerSecond, now);
    return Math.max(rateMs, coldMs);
  }

  /** Returns when a waiting request may next start or needs a sample, infinity if none waits. */
  nextWakeMs(now: units.MonotonicMs): units.MonotonicMs {
    if (this.queue.size === 0) return Infinity;
    const startMs = this.nextStartMs(now);
    if (startMs > now) return startMs;
    return this.mayStartNext(now)
      ? this.confirmation.nextChangeMs(now)
      : Infinity;
  }

  private isOverloaded(now: units.MonotonicMs): boolean {
    return this.queue.size >= OVERLOAD_QUEUE_SHARE * this.limit(now);
  }

  private get coldPerSecond(): number {
    return gateOptions.coldPerSecond(this.options);
  }

  private serviceMs(call: gateCall.GateCall): units.Millis {
    return this.times.routeMeanMs(call.dispatch.route);
  }
}
