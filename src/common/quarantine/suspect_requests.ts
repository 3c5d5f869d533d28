/** Requests suspected of crashing backend servers, by fingerprint. */
import * as peer from '../../generated/peer.js';
import * as units from '../units.js';

/** Deaths from which a request is quarantined. */
const QUARANTINE_DEATHS = 2;

/** Time after the last death for which a request stays suspect. */
export const SUSPICION_MS = 60_000;

/** Most requests under suspicion. */
const SUSPECTS_BOUND = 1_024;

/** Bounds of a table of suspects. */
export interface SuspectBounds {
  /** Time after the newest death for which a request stays suspect. */
  readonly lifeMs: units.Millis;
  /** Most requests under suspicion. */
  readonly count: number;
}

const DEFAULT_BOUNDS: SuspectBounds = {
  lifeMs: SUSPICION_MS,
  count: SUSPECTS_BOUND,
};

interface Suspect {
  readonly deaths: number;
  readonly expiresMs: units.MonotonicMs;
}

/** Bounded table of suspect requests; the suspicion of longest standing goes first. */
export class SuspectRequests {
  private readonly suspects = new Map<string, Suspect>();

  constructor(private readonly bounds = DEFAULT_BOUNDS) {}

  /** Number of requests under suspicion. */
  get size(): number {
    return this.suspects.size;
  }

  /** Deaths of backend servers that ran the request, as far as known. */
  deathsOf(fingerprint: string, now: units.MonotonicMs): number {
    const suspect = this.suspects.get(fingerprint);
    if (!suspect) return 0;
    if (suspect.expiresMs > now) return suspect.deaths;
    this.suspects.delete(fingerprint);
    return 0;
  }

  /** Time for which the request is quarantined, 0 if it is not. */
  quarantinedForMs(fingerprint: string, now: units.MonotonicMs): units.Millis {
    if (this.deathsOf(fingerprint, now) < QUARANTINE_DEATHS) return 0;
    const expiresMs = this.suspects.get(fingerprint)?.expiresMs ?? now;
    return expiresMs - now;
  }

  /** Takes note that a backend server died while it ran the request. */
  onDeath(fingerprint: string, now: units.MonotonicMs): peer.SuspectReport {
    const deaths = this.deathsOf(fingerprint, now) + 1;
    const {lifeMs} = this.bounds;
    this.put(fingerprint, {deaths, expiresMs: now + lifeMs});
    return {fingerprint, deaths, expiresInMs: lifeMs};
  }

  /** Takes a report of another gate; returns whether it says more than was known. */
  onReport(report: peer.SuspectReport, now: units.MonotonicMs): boolean {
    const {fingerprint, deaths} = report;
    if (deaths <= this.deathsOf(fingerprint, now)) return false;
    const expiresInMs = Math.min(report.expiresInMs, this.bounds.lifeMs);
    this.put(fingerprint, {deaths, expiresMs: now + expiresInMs});
    return true;
  }

  /** All requests under suspicion, with the time left. */
  list(now: units.MonotonicMs): readonly peer.SuspectReport[] {
    return [...this.suspects]
      .filter(([, {expiresMs}]) => expiresMs > now)
      .map(([fingerprint, {deaths, expiresMs}]) => ({
        fingerprint,
        deaths,
        expiresInMs: expiresMs - now,
      }));
  }

  /** Clears a request that ran without harm, unless it has been quarantined meanwhile. */
  onSuccess(fingerprint: string, now: units.MonotonicMs): void {
    if (this.quarantinedForMs(fingerprint, now) > 0) return;
    this.suspects.delete(fingerprint);
  }

  private put(fingerprint: string, suspect: Suspect): void {
    this.suspects.delete(fingerprint);
    this.suspects.set(fingerprint, suspect);
    if (this.suspects.size <= this.bounds.count) return;
    const [oldest] = this.suspects.keys();
    this.suspects.delete(oldest);
  }
}
