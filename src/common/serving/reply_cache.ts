/** Cache of replies for entries that resend calls over a new link. */
import * as serving from '../../generated/serving.js';
import * as units from '../units.js';
import * as callKey from './call_key.js';

/**
 * Time past the deadline for which a reply is kept: the deadline of a request that may have waited
 * unread is an early estimate, and a resend may be under way when it passes.
 */
const MARGIN_MS: units.Millis = 5_000;

/** Maximum number of replies. */
const MAX_REPLIES = 20_000;

/** Maximum number of entry processes whose forgotten calls are recognized. */
const MAX_PROCESSES = 4_096;

/** Interval at which expired replies are removed. */
const SWEEP_INTERVAL_MS: units.Millis = 1_000;

/** Final reply of a gate to a call. */
export type Reply =
  | {readonly kind: 'answer'; readonly answer: serving.Answer}
  | {readonly kind: 'refusal'; readonly refusal: serving.Refusal};

interface CachedReply {
  readonly reply: Reply;
  readonly untilMs: units.MonotonicMs;
}

/** Reply to a call whose own reply is no longer held. */
const OUTCOME_UNKNOWN: Reply = {
  kind: 'refusal',
  refusal: serving.Refusal.fromPartial({
    reason: serving.Reason.BROKEN,
    mayHaveRun: true,
  }),
};

/** Limits of a `ReplyCache`. */
export interface ReplyCacheLimits {
  /** Most bytes that the headers and bodies of all answers take together. */
  readonly maxBytes: number;
  /** Maximum number of replies, 20,000 by default. */
  readonly maxReplies?: number;
}

/**
 * Caches the replies to ended calls, so that a resent call does not run twice.
 *
 * A resent call never runs again, whatever has been removed: without its answer it gets the reply
 * that it may have run, and so does a call without a reply that is not newer than a removed one of
 * the same entry, since an entry numbers its calls in the order in which it sends them.
 */
export class ReplyCache {
  private readonly replies = new Map<string, CachedReply>();
  /** Bytes of the answers that are held, the oldest first. */
  private readonly answerBytes = new Map<string, number>();
  private usedBytes = 0;
  /** Greatest number of a removed call by entry process. */
  private readonly lastRemoved = new Map<string, number>();
  private sweptMs: units.MonotonicMs = -Infinity;

  constructor(private readonly limits: ReplyCacheLimits) {}

  /** Adds a reply, which is kept as long as its entry may resend the call. */
  add(
    key: string,
    reply: Reply,
    deadlineMs: units.MonotonicMs,
    now: units.MonotonicMs,
  ): void {
    this.dropAnswer(key);
    this.replies.set(key, {reply, untilMs: deadlineMs + MARGIN_MS});
    if (reply.kind === 'answer') this.countAnswer(key, reply.answer);
    this.sweep(now);
    const {maxReplies = MAX_REPLIES} = this.limits;
    for (const oldest of this.replies.keys()) {
      if (this.replies.size <= maxReplies) break;
      this.remove(oldest);
    }
  }

  /** Returns the reply to a call, undefined if the call has not ended here before. */
  get(key: string): Reply | undefined {
    const cached = this.replies.get(key);
    if (cached !== undefined) return cached.reply;
    const {entryProcess, call} = callKey.parse(key);
    const lastRemoved = this.lastRemoved.get(entryProcess) ?? -Infinity;
    return call <= lastRemoved ? OUTCOME_UNKNOWN : undefined;
  }

  /** Removes an answer that is no longer needed; its call is still recognized. */
  discardAnswer(key: string): void {
    const cached = this.replies.get(key);
    if (cached?.reply.kind !== 'answer') return;
    this.replies.set(key, {...cached, reply: OUTCOME_UNKNOWN});
    this.dropAnswer(key);
  }

  /** Removes the answers to calls that are no longer needed. */
  discardAnswers(isUnneeded: (key: string) => boolean): void {
    for (const key of [...this.answerBytes.keys()]) {
      if (isUnneeded(key)) this.discardAnswer(key);
    }
  }

  private countAnswer(key: string, answer: serving.Answer): void {
    const bytes = bytesOf(answer);
    this.answerBytes.set(key, bytes);
    this.usedBytes += bytes;
    for (const oldest of this.answerBytes.keys()) {
      if (this.usedBytes <= this.limits.maxBytes) return;
      this.discardAnswer(oldest);
    }
  }

  private dropAnswer(key: string): void {
    this.usedBytes -= this.answerBytes.get(key) ?? 0;
    this.answerBytes.delete(key);
  }

  private sweep(now: units.MonotonicMs): void {
    if (now - this.sweptMs < SWEEP_INTERVAL_MS) return;
    this.sweptMs = now;
    for (const [key, {untilMs}] of this.replies) {
      if (untilMs <= now) this.remove(key);
    }
  }

  private remove(key: string): void {
    this.dropAnswer(key);
    this.replies.delete(key);
    const {entryProcess, call} = callKey.parse(key);
    const last = this.lastRemoved.get(entryProcess) ?? -Infinity;
    // The process whose calls were removed last is the last one in the map.
    this.lastRemoved.delete(entryProcess);
    this.lastRemoved.set(entryProcess, Math.max(last, call));
    for (const oldest of this.lastRemoved.keys()) {
      if (this.lastRemoved.size <= MAX_PROCESSES) break;
      this.lastRemoved.delete(oldest);
    }
  }
}

function bytesOf({body, headers}: serving.Answer): number {
  return headers.reduce((bytes, text) => bytes + text.length, body.length);
}
