/** Admission control: limits concurrency at the backend server and estimates queueing time. */
import * as peer from '../../generated/peer.js';
import * as tuning from '../configuration/tuning.js';
import * as randomSource from '../random_source.js';
import * as units from '../units.js';
import * as coldDetector from './cold_detector.js';
import * as concurrencyLimiter from './concurrency_limiter.js';
import * as requestQueue from './request_queue.js';
import * as serviceTimes from './service_times.js';
import * as slowStart from './slow_start.js';

/** Bounds of the retry-after time of a refused request. */
const MIN_RETRY_AFTER_MS = 10;
const MAX_RETRY_AFTER_MS = 5_000;

/** Largest random addition to the retry-after time, as a share of it. */
const RETRY_AFTER_JITTER = 0.5;

/** Added to the reported service time at a failure share of 1. */
const FAILURE_PENALTY_MS = 1_000;

/** Lowest HTTP status that counts as a failure of the backend server. */
const FIRST_ERROR_STATUS = 500;

/** The fields of a request that admission depends on. */
export interface AdmittedRequest extends requestQueue.QueuedRequest {
  readonly className: string;
}

/** Dependencies of `Admission`; the functions return current values. */
export interface AdmissionOptions {
  readonly random: randomSource.RandomSource;
  /** Current tuning. */
  readonly tuning: () => tuning.Tuning;
  /** Number of usable slots. */
  readonly slots: () => number;
  /** Number of requests that the backend server may be running. */
  readonly inFlight: () => number;
}

/** Decides which requests run, wait or are refused at one backend server. */
export class Admission<T extends AdmittedRequest> {
  readonly queue = new requestQueue.RequestQueue<T>();
  private readonly times = new serviceTimes.ServiceTimes();
  private readonly limiter = new concurrencyLimiter.ConcurrencyLimiter();
  private readonly coldDetector = new coldDetector.ColdDetector();
  private readonly slowStart: slowStart.SlowStart;

  constructor(private readonly options: AdmissionOptions) {
    this.slowStart = new slowStart.SlowStart(options.tuning);
  }

  /** Current concurrency limit, in requests. */
  get limit(): number {
    return Math.min(
      this.limiter.limitFor(this.options.slots()),
      this.slowStartCap,
    );
  }

  /** Concurrency that slow start allows; all slots if the backend server is warm. */
  get slowStartCap(): number {
    return this.slowStart.capFor(this.options.slots());
  }

  /** Whether the backend server is in cold start. */
  get isCold(): boolean {
    return this.slowStart.isCold;
  }

  /** Whether the limit allows one more request now. */
  get hasFreeSlot(): boolean {
    return this.options.inFlight() < this.limit;
  }

  /** Smoothed recent service time over all classes. */
  get recentMs(): units.Millis {
    return this.times.recentMs;
  }

  /** Queues a request; `too-late` if the estimated finish time is after its deadline. */
  offer(
    item: T,
    now: units.MonotonicMs,
  ): requestQueue.OfferResult<T> | {readonly kind: 'too-late'} {
    if (this.mayRunImmediately) return this.queue.offer(item, Infinity);
    const finishMs = now + this.waitMs(item) + this.serviceMs(item);
    if (finishMs > item.deadlineMs) return {kind: 'too-late'};
    return this.queue.offer(item, this.options.tuning().queueLength);
  }

  /** Whether a request that starts now is expected to finish before its deadline. */
  isInTime(item: T, now: units.MonotonicMs): boolean {
    if (this.options.inFlight() === 0) return now < item.deadlineMs;
    return now + this.serviceMs(item) <= item.deadlineMs;
  }

  /** Service time for load reports; the penalty keeps fast failures from attracting requests. */
  get reportedMs(): units.Millis {
    const penaltyMs = FAILURE_PENALTY_MS * this.limiter.failureShare;
    return this.times.recentMs + penaltyMs;
  }

  /** Begins slow start, after the backend server or its data centre has come back. */
  beginSlowStart(now: units.MonotonicMs): void {
    this.limiter.reset();
    this.coldDetector.reset();
    this.slowStart.restart(now);
  }

  /** Records a complete answer to a run that started at `startedMs`. */
  onAnswered(
    item: T,
    status: number,
    startedMs: units.MonotonicMs,
    now: units.MonotonicMs,
  ): void {
    if (status >= FIRST_ERROR_STATUS) return this.onFailed(now);
    const slots = this.options.slots();
    const serviceMs = now - startedMs;
    const ratio = this.times.ratioOf(item.className, serviceMs);
    this.limiter.onAnswer(ratio, slots, this.options.inFlight());
    this.times.add(item.className, serviceMs, this.learningMode);
    if (!this.isCold) return this.coldDetector.onAnswer(ratio, startedMs);
    const limit = this.limiter.limitFor(slots);
    if (this.slowStart.onAnswer(ratio, slots, limit, startedMs, now)) {
      this.times.resetBaselines();
    }
  }

  /** Records a run that failed or was answered with a server error. */
  onFailed(now: units.MonotonicMs): void {
    this.limiter.onFailure();
    this.slowStart.onFailure(this.options.slots(), now);
  }

  /** Records a run that the backend server shed. */
  onShed(now: units.MonotonicMs): void {
    const slots = this.options.slots();
    this.limiter.onShed(slots, now, this.times.recentMs);
    this.slowStart.onFailure(slots, now);
  }

  /**
   * Begins slow start if answers and runs show that the server has become cold.
   *
   * @returns whether it did.
   */
  detectCold(
    runs: () => ReadonlyArray<{
      readonly item: T;
      readonly startedMs: units.MonotonicMs;
    }>,
    now: units.MonotonicMs,
  ): boolean {
    if (this.isCold || !this.coldDetector.isSlowPeriod(now)) return false;
    const overdue = runs().filter(
      run =>
        this.times.ratioOf(run.item.className, now - run.startedMs) >
        coldDetector.SLOW_RATIO,
    );
    if (!this.coldDetector.isCold(overdue.length)) return false;
    this.beginSlowStart(now);
    return true;
  }

  /** Returns the retry-after time of a request refused for `reason`, 0 for none. */
  retryAfterMs(reason: peer.RefusalReason): units.Millis {
    if (!endsWithQueue(reason)) return 0;
    const drainMs = this.drainMs(this.queue.size);
    const jitter = 1 + RETRY_AFTER_JITTER * this.options.random.next();
    const delayMs = Math.max(MIN_RETRY_AFTER_MS, drainMs) * jitter;
    return Math.min(MAX_RETRY_AFTER_MS, delayMs);
  }

  private get learningMode(): serviceTimes.LearningMode {
    if (this.isCold) return 'none';
    return this.limiter.isSlow ? 'slow' : 'full';
  }

  /** Whether a new request would run immediately. */
  private get mayRunImmediately(): boolean {
    return this.hasFreeSlot && this.queue.size === 0;
  }

  private waitMs(item: T): units.Millis {
    return this.drainMs(this.queue.countAhead(item) + 1);
  }

  /** Returns the estimated time until `count` waiting requests have started. */
  private drainMs(count: number): units.Millis {
    return (count * this.times.recentMs) / Math.max(1, this.limit);
  }

  private serviceMs(item: T): units.Millis {
    return this.times.recentOfMs(item.className);
  }
}

/** Whether the cause of a refusal ends once the queue has drained. */
function endsWithQueue(reason: peer.RefusalReason): boolean {
  return (
    reason === peer.RefusalReason.NO_ROOM ||
    reason === peer.RefusalReason.DEADLINE ||
    reason === peer.RefusalReason.COLD_START
  );
}
