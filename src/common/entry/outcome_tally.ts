/** Combines the outcomes of all attempts of a request. */
import * as peer from '../../generated/peer.js';

/** Collects the outcomes of ended attempts; the combined outcome is `UNKNOWN` if in doubt. */
export class OutcomeTally {
  private ran = false;
  private unknown = false;

  /** Adds the outcome of an attempt that was sent. */
  add(outcome: peer.Outcome): void {
    if (outcome === peer.Outcome.NOT_RUN) return;
    if (outcome === peer.Outcome.RAN) this.ran = true;
    else this.unknown = true;
  }

  /** Returns the outcome of the request; an open attempt might still run. */
  overall(attemptOpen: boolean): peer.Outcome {
    if (this.ran) return peer.Outcome.RAN;
    if (this.unknown || attemptOpen) return peer.Outcome.UNKNOWN;
    return peer.Outcome.NOT_RUN;
  }
}
