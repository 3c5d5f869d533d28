/** Smoothed utilisation by other entries of the gates of one service in one data centre. */
import * as units from '../units.js';

/** Utilisation assumed of gates without any report. */
export const UNKNOWN_UTILISATION = 0.5;

/** Age at which a smoothed utilisation has half its weight. */
const HALF_LIFE_MS = 10_000;

/** Interval between reports at which the newest has a weight of 0.5 in the smoothed value. */
const SMOOTHING_HALF_LIFE_MS = 500;

/** Lower bound of the weight of a report. */
const MIN_WEIGHT = 0.1;

interface Smoothed {
  readonly value: number;
  readonly atMs: units.MonotonicMs;
}

/** Returns the exponentially decaying weight of a value, 0.5 at the half-life. */
export function weightAtAge(
  ageMs: units.Millis,
  halfLifeMs: units.Millis,
): number {
  return 2 ** (-Math.max(0, ageMs) / halfLifeMs);
}

/** Smoothed utilisation by group; the group updated longest ago is dropped first. */
export class SmoothedUtilisation {
  private readonly groups = new Map<string, Smoothed>();

  constructor(private readonly maxGroups: number) {}

  /** Adds a utilisation reported for a gate of the group. */
  add(group: string, reported: number, nowMs: units.MonotonicMs): void {
    const known = this.groups.get(group);
    const weight = known
      ? Math.max(
          MIN_WEIGHT,
          1 - weightAtAge(nowMs - known.atMs, SMOOTHING_HALF_LIFE_MS),
        )
      : 1;
    const previous = known?.value ?? UNKNOWN_UTILISATION;
    const value = previous + weight * (reported - previous);
    this.groups.delete(group);
    this.groups.set(group, {value, atMs: nowMs});
    if (this.groups.size > this.maxGroups) {
      const [oldest] = this.groups.keys();
      this.groups.delete(oldest);
    }
  }

  /** Returns the estimate, which decays to `UNKNOWN_UTILISATION` with age. */
  of(group: string, nowMs: units.MonotonicMs): number {
    const known = this.groups.get(group);
    if (known === undefined) return UNKNOWN_UTILISATION;
    const weight = weightAtAge(nowMs - known.atMs, HALF_LIFE_MS);
    return UNKNOWN_UTILISATION + weight * (known.value - UNKNOWN_UTILISATION);
  }
}
