/** Replies that were sent to entries but may not have been received. */
import * as units from '../units.js';
import * as callKey from './call_key.js';
import * as lostLink from './lost_link.js';

/** Interval at which replies past their deadlines are removed. */
const SWEEP_INTERVAL_MS: units.Millis = 1_000;

/**
 * Time after the end of a link by both sides in which an entry that has not read a reply connects
 * anew and asks for it: the entry may have given up the link by itself, with frames under way.
 */
const CONFIRM_MS: units.Millis = 500;

interface SentReply {
  /** Link that the reply was written to; undefined once that is lost, or if there was none. */
  readonly linkId: number | undefined;
  readonly lostLink: lostLink.LostLink | undefined;
  readonly deadlineMs: units.MonotonicMs;
  /** Time at which the end of the link confirms that the reply was read. */
  readonly confirmedMs?: units.MonotonicMs;
}

/**
 * Follows replies until their deadlines. A reply that was written to a link may be lost with it;
 * only the end of the link by the entry, after this node has ended its side and the entry has not
 * asked for the reply again, confirms that it was read.
 */
export class SentReplies {
  private readonly replies = new Map<string, SentReply>();
  private sweptMs: units.MonotonicMs = -Infinity;

  /** @param isEntryUp whether another link shows that a process of an entry runs. */
  constructor(private readonly isEntryUp: (entryProcess: string) => boolean) {}

  /** Handles a reply, which is written to a link unless that is undefined. */
  onReply(
    key: string,
    linkId: number | undefined,
    deadlineMs: units.MonotonicMs,
    now: units.MonotonicMs,
  ): void {
    const lost = linkId === undefined ? {lostMs: now} : undefined;
    this.replies.set(key, {linkId, lostLink: lost, deadlineMs});
    this.sweep(now);
  }

  /** Handles a reply that is written once more, over another link. */
  onRepeated(key: string, linkId: number): void {
    const reply = this.replies.get(key);
    if (reply === undefined || linkId < (reply.linkId ?? 0)) return;
    const {deadlineMs} = reply;
    this.replies.set(key, {linkId, lostLink: undefined, deadlineMs});
  }

  /** Handles the loss of a link: its replies may not have been read. */
  onLinkLost(
    linkId: number,
    now: units.MonotonicMs,
    confirmedMs = Infinity,
  ): void {
    for (const [key, {linkId: sentOver, deadlineMs}] of this.replies) {
      if (sentOver !== linkId) continue;
      const lost = {lostMs: now};
      this.replies.set(key, {
        linkId: undefined,
        lostLink: lost,
        deadlineMs,
        confirmedMs,
      });
    }
  }

  /** Handles the end of a link by both sides. */
  onLinkEnded(linkId: number, now: units.MonotonicMs): void {
    this.onLinkLost(linkId, now, now + CONFIRM_MS);
  }

  /** Removes a reply that its entry no longer awaits. */
  delete(key: string): void {
    this.replies.delete(key);
  }

  /** Removes replies that their entries no longer await. */
  deleteAll(isUnneeded: (key: string) => boolean): void {
    for (const key of this.replies.keys()) {
      if (isUnneeded(key)) this.replies.delete(key);
    }
  }

  /** Returns the number of replies that were lost and that their entries may still ask for. */
  lostCount(now: units.MonotonicMs): number {
    let count = 0;
    for (const [key, reply] of this.replies) {
      if (reply.lostLink && this.isAwaited(key, reply, now)) count++;
    }
    return count;
  }

  /** Returns the links that were written replies which may be unread. */
  unconfirmedLinks(now: units.MonotonicMs): ReadonlySet<number> {
    const links = new Set<number>();
    for (const {linkId, deadlineMs} of this.replies.values()) {
      if (linkId !== undefined && deadlineMs > now) links.add(linkId);
    }
    return links;
  }

  private isAwaited(
    key: string,
    {lostLink: lost, deadlineMs, confirmedMs = Infinity}: SentReply,
    now: units.MonotonicMs,
  ): boolean {
    if (Math.min(deadlineMs, confirmedMs) <= now) return false;
    if (lost && lostLink.expiryMs(lost) > now) return true;
    return this.isEntryUp(callKey.parse(key).entryProcess);
  }

  private sweep(now: units.MonotonicMs): void {
    if (now - this.sweptMs < SWEEP_INTERVAL_MS) return;
    this.sweptMs = now;
    for (const [key, {deadlineMs}] of this.replies) {
      if (deadlineMs <= now) this.replies.delete(key);
    }
  }
}
