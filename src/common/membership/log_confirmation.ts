/** How recently it was confirmed that this node misses no record of the log. */
import * as units from '../units.js';

/** Upper bound of an age on the wire, which stands for never. */
export const AGE_NEVER_MS: units.Millis = 0xffff_ffff;

/** The newest confirmation; it counts from when the question was sent, not from the answer. */
export class LogConfirmation {
  private confirmedMs = Number.NEGATIVE_INFINITY;

  /** Notes that the folds held every record appended before `atMs`. */
  confirm(atMs: units.MonotonicMs): void {
    this.confirmedMs = Math.max(this.confirmedMs, atMs);
  }

  /** Age of the newest confirmation. */
  ageMs(nowMs: units.MonotonicMs): units.Millis {
    return nowMs - this.confirmedMs;
  }

  /** Age of the newest confirmation as datagrams carry it. */
  wireAgeMs(nowMs: units.MonotonicMs): units.Millis {
    return Math.min(Math.ceil(this.ageMs(nowMs)), AGE_NEVER_MS);
  }
}
