/** Slow start: raises the concurrency of a cold backend server by elapsed time and by results. */
import * as tuning from '../configuration/tuning.js';
import * as units from '../units.js';

/** Answers at normal speed required per slot of the current step before the next step. */
const ANSWERS_PER_SLOT = 2;

/** An answer is slow above this multiple of the best smoothed ratio of the ramp. */
const SLOW_RATIO_FACTOR = 4;

/** Consecutive slow answers required to set the ramp back. */
const SLOW_STREAK = 3;

/** Time for which answers must stay slow; bursts of a noisy neighbour are shorter. */
const SLOW_PERIOD_MS = 100;

/** Weight of a new answer in the smoothed ratio. */
const SMOOTHING_WEIGHT = 0.1;

interface Ramp {
  /** Start of the time schedule; later than the actual start after a setback. */
  readonly startedMs: units.MonotonicMs;
  /** Current step: the maximum number of requests in flight. */
  readonly cap: number;
  /** Answers at normal speed during the current step. */
  readonly normalAnswers: number;
  readonly slowInARow: number;
  /** Start of the earliest run among the consecutive slow answers. */
  readonly slowSinceMs: units.MonotonicMs;
  /** Smoothed service time as a multiple of the baseline; 0 before the first answer. */
  readonly smoothedRatio: number;
  /** Lowest smoothed ratio of this ramp; it does not rise when the server slows down. */
  readonly bestRatio: number;
}

/** Limits the requests in flight at a cold backend server; inactive until `restart`. */
export class SlowStart {
  private ramp: Ramp | undefined;

  constructor(private readonly tuning: () => tuning.Tuning) {}

  /** Whether a ramp is in progress. */
  get isCold(): boolean {
    return this.ramp !== undefined;
  }

  /** Returns the maximum number of requests in flight, `slots` if no ramp is in progress. */
  capFor(slots: number): number {
    return this.ramp ? Math.min(slots, this.ramp.cap) : slots;
  }

  /** Starts the ramp from its lowest step, unless the tuning turns cold start off (0 ms). */
  restart(now: units.MonotonicMs): void {
    const {coldStartMs, coldStartSlots} = this.tuning();
    this.ramp = coldStartMs === 0 ? undefined : rampAt(now, coldStartSlots);
  }

  /**
   * Records an answer whose service time was `ratio` times the baseline. The cap does not grow
   * above `limit`, the limit of the concurrency limiter: a higher step would not be used.
   *
   * @returns whether the answer completed the ramp.
   */
  onAnswer(
    ratio: number,
    slots: number,
    limit: number,
    startedMs: units.MonotonicMs,
    now: units.MonotonicMs,
  ): boolean {
    if (!this.ramp) return false;
    const {bestRatio} = this.ramp;
    const isSlow = bestRatio > 0 && ratio > bestRatio * SLOW_RATIO_FACTOR;
    this.ramp = isSlow
      ? this.afterSlowAnswer(this.ramp, slots, startedMs, now)
      : this.afterNormalAnswer(this.ramp, ratio, slots, limit, now);
    if (this.ramp.cap < slots) return false;
    this.ramp = undefined;
    return true;
  }

  /** Counts a failed or shed request as a slow answer. */
  onFailure(slots: number, now: units.MonotonicMs): void {
    if (this.ramp) this.ramp = this.afterSlowAnswer(this.ramp, slots, now, now);
  }

  private afterSlowAnswer(
    ramp: Ramp,
    slots: number,
    startedMs: units.MonotonicMs,
    now: units.MonotonicMs,
  ): Ramp {
    const slowInARow = ramp.slowInARow + 1;
    const slowSinceMs = Math.min(ramp.slowSinceMs, startedMs);
    const isSustained = now - slowSinceMs >= SLOW_PERIOD_MS;
    if (slowInARow < SLOW_STREAK || !isSustained) {
      return {...ramp, slowInARow, slowSinceMs};
    }
    const {coldStartMs, coldStartSlots} = this.tuning();
    const cap = Math.max(coldStartSlots, Math.floor(ramp.cap / 2));
    const range = Math.max(1, slots - coldStartSlots);
    const timeShare = Math.sqrt((cap - coldStartSlots) / range);
    const elapsedMs = coldStartMs * timeShare;
    const {smoothedRatio, bestRatio} = ramp;
    return {
      ...rampAt(now - elapsedMs, cap),
      smoothedRatio,
      bestRatio,
    };
  }

  private afterNormalAnswer(
    ramp: Ramp,
    ratio: number,
    slots: number,
    limit: number,
    now: units.MonotonicMs,
  ): Ramp {
    const smoothedRatio = smooth(ramp.smoothedRatio, ratio);
    const next = {
      ...ramp,
      slowInARow: 0,
      slowSinceMs: Infinity,
      normalAnswers: ramp.normalAnswers + 1,
      smoothedRatio,
      bestRatio: ramp.bestRatio
        ? Math.min(ramp.bestRatio, smoothedRatio)
        : smoothedRatio,
    };
    const hasEnoughAnswers = next.normalAnswers >= ramp.cap * ANSWERS_PER_SLOT;
    const isDue = ramp.cap < this.capByTime(ramp, slots, now);
    const isWithinLimit = ramp.cap <= limit;
    if (!hasEnoughAnswers || !isDue || !isWithinLimit) return next;
    return {...next, cap: ramp.cap + 1, normalAnswers: 0};
  }

  /** Quadratic in time, for servers that gain most of their capacity late. */
  private capByTime(ramp: Ramp, slots: number, now: units.MonotonicMs): number {
    const {coldStartMs, coldStartSlots} = this.tuning();
    const timeShare = Math.min(1, (now - ramp.startedMs) / coldStartMs);
    const addedSlots = (slots - coldStartSlots) * timeShare * timeShare;
    return Math.floor(coldStartSlots + addedSlots);
  }
}

function rampAt(startedMs: units.MonotonicMs, cap: number): Ramp {
  const start = {startedMs, cap, normalAnswers: 0};
  const streak = {slowInARow: 0, slowSinceMs: Infinity};
  return {...start, ...streak, smoothedRatio: 0, bestRatio: 0};
}

function smooth(previous: number, ratio: number): number {
  if (previous === 0) return ratio;
  return previous + (ratio - previous) * SMOOTHING_WEIGHT;
}
