/** How many requests the backend server may run now, and how long one more would wait. */
import * as peer from '../../generated/peer.js';
import * as tuning from '../configuration/tuning.js';
import * as randomSource from '../random_source.js';
import * as units from '../units.js';
import * as requestQueue from './request_queue.js';
import * as serviceTimes from './service_times.js';

/** Least and most time after which a refused request is told to come back. */
const RETRY_AFTER_MIN_MS = 10;
const RETRY_AFTER_MAX_MS = 5_000;

/** Part of the time to come back that is random. */
const RETRY_AFTER_JITTER = 0.5;

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

  constructor(private readonly options: AdmissionOptions) {}

  /** Requests that the backend server may run at the same time now. */
  get limit(): number {
    return this.options.slots();
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

  /** Takes note of an answer. */
  onAnswered(item: T, serviceMs: units.Millis): void {
    this.times.add(item.className, serviceMs, false);
  }

  /** Time after which a request refused for `reason` is told to come back. */
  retryAfterMs(reason: peer.RefusalReason): units.Millis {
    if (!isPassing(reason)) return 0;
    const drainMs = this.drainMs(this.queue.size);
    const spread = 1 + RETRY_AFTER_JITTER * this.options.random.next();
    const wanted = Math.max(RETRY_AFTER_MIN_MS, drainMs) * spread;
    return Math.min(RETRY_AFTER_MAX_MS, wanted);
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
