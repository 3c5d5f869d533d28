/** Replies kept for entries that ask again over a fresh link. */
import * as serving from '../../generated/serving.js';
import * as units from '../units.js';

/** Time for which a reply is kept; an entry asks again within a second. */
const KEPT_MS: units.Millis = 5_000;

/** Most replies kept; bounds memory under load. */
const MAX_KEPT = 2_000;

/** How a gate ended a call. */
export type Reply =
  | {readonly kind: 'answer'; readonly answer: serving.Answer}
  | {readonly kind: 'refusal'; readonly refusal: serving.Refusal};

interface Kept {
  readonly reply: Reply;
  readonly untilMs: units.MonotonicMs;
}

/** Remembers for a while how calls ended, so that none runs a second time. */
export class FinishedCalls {
  private readonly kept = new Map<string, Kept>();

  /** Keeps a reply. */
  add(key: string, reply: Reply, now: units.MonotonicMs): void {
    this.kept.set(key, {reply, untilMs: now + KEPT_MS});
    this.purge(now);
  }

  /** Returns the reply to a call. */
  replyTo(key: string): Reply | undefined {
    return this.kept.get(key)?.reply;
  }

  private purge(now: units.MonotonicMs): void {
    for (const [key, {untilMs}] of this.kept) {
      if (untilMs > now && this.kept.size <= MAX_KEPT) return;
      this.kept.delete(key);
    }
  }
}
