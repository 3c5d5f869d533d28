/** Decides whether the configuration in force is recent enough to admit keys. */
import * as logPosition from '../serving/log_position.js';
import * as units from '../units.js';

/**
 * Largest difference between the two clocks' times since a read that is no jump: time
 * synchronisation slews by at most 0.05%, and reading both clocks takes well under this.
 */
const CLOCK_TOLERANCE_MS: units.Millis = 100;

/** Time without an observation that counts as a pause; timers run every 50 ms. */
const MAX_GAP_MS: units.Millis = 500;

/** A confirmation that no record after `position` had been written. */
export interface Confirmation {
  /** When this node sent its read or its question. */
  readonly sent: units.Instant;
  /** Age that the proof had when the answering peer sent it; 0 for a read of the store. */
  readonly ageMs: units.Millis;
  readonly position: logPosition.LogPosition;
}

/** Why there is no proof. */
export type ProofLoss =
  'start' | 'pause' | 'clock-jump' | 'new-era' | 'expired';

/** Whether there is a proof now. */
export type ProofState =
  | {
      readonly kind: 'valid';
      readonly ageMs: units.Millis;
      readonly position: logPosition.LogPosition;
    }
  | {readonly kind: 'none'; readonly loss: ProofLoss};

/** Settings and dependencies of `FreshnessProof`. */
export interface FreshnessProofOptions {
  /** Age up to which a proof is valid. */
  readonly boundMs: units.Millis;
  /** Position of the newest operators' record in force. */
  inForce(): logPosition.LogPosition;
}

/**
 * Holds when the configuration in force was last confirmed to be the newest. A removed key that the
 * store acknowledged before that time is no longer in force here. Ages count from the sending of a
 * read, as its answer may reflect any later moment.
 */
export class FreshnessProof {
  private proof: Confirmation | undefined;
  /** Confirms a position that is not in force yet. */
  private pending: Confirmation | undefined;
  private observed: units.Instant | undefined;
  /** Reads sent before this time prove nothing. */
  private voidedMs: units.MonotonicMs = -Infinity;
  private loss: ProofLoss = 'start';

  constructor(private readonly options: FreshnessProofOptions) {}

  /** Records that the process runs; voids what was confirmed before a pause or a clock jump. */
  observe(now: units.Instant): void {
    const before = this.observed;
    this.observed = now;
    if (before === undefined) return;
    const gapMs = now.monotonicMs - before.monotonicMs;
    if (hasJumped(before, now)) this.void('clock-jump', now);
    else if (gapMs > MAX_GAP_MS) this.void('pause', now);
  }

  /** Takes a confirmation; ignored if it is no better than the proof held. */
  onConfirmed(confirmation: Confirmation, now: units.Instant): void {
    this.observe(now);
    if (confirmation.sent.monotonicMs < this.voidedMs) return;
    if (hasJumped(confirmation.sent, now)) return;
    this.promote();
    if (originMs(confirmation) > originMs(this.pending)) {
      this.pending = confirmation;
    }
    this.promote();
  }

  /** Returns whether there is a proof, and its age. */
  state(now: units.Instant): ProofState {
    this.observe(now);
    this.promote();
    const {proof} = this;
    if (proof === undefined) return {kind: 'none', loss: this.loss};
    if (proof.position.era !== this.options.inForce().era) {
      return this.lose('new-era');
    }
    // Small jumps between observations may add up.
    if (hasJumped(proof.sent, now)) return this.lose('clock-jump');
    const ageMs = ageOf(proof, now);
    if (ageMs > this.options.boundMs) return this.lose('expired');
    return {kind: 'valid', ageMs, position: proof.position};
  }

  /** Makes the pending confirmation the proof once its position is in force. */
  private promote(): void {
    const {pending} = this;
    if (pending === undefined) return;
    const inForce = this.options.inForce();
    if (pending.position.era < inForce.era) this.pending = undefined;
    if (pending.position.era !== inForce.era) return;
    if (pending.position.offset > inForce.offset) return;
    this.pending = undefined;
    const replaces =
      this.proof?.position.era !== inForce.era ||
      originMs(pending) > originMs(this.proof);
    if (replaces) this.proof = pending;
  }

  private void(loss: ProofLoss, now: units.Instant): void {
    this.voidedMs = now.monotonicMs;
    this.pending = undefined;
    if (this.proof !== undefined) this.lose(loss);
  }

  private lose(loss: ProofLoss): ProofState {
    this.proof = undefined;
    this.loss = loss;
    return {kind: 'none', loss};
  }
}

/** Whether the clocks disagree on the time between two instants. */
function hasJumped(from: units.Instant, to: units.Instant): boolean {
  const wallMs = to.epochMs - from.epochMs;
  const monotonicMs = to.monotonicMs - from.monotonicMs;
  return Math.abs(wallMs - monotonicMs) > CLOCK_TOLERANCE_MS;
}

/** Age by the clock that has run further, as the other one may have been stopped. */
function ageOf({sent, ageMs}: Confirmation, now: units.Instant): units.Millis {
  const wallMs = now.epochMs - sent.epochMs;
  return ageMs + Math.max(wallMs, now.monotonicMs - sent.monotonicMs);
}

function originMs(confirmation: Confirmation | undefined): units.MonotonicMs {
  if (confirmation === undefined) return -Infinity;
  return confirmation.sent.monotonicMs - confirmation.ageMs;
}
