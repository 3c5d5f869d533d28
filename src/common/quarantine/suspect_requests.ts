/** Requests suspected of crashing backend servers, by fingerprint. */
import * as peer from '../../generated/peer.js';
import * as units from '../units.js';

/** Deaths from which a request is quarantined. */
const QUARANTINE_DEATHS = 2;

/** Time after the last death for which a request stays suspect. */
export const SUSPICION_MS = 60_000;

/** Most requests under suspicion. */
const SUSPECTS_BOUND = 1_024;

interface Suspect {
  readonly deaths: number;
  readonly expiresMs: units.MonotonicMs;
}

/** Bounded table of suspect requests; the suspicion of longest standing goes first. */
export class SuspectRequests {
  private readonly suspects = new Map<string, Suspect>();

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
    this.put(fingerprint, {deaths, expiresMs: now + SUSPICION_MS});
    return {fingerprint, deaths, expiresInMs: SUSPICION_MS};
  }

  /** Takes a report of another gate. */
  onReport(report: peer.SuspectReport, now: units.MonotonicMs): void {
    const {fingerprint, deaths} = report;
    if (deaths <= this.deathsOf(fingerprint, now)) return;
    const expiresInMs = Math.min(report.expiresInMs, SUSPICION_MS);
    this.put(fingerprint, {deaths, expiresMs: now + expiresInMs});
  }

  /** Clears a request that ran without harm, unless it has been quarantined meanwhile. */
  onSuccess(fingerprint: string, now: units.MonotonicMs): void {
    if (this.quarantinedForMs(fingerprint, now) > 0) return;
    this.suspects.delete(fingerprint);
  }

  private put(fingerprint: string, suspect: Suspect): void {
    this.suspects.delete(fingerprint);
    this.suspects.set(fingerprint, suspect);
    if (this.suspects.size <= SUSPECTS_BOUND) return;
    const [oldest] = this.suspects.keys();
    this.suspects.delete(oldest);
  }
}
