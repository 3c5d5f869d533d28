/** Age of the last confirmation that this node misses no record of the log. */
import * as units from '../units.js';

/** Largest age on the wire (32 bits); means never. */
export const AGE_NEVER_MS: units.Millis = 0xffff_ffff;

/** The newest confirmation, dated by when the request was sent, not by its response. */
export class LogConfirmation {
  private confirmedMs = Number.NEGATIVE_INFINITY;

  /** Records that the folds included every record appended before `atMs`. */
  confirm(atMs: units.MonotonicMs): void {
    this.confirmedMs = Math.max(this.confirmedMs, atMs);
  }

  /** Returns the age of the newest confirmation, infinite if there is none. */
  ageMs(nowMs: units.MonotonicMs): units.Millis {
    return nowMs - this.confirmedMs;
  }

  /** Returns the age of the newest confirmation for datagrams: rounded up, at most 32 bits. */
  wireAgeMs(nowMs: units.MonotonicMs): units.Millis {
    return Math.min(Math.ceil(this.ageMs(nowMs)), AGE_NEVER_MS);
  }
}
