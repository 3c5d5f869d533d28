/** Cache of replies for entries that resend calls over a new link. */
import * as serving from '../../generated/serving.js';
import * as units from '../units.js';

/** Time for which a reply is cached; an entry resends within a second. */
const REPLY_TTL_MS: units.Millis = 5_000;

/** Maximum number of cached replies; bounds memory under load. */
const MAX_REPLIES = 2_000;

/** Final reply of a gate to a call. */
export type Reply =
  | {readonly kind: 'answer'; readonly answer: serving.Answer}
  | {readonly kind: 'refusal'; readonly refusal: serving.Refusal};

interface CachedReply {
  readonly reply: Reply;
  readonly untilMs: units.MonotonicMs;
}

/** Caches the replies to ended calls, so that a resent call does not run twice. */
export class ReplyCache {
  private readonly replies = new Map<string, CachedReply>();

  /** Adds a reply and evicts expired ones. */
  add(key: string, reply: Reply, now: units.MonotonicMs): void {
    this.replies.set(key, {reply, untilMs: now + REPLY_TTL_MS});
    this.evict(now);
  }

  /** Returns the reply to a call, undefined if it is not cached. */
  get(key: string): Reply | undefined {
    return this.replies.get(key)?.reply;
  }

  private evict(now: units.MonotonicMs): void {
    for (const [key, {untilMs}] of this.replies) {
      if (untilMs > now && this.replies.size <= MAX_REPLIES) return;
      this.replies.delete(key);
    }
  }
}
