/** Members that failed lately and are avoided for a short, growing time. */
import * as units from '../units.js';

const FIRST_AVOIDANCE_MS = 1_000;
const MAX_AVOIDANCE_MS = 30_000;

/** Time without a failure after which a member starts afresh. */
const FORGET_AFTER_MS = 60_000;

/** Most members remembered; the one that failed longest ago is dropped first. */
const MAX_MEMBERS = 4_096;

interface Failures {
  readonly inRow: number;
  readonly lastMs: units.MonotonicMs;
  readonly avoidedUntilMs: units.MonotonicMs;
}

/** Failures of members without a success between, bounded. */
export class FailureMemory {
  private readonly failures = new Map<string, Failures>();

  /** Notes a failure; failures during an avoidance that is in force do not lengthen it. */
  onFailure(nodeId: string, nowMs: units.MonotonicMs): void {
    const known = this.failures.get(nodeId);
    if (known !== undefined && nowMs < known.avoidedUntilMs) return;
    const recent = known && nowMs - known.lastMs < FORGET_AFTER_MS;
    const inRow = recent ? known.inRow + 1 : 1;
    const avoidanceMs = Math.min(
      MAX_AVOIDANCE_MS,
      FIRST_AVOIDANCE_MS * 2 ** (inRow - 1),
    );
    this.failures.delete(nodeId);
    this.failures.set(nodeId, {
      inRow,
      lastMs: nowMs,
      avoidedUntilMs: nowMs + avoidanceMs,
    });
    this.dropOldest();
  }

  /** Notes a success. */
  onSuccess(nodeId: string): void {
    this.failures.delete(nodeId);
  }

  /** Returns the time until which a member is avoided, undefined if it is not. */
  avoidedUntilMs(
    nodeId: string,
    nowMs: units.MonotonicMs,
  ): units.MonotonicMs | undefined {
    const until = this.failures.get(nodeId)?.avoidedUntilMs;
    return until !== undefined && until > nowMs ? until : undefined;
  }

  private dropOldest(): void {
    if (this.failures.size <= MAX_MEMBERS) return;
    const [oldest] = this.failures.keys();
    this.failures.delete(oldest);
  }
}
