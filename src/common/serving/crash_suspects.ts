/** Requests that may crash the backend servers that run them. */
import * as units from '../units.js';

/** Deaths from which a request is sent to no further backend server. */
const QUARANTINE_DEATHS = 2;

/** Time for which a suspicion holds after its newest death. */
const SUSPICION_LIFE_MS: units.Millis = 120_000;

/** Most requests under suspicion; the oldest is forgotten first. */
const MAX_SUSPECTS = 2_000;

/** A request under suspicion. */
export interface Suspicion {
  readonly fingerprint: string;
  /** Backend servers that died while they ran it. */
  readonly deaths: number;
}

interface Entry {
  readonly deaths: number;
  readonly untilMs: units.MonotonicMs;
}

/**
 * Counts, for each request by its fingerprint, the backend servers that died while they ran it. A
 * complete answer clears a request that was only nearby.
 */
export class CrashSuspects {
  private readonly entries = new Map<string, Entry>();

  /** Notes a death and returns the suspicion to tell other nodes. */
  onDeath(fingerprint: string, now: units.MonotonicMs): Suspicion {
    const deaths = this.deathsOf(fingerprint, now) + 1;
    this.put(fingerprint, deaths, now);
    return {fingerprint, deaths};
  }

  /** Takes another node's suspicion; returns whether it says more than was known. */
  onReport(suspicion: Suspicion, now: units.MonotonicMs): boolean {
    const {fingerprint, deaths} = suspicion;
    if (deaths <= this.deathsOf(fingerprint, now)) return false;
    this.put(fingerprint, deaths, now);
    return true;
  }

  /** Notes a complete answer; a quarantined request stays so. */
  onAnswered(fingerprint: string, now: units.MonotonicMs): void {
    if (!this.isQuarantined(fingerprint, now)) this.entries.delete(fingerprint);
  }

  /** Whether a request must not run. */
  isQuarantined(fingerprint: string, now: units.MonotonicMs): boolean {
    return this.deathsOf(fingerprint, now) >= QUARANTINE_DEATHS;
  }

  /** Backend servers that died while they ran the request. */
  deathsOf(fingerprint: string, now: units.MonotonicMs): number {
    const entry = this.entries.get(fingerprint);
    return entry !== undefined && entry.untilMs > now ? entry.deaths : 0;
  }

  /** All suspicions, for a node that knows less. */
  list(now: units.MonotonicMs): readonly Suspicion[] {
    return [...this.entries]
      .filter(([, entry]) => entry.untilMs > now)
      .map(([fingerprint, {deaths}]) => ({fingerprint, deaths}));
  }

  private put(
    fingerprint: string,
    deaths: number,
    now: units.MonotonicMs,
  ): void {
    this.entries.delete(fingerprint);
    this.entries.set(fingerprint, {deaths, untilMs: now + SUSPICION_LIFE_MS});
    if (this.entries.size <= MAX_SUSPECTS) return;
    const [oldest] = this.entries.keys();
    this.entries.delete(oldest);
  }
}
