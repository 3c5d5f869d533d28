/** Tracks requests suspected of crashing backend servers, by fingerprint. */
import * as peer from '../../generated/peer.js';
import * as units from '../units.js';

/** Number of deaths at which a request is quarantined. */
const MIN_QUARANTINE_DEATHS = 2;

/** Default time for which a request stays suspect after the last death. */
export const SUSPICION_TTL_MS = 60_000;

/** Default bound of the number of suspect requests. */
const MAX_SUSPECTS = 1_024;

/** Bounds of a `SuspectRequests` table. */
export interface SuspectBounds {
  /** Time for which a request stays suspect after the last death. */
  readonly ttlMs: units.Millis;
  /** Maximum number of suspect requests. */
  readonly count: number;
}

const DEFAULT_BOUNDS: SuspectBounds = {
  ttlMs: SUSPICION_TTL_MS,
  count: MAX_SUSPECTS,
};

interface Suspect {
  readonly deaths: number;
  readonly expiresMs: units.MonotonicMs;
}

/**
 * Bounded table of suspect requests; the one updated longest ago is dropped first. A death is a
 * backend server that died while it ran the request.
 */
export class SuspectRequests {
  private readonly suspects = new Map<string, Suspect>();

  constructor(private readonly bounds = DEFAULT_BOUNDS) {}

  /** Number of suspect requests, including expired ones that were not removed yet. */
  get size(): number {
    return this.suspects.size;
  }

  /** Returns the known deaths of backend servers that ran the request. */
  deathsOf(fingerprint: string, now: units.MonotonicMs): number {
    const suspect = this.suspects.get(fingerprint);
    if (!suspect) return 0;
    if (suspect.expiresMs > now) return suspect.deaths;
    this.suspects.delete(fingerprint);
    return 0;
  }

  /** Returns the remaining quarantine time of the request, 0 if it is not quarantined. */
  quarantinedForMs(fingerprint: string, now: units.MonotonicMs): units.Millis {
    if (this.deathsOf(fingerprint, now) < MIN_QUARANTINE_DEATHS) return 0;
    const expiresMs = this.suspects.get(fingerprint)?.expiresMs ?? now;
    return expiresMs - now;
  }

  /** Records a death; returns the report to send to other gates. */
  onDeath(fingerprint: string, now: units.MonotonicMs): peer.SuspectReport {
    const deaths = this.deathsOf(fingerprint, now) + 1;
    const {ttlMs} = this.bounds;
    this.put(fingerprint, {deaths, expiresMs: now + ttlMs});
    return {fingerprint, deaths, expiresInMs: ttlMs};
  }

  /** Handles a report from another gate; returns whether it has more deaths than known. */
  onReport(report: peer.SuspectReport, now: units.MonotonicMs): boolean {
    const {fingerprint, deaths} = report;
    if (deaths <= this.deathsOf(fingerprint, now)) return false;
    const expiresInMs = Math.min(report.expiresInMs, this.bounds.ttlMs);
    this.put(fingerprint, {deaths, expiresMs: now + expiresInMs});
    return true;
  }

  /** Returns all suspect requests with their remaining time. */
  list(now: units.MonotonicMs): readonly peer.SuspectReport[] {
    return [...this.suspects]
      .filter(([, {expiresMs}]) => expiresMs > now)
      .map(([fingerprint, {deaths, expiresMs}]) => ({
        fingerprint,
        deaths,
        expiresInMs: expiresMs - now,
      }));
  }

  /**
   * Clears a request that ran without a death, unless it has been quarantined meanwhile; returns
   * whether it was suspect until now.
   */
  onSuccess(fingerprint: string, now: units.MonotonicMs): boolean {
    if (this.quarantinedForMs(fingerprint, now) > 0) return false;
    return this.suspects.delete(fingerprint);
  }

  private put(fingerprint: string, suspect: Suspect): void {
    this.suspects.delete(fingerprint);
    this.suspects.set(fingerprint, suspect);
    if (this.suspects.size <= this.bounds.count) return;
    const [oldest] = this.suspects.keys();
    this.suspects.delete(oldest);
  }
}
