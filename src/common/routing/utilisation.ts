/** Smoothed utilisation, by other entries, of the gates of one service in one data centre. */
import * as units from '../units.js';

/** Utilisation assumed of gates that nothing is known of. */
export const UNKNOWN_UTILISATION = 0.5;

/** Age at which a smoothed utilisation weighs half. */
const HALF_LIFE_MS = 10_000;

/** Time between reports at which the newest replaces half of what was known. */
const SMOOTHING_MS = 500;

/** Least weight of a report. */
const MIN_WEIGHT = 0.1;

interface Smoothed {
  readonly value: number;
  readonly atMs: units.MonotonicMs;
}

/** Returns the weight of something of the given age, 0.5 at the half-life. */
export function weightAtAge(
  ageMs: units.Millis,
  halfLifeMs: units.Millis,
): number {
  return 2 ** (-Math.max(0, ageMs) / halfLifeMs);
}

/** Utilisation by service and data centre; as many groups as the fleet has. */
export class Utilisation {
  private readonly groups = new Map<string, Smoothed>();

  constructor(private readonly maxGroups: number) {}

  /** Adds the utilisation that a gate of the group reported. */
  add(group: string, reported: number, nowMs: units.MonotonicMs): void {
    const known = this.groups.get(group);
    const weight = known
      ? Math.max(MIN_WEIGHT, 1 - weightAtAge(nowMs - known.atMs, SMOOTHING_MS))
      : 1;
    const before = known?.value ?? UNKNOWN_UTILISATION;
    const value = before + weight * (reported - before);
    this.groups.delete(group);
    this.groups.set(group, {value, atMs: nowMs});
    if (this.groups.size > this.maxGroups) {
      const [oldest] = this.groups.keys();
      this.groups.delete(oldest);
    }
  }

  /** Returns the estimate, which falls back to the unknown with age. */
  of(group: string, nowMs: units.MonotonicMs): number {
    const known = this.groups.get(group);
    if (known === undefined) return UNKNOWN_UTILISATION;
    const weight = weightAtAge(nowMs - known.atMs, HALF_LIFE_MS);
    return UNKNOWN_UTILISATION + weight * (known.value - UNKNOWN_UTILISATION);
  }
}
