/** How many requests the backend server may run now, and how long one more would wait. */
import * as peer from '../../generated/peer.js';
import * as tuning from '../configuration/tuning.js';
import * as randomSource from '../random_source.js';
import * as units from '../units.js';
import * as coldDetector from './cold_detector.js';
import * as concurrencyLimiter from './concurrency_limiter.js';
import * as requestQueue from './request_queue.js';
import * as serviceTimes from './service_times.js';
import * as slowStart from './slow_start.js';

/** Least and most time after which a refused request is told to come back. */
const RETRY_AFTER_MIN_MS = 10;
const RETRY_AFTER_MAX_MS = 5_000;

/** Part of the time to come back that is random. */
const RETRY_AFTER_JITTER = 0.5;

/** Service time that a report adds for a server of which every result is a failure. */
const FAILURE_PENALTY_MS = 1_000;

/** Lowest status of an answer that counts as a failure of the backend server. */
const SERVER_ERROR_STATUS = 500;

/** What admission needs to know of a request. */
export interface AdmittedRequest extends requestQueue.QueuedRequest {
  readonly className: string;
}

/** Surroundings of admission. */
export interface AdmissionOptions {
  readonly random: randomSource.RandomSource;
  /** Tuning in force. */
  readonly tuning: () => tuning.Tuning;
  /** Slots that may be used. */
  readonly slots: () => number;
  /** Requests that the backend server may be working on. */
  readonly inFlight: () => number;
}

/** Admission of requests to one backend server. */
export class Admission<T extends AdmittedRequest> {
  readonly queue = new requestQueue.RequestQueue<T>();
  private readonly times = new serviceTimes.ServiceTimes();
  private readonly limiter = new concurrencyLimiter.ConcurrencyLimiter();
  private readonly detector = new coldDetector.ColdDetector();
  private readonly ramp: slowStart.SlowStart;

  constructor(private readonly options: AdmissionOptions) {
    this.ramp = new slowStart.SlowStart(options.tuning);
  }

  /** Requests that the backend server may run at the same time now. */
  get limit(): number {
    return Math.min(this.limiter.limitFor(this.options.slots()), this.coldCap);
  }

  /** Requests that slow start allows, the slots if the backend server is warm. */
  get coldCap(): number {
    return this.ramp.capFor(this.options.slots());
  }

  /** Whether the backend server is in cold start. */
  get isCold(): boolean {
    return this.ramp.isCold;
  }

  /** Whether one more request may run now. */
  get hasRoom(): boolean {
    return this.options.inFlight() < this.limit;
  }

  /** Recent service time. */
  get recentMs(): units.Millis {
    return this.times.recentMs;
  }

  /** Takes a request into the queue, or says who is refused instead. */
  offer(
    item: T,
    now: units.MonotonicMs,
  ): requestQueue.Offer<T> | {readonly kind: 'too-late'} {
    if (this.mayRunAtOnce) return this.queue.offer(item, Infinity);
    const finishMs = now + this.waitMs(item) + this.serviceMs(item);
    if (finishMs > item.deadlineMs) return {kind: 'too-late'};
    return this.queue.offer(item, this.options.tuning().queueLength);
  }

  /** Whether a request whose turn it is can still be answered in time. */
  isInTime(item: T, now: units.MonotonicMs): boolean {
    if (this.options.inFlight() === 0) return now < item.deadlineMs;
    return now + this.serviceMs(item) <= item.deadlineMs;
  }

  /** Service time to report: failures make a server look slow, not fast. */
  get reportedMs(): units.Millis {
    const penaltyMs = FAILURE_PENALTY_MS * this.limiter.failureShare;
    return this.times.recentMs + penaltyMs;
  }

  /** Starts slow start: the backend server, or its data centre, has come back. */
  restart(now: units.MonotonicMs): void {
    this.limiter.reset();
    this.detector.reset();
    this.ramp.restart(now);
  }

  /** Takes note of a complete answer to a run started at `startedMs`. */
  onAnswered(
    item: T,
    status: number,
    startedMs: units.MonotonicMs,
    now: units.MonotonicMs,
  ): void {
    if (status >= SERVER_ERROR_STATUS) return this.onFailed(now);
    const slots = this.options.slots();
    const serviceMs = now - startedMs;
    const ratio = this.times.ratioOf(item.className, serviceMs);
    this.limiter.onAnswer(ratio, slots, this.options.inFlight());
    this.times.add(item.className, serviceMs, this.learning);
    if (!this.isCold) return this.detector.onAnswer(ratio, startedMs);
    const limit = this.limiter.limitFor(slots);
    if (this.ramp.onAnswer(ratio, slots, limit, startedMs, now)) {
      this.times.relearn();
    }
  }

  /** Takes note of a run that failed, or was answered with an error. */
  onFailed(now: units.MonotonicMs): void {
    this.limiter.onFailure();
    this.ramp.onFailure(this.options.slots(), now);
  }

  /** Takes note of a run that the backend server shed. */
  onShed(now: units.MonotonicMs): void {
    const slots = this.options.slots();
    this.limiter.onShed(slots, now, this.times.recentMs);
    this.ramp.onFailure(slots, now);
  }

  /**
   * Starts slow start if answers and runs show that the server has turned cold.
   *
   * @returns whether it has.
   */
  detectCold(
    runs: () => ReadonlyArray<{
      readonly item: T;
      readonly startedMs: units.MonotonicMs;
    }>,
    now: units.MonotonicMs,
  ): boolean {
    if (this.isCold || !this.detector.isSpell(now)) return false;
    const overdue = runs().filter(
      run =>
        this.times.ratioOf(run.item.className, now - run.startedMs) >
        coldDetector.SLOW_RATIO,
    );
    if (!this.detector.isCold(overdue.length)) return false;
    this.restart(now);
    return true;
  }

  /** Time after which a request refused for `reason` is told to come back. */
  retryAfterMs(reason: peer.RefusalReason): units.Millis {
    if (!isPassing(reason)) return 0;
    const drainMs = this.drainMs(this.queue.size);
    const spread = 1 + RETRY_AFTER_JITTER * this.options.random.next();
    const wanted = Math.max(RETRY_AFTER_MIN_MS, drainMs) * spread;
    return Math.min(RETRY_AFTER_MAX_MS, wanted);
  }

  private get learning(): serviceTimes.Learning {
    if (this.isCold) return 'none';
    return this.limiter.isSlow ? 'slow' : 'full';
  }

  /** Whether a new request would run without waiting. */
  private get mayRunAtOnce(): boolean {
    return this.hasRoom && this.queue.size === 0;
  }

  private waitMs(item: T): units.Millis {
    return this.drainMs(this.queue.countAhead(item) + 1);
  }

  /** Time until `count` waiting requests have started. */
  private drainMs(count: number): units.Millis {
    return (count * this.times.recentMs) / Math.max(1, this.limit);
  }

  private serviceMs(item: T): units.Millis {
    return this.times.recentOfMs(item.className);
  }
}

/** Whether a refusal for `reason` is over when the queue has drained. */
function isPassing(reason: peer.RefusalReason): boolean {
  return (
    reason === peer.RefusalReason.NO_ROOM ||
    reason === peer.RefusalReason.DEADLINE ||
    reason === peer.RefusalReason.COLD_START
  );
}
