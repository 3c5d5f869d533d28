/** How much the backend server may be sent now, and how long one more request would wait. */
import * as units from '../units.js';
import * as coldRate from './cold_rate.js';
import * as gateCall from './gate_call.js';
import * as operatorIntent from './operator_intent.js';
import * as runQueue from './run_queue.js';
import * as runTimes from './run_times.js';
import * as serverLife from './server_life.js';
import * as serverPace from './server_pace.js';

/** Share of the slots that is used; many servers slow down when nearly full. */
const SLOT_SHARE = 0.8;

/** Time for which a server that shed a request is sent no more than it had then. */
const SHED_PAUSE_MS: units.Millis = 300;

/** Share used of the rate declared for cold servers; the users' bound lies at half more. */
const COLD_RATE_SHARE = 1.25;

/** Part of the mean run time below which the time left is not worth a run. */
const WORTHWHILE_SHARE = 0.5;

/** Least and most time after which a refused request is told to come back. */
const RETRY_AFTER_MIN_MS: units.Millis = 20;
const RETRY_AFTER_MAX_MS: units.Millis = 3_000;

/** What room depends on. */
export interface GateRoomOptions {
  readonly service: () => string;
  readonly intent: operatorIntent.OperatorIntent;
  readonly life: serverLife.ServerLife;
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

  constructor(private readonly options: GateRoomOptions) {
    this.cold = new coldRate.ColdRate(options.startedMs);
  }

  /** Requests on the backend server. */
  get running(): number {
    return this.runningCount;
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

  /** Notes that the backend server had no room. */
  onShed(now: units.MonotonicMs): void {
    this.shedCap = this.runningCount;
    this.shedUntilMs = now + SHED_PAUSE_MS;
  }

  /** Requests that may run at the same time. */
  limit(now: units.MonotonicMs): number {
    const limit = Math.max(1, Math.floor(this.options.life.slots * SLOT_SHARE));
    if (now >= this.shedUntilMs) return limit;
    return Math.max(1, Math.min(limit, this.shedCap));
  }

  /** Whether one more request may run. */
  hasSlot(now: units.MonotonicMs): boolean {
    if (this.runningCount >= this.limit(now)) return false;
    if (!this.options.life.isCold(now)) return true;
    return this.cold.hasRoom(this.coldPerSecond, now);
  }

  /** Whether a new request would run without waiting. */
  hasRoomAtOnce(now: units.MonotonicMs): boolean {
    return this.queue.size === 0 && this.hasSlot(now);
  }

  /** Removes and returns the waiting request whose turn it is. */
  takeNext(now: units.MonotonicMs): gateCall.GateCall | undefined {
    return this.queue.take(call => this.serviceMs(call), now);
  }

  /** Time that a request is expected to wait. */
  expectedWaitMs(
    call: gateCall.GateCall,
    now: units.MonotonicMs,
  ): units.Millis {
    if (this.hasRoomAtOnce(now)) return 0;
    const ahead =
      this.queue.countAhead(call, other => this.serviceMs(other), now) + 1;
    const coldWaitMs = this.options.life.isCold(now)
      ? (ahead * units.MS_PER_SECOND) / this.coldPerSecond
      : 0;
    const limit = this.limit(now);
    const freeSlots = Math.max(0, limit - this.runningCount);
    const queued = Math.max(0, ahead - freeSlots);
    return Math.max(coldWaitMs, (queued * this.times.meanMs) / limit);
  }

  /** Least time left for which a run is worth its cost. */
  worthwhileMs(call: gateCall.GateCall): units.Millis {
    return this.serviceMs(call) * WORTHWHILE_SHARE;
  }

  /** Time after which a refused request is told to come back. */
  retryAfterMs(now: units.MonotonicMs): units.Millis {
    const drainMs = (this.queue.size + 1) * this.times.meanMs;
    const waitMs = Math.max(RETRY_AFTER_MIN_MS, drainMs / this.limit(now));
    return Math.round(Math.min(RETRY_AFTER_MAX_MS, waitMs));
  }

  /** Time at which a waiting request may be sent to a cold server. */
  nextColdMs(now: units.MonotonicMs): units.MonotonicMs {
    if (this.queue.size === 0 || !this.options.life.isCold(now)) {
      return Infinity;
    }
    return this.cold.nextRoomMs(this.coldPerSecond, now);
  }

  private get coldPerSecond(): number {
    const {intent, service} = this.options;
    const rules = intent.configuration?.serviceRules(service());
    return (rules?.coldPerSecond ?? 1) * COLD_RATE_SHARE;
  }

  private serviceMs(call: gateCall.GateCall): units.Millis {
    return this.times.meanOfMs(call.dispatch.route);
  }
}
