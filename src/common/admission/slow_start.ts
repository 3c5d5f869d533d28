/** Ramp of the concurrency of a backend server in cold start, by time and by evidence. */
import * as tuning from '../configuration/tuning.js';
import * as units from '../units.js';

/** Answers at speed that each slot of the present step must have given before the next step. */
const ANSWERS_PER_SLOT = 2;

/** Slowness, relative to the best of this ramp, from which an answer is slow. */
const SLOW_FACTOR = 4;

/** Slow answers, less those at speed, that set the ramp back if the excess lasts. */
const SLOW_EXCESS = 3;

/** Time for which the excess must last; bursts of a noisy neighbour end before it. */
const SLOW_SPELL_MS = 100;

/** Answers after which the smoothed service time may serve as reference. */
const REFERENCE_ANSWERS = 10;

/** Weight of a new answer in the smoothed service time. */
const SMOOTHING_WEIGHT = 0.1;

/** Least reference, in usual service times, which are still learned on a first ramp. */
const REFERENCE_MIN = 0.75;

interface Ramp {
  /** Time from which the steps are counted; later than the true start after a setback. */
  readonly startedMs: units.MonotonicMs;
  readonly cap: number;
  readonly answersAtSpeed: number;
  /** Slow answers less answers at speed, never below 0. */
  readonly slowExcess: number;
  /** Time from which there is an excess. */
  readonly slowSinceMs: units.MonotonicMs;
  /** Answers at speed since the ramp started. */
  readonly answers: number;
  /** Smoothed service time, in usual service times; 0 before the first answer. */
  readonly smoothed: number;
  /** Least smoothed service time on this ramp; it does not follow a server that slows down. */
  readonly reference: number;
}

/** Limits a cold backend server; idle until it is started. */
export class SlowStart {
  private ramp: Ramp | undefined;

  constructor(private readonly tuning: () => tuning.Tuning) {}

  /** Whether a ramp is under way. */
  get isCold(): boolean {
    return this.ramp !== undefined;
  }

  /** Returns the most requests that may be in flight. */
  capFor(slots: number): number {
    return this.ramp ? Math.min(slots, this.ramp.cap) : slots;
  }

  /** Starts the ramp from its foot. */
  restart(now: units.MonotonicMs): void {
    const {coldStartMs, coldStartSlots} = this.tuning();
    this.ramp = coldStartMs === 0 ? undefined : rampAt(now, coldStartSlots);
  }

  /**
   * Takes an answer that took `ratio` usual service times.
   *
   * @returns whether the answer completed the ramp.
   */
  onAnswer(ratio: number, slots: number, now: units.MonotonicMs): boolean {
    if (!this.ramp) return false;
    const {reference} = this.ramp;
    const isSlow = reference > 0 && ratio > reference * SLOW_FACTOR;
    this.ramp = isSlow
      ? this.afterSlow(this.ramp, slots, now)
      : this.afterAtSpeed(this.ramp, ratio, slots, now);
    if (this.ramp.cap < slots) return false;
    this.ramp = undefined;
    return true;
  }

  /** Sets the ramp back: the server failed or shed under the present step. */
  onFailure(slots: number, now: units.MonotonicMs): void {
    if (this.ramp) this.ramp = this.afterSlow(this.ramp, slots, now);
  }

  private afterSlow(ramp: Ramp, slots: number, now: units.MonotonicMs): Ramp {
    const slowExcess = ramp.slowExcess + 1;
    const slowSinceMs = ramp.slowExcess === 0 ? now : ramp.slowSinceMs;
    const lasts = now - slowSinceMs >= SLOW_SPELL_MS;
    if (slowExcess < SLOW_EXCESS || !lasts) {
      return {...ramp, slowExcess, slowSinceMs};
    }
    const {coldStartMs, coldStartSlots} = this.tuning();
    const cap = Math.max(coldStartSlots, Math.floor(ramp.cap / 2));
    const steps = Math.max(1, slots - coldStartSlots);
    const share = Math.sqrt((cap - coldStartSlots) / steps);
    const takenMs = coldStartMs * share;
    const {smoothed, reference, answers} = ramp;
    return {...rampAt(now - takenMs, cap), smoothed, reference, answers};
  }

  private afterAtSpeed(
    ramp: Ramp,
    ratio: number,
    slots: number,
    now: units.MonotonicMs,
  ): Ramp {
    const smoothed = smooth(ramp.smoothed, ratio);
    const next = {
      ...ramp,
      slowExcess: Math.max(0, ramp.slowExcess - 1),
      answers: ramp.answers + 1,
      answersAtSpeed: ramp.answersAtSpeed + 1,
      smoothed,
      reference: referenceAfter(ramp, smoothed),
    };
    const enough = next.answersAtSpeed >= ramp.cap * ANSWERS_PER_SLOT;
    if (!enough || ramp.cap >= this.capByTime(ramp, slots, now)) return next;
    return {...next, cap: ramp.cap + 1, answersAtSpeed: 0};
  }

  /** Grows with the square of the time, for servers whose capacity comes late. */
  private capByTime(ramp: Ramp, slots: number, now: units.MonotonicMs): number {
    const {coldStartMs, coldStartSlots} = this.tuning();
    const share = Math.min(1, (now - ramp.startedMs) / coldStartMs);
    const grown = (slots - coldStartSlots) * share * share;
    return Math.floor(coldStartSlots + grown);
  }
}

function rampAt(startedMs: units.MonotonicMs, cap: number): Ramp {
  const foot = {startedMs, cap, answersAtSpeed: 0, slowExcess: 0};
  return {...foot, slowSinceMs: 0, answers: 0, smoothed: 0, reference: 0};
}

function referenceAfter(ramp: Ramp, smoothed: number): number {
  if (ramp.answers < REFERENCE_ANSWERS) return 0;
  const least = ramp.reference ? Math.min(ramp.reference, smoothed) : smoothed;
  return Math.max(REFERENCE_MIN, least);
}

function smooth(smoothed: number, ratio: number): number {
  if (smoothed === 0) return ratio;
  return smoothed + (ratio - smoothed) * SMOOTHING_WEIGHT;
}
