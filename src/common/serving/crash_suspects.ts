/** Requests that may crash backend servers, shared between nodes. */
import * as suspectRequests from '../quarantine/suspect_requests.js';
import * as units from '../units.js';

/** Time for which a suspicion is kept after the latest death. */
const SUSPICION_TTL_MS: units.Millis = 120_000;

/** Maximum number of suspicions; the oldest is evicted first. */
const MAX_SUSPECTS = 2_000;

/** A request that may have crashed backend servers. */
export interface Suspicion {
  readonly fingerprint: string;
  /** Backend servers that died while they ran it; 0 once it has been answered. */
  readonly deaths: number;
}

/**
 * Counts, for each request fingerprint, the backend servers that died while they ran the request. A
 * complete answer clears a request that merely ran at the time of a crash. Reported suspicions are
 * kept as long as local ones.
 */
export class CrashSuspects {
  private readonly suspects = new suspectRequests.SuspectRequests({
    ttlMs: SUSPICION_TTL_MS,
    count: MAX_SUSPECTS,
  });

  /** Records a death and returns the suspicion to report to other nodes. */
  onDeath(fingerprint: string, now: units.MonotonicMs): Suspicion {
    const {deaths} = this.suspects.onDeath(fingerprint, now);
    return {fingerprint, deaths};
  }

  /** Merges another node's suspicion, or its end; returns whether that changed anything. */
  onReport(suspicion: Suspicion, now: units.MonotonicMs): boolean {
    const {fingerprint, deaths} = suspicion;
    if (deaths === 0) return this.suspects.onSuccess(fingerprint, now);
    const report = {fingerprint, deaths, expiresInMs: SUSPICION_TTL_MS};
    return this.suspects.onReport(report, now);
  }

  /**
   * Records a complete answer, which does not end a quarantine. Returns what to report to other
   * nodes, undefined if the request was not suspect.
   */
  onAnswered(
    fingerprint: string,
    now: units.MonotonicMs,
  ): Suspicion | undefined {
    const isCleared = this.suspects.onSuccess(fingerprint, now);
    return isCleared ? {fingerprint, deaths: 0} : undefined;
  }

  /** Whether a request is quarantined and must not run. */
  isQuarantined(fingerprint: string, now: units.MonotonicMs): boolean {
    return this.suspects.quarantinedForMs(fingerprint, now) > 0;
  }

  /** Returns all suspicions, to synchronise another node. */
  list(now: units.MonotonicMs): readonly Suspicion[] {
    return this.suspects
      .list(now)
      .map(({fingerprint, deaths}) => ({fingerprint, deaths}));
  }
}
