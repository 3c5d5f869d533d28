/** Tracks members that failed recently; each is avoided for an exponentially growing time. */
import * as units from '../units.js';

const MIN_AVOIDANCE_MS = 1_000;
const MAX_AVOIDANCE_MS = 30_000;

/** Time without a failure after which earlier failures of a member no longer count. */
const FAILURES_EXPIRE_MS = 60_000;

/** Maximum number of members tracked; the one that failed longest ago is dropped first. */
const MAX_MEMBERS = 4_096;

interface Failures {
  readonly consecutive: number;
  readonly lastMs: units.MonotonicMs;
  readonly avoidedUntilMs: units.MonotonicMs;
}

/** Consecutive failures by member, bounded to the most recent members. */
export class FailureMemory {
  private readonly failures = new Map<string, Failures>();

  /** Records a failure; one while the member is already avoided does not extend the time. */
  onFailure(nodeId: string, nowMs: units.MonotonicMs): void {
    const known = this.failures.get(nodeId);
    if (known !== undefined && nowMs < known.avoidedUntilMs) return;
    const isRecent = known && nowMs - known.lastMs < FAILURES_EXPIRE_MS;
    const consecutive = isRecent ? known.consecutive + 1 : 1;
    const avoidanceMs = Math.min(
      MAX_AVOIDANCE_MS,
      MIN_AVOIDANCE_MS * 2 ** (consecutive - 1),
    );
    this.failures.delete(nodeId);
    this.failures.set(nodeId, {
      consecutive,
      lastMs: nowMs,
      avoidedUntilMs: nowMs + avoidanceMs,
    });
    this.dropOldest();
  }

  /** Clears the failures of a member. */
  onSuccess(nodeId: string): void {
    this.failures.delete(nodeId);
  }

  /** Returns the time until which a member is avoided, undefined if it is not. */
  avoidedUntilMs(
    nodeId: string,
    nowMs: units.MonotonicMs,
  ): units.MonotonicMs | undefined {
    const untilMs = this.failures.get(nodeId)?.avoidedUntilMs;
    return untilMs !== undefined && untilMs > nowMs ? untilMs : undefined;
  }

  private dropOldest(): void {
    if (this.failures.size <= MAX_MEMBERS) return;
    const [oldest] = this.failures.keys();
    this.failures.delete(oldest);
  }
}
