/** Requests that may crash the backend servers that run them, as nodes tell each other. */
import * as suspectRequests from '../quarantine/suspect_requests.js';
import * as units from '../units.js';

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

/**
 * Counts, for each request by its fingerprint, the backend servers that died while they ran it. A
 * complete answer clears a request that was only nearby. A suspicion that is told lives as long as
 * one that is found.
 */
export class CrashSuspects {
  private readonly suspects = new suspectRequests.SuspectRequests({
    lifeMs: SUSPICION_LIFE_MS,
    count: MAX_SUSPECTS,
  });

  /** Notes a death and returns the suspicion to tell other nodes. */
  onDeath(fingerprint: string, now: units.MonotonicMs): Suspicion {
    const {deaths} = this.suspects.onDeath(fingerprint, now);
    return {fingerprint, deaths};
  }

  /** Takes another node's suspicion; returns whether it says more than was known. */
  onReport(suspicion: Suspicion, now: units.MonotonicMs): boolean {
    const {fingerprint, deaths} = suspicion;
    const report = {fingerprint, deaths, expiresInMs: SUSPICION_LIFE_MS};
    return this.suspects.onReport(report, now);
  }

  /** Notes a complete answer; a quarantined request stays so. */
  onAnswered(fingerprint: string, now: units.MonotonicMs): void {
    this.suspects.onSuccess(fingerprint, now);
  }

  /** Whether a request must not run. */
  isQuarantined(fingerprint: string, now: units.MonotonicMs): boolean {
    return this.suspects.quarantinedForMs(fingerprint, now) > 0;
  }

  /** All suspicions, for a node that knows less. */
  list(now: units.MonotonicMs): readonly Suspicion[] {
    return this.suspects
      .list(now)
      .map(({fingerprint, deaths}) => ({fingerprint, deaths}));
  }
}
