/** Calls by their id, from arrival until well past their deadline. */
import * as peer from '../../generated/peer.js';
import * as units from '../units.js';
import * as record from './call_record.js';

/** Time for which a call is remembered past its deadline. */
export const CALL_MEMORY_MARGIN_MS = 30_000;

/** Most bytes of finished answers kept for calls that are sent again. */
const ANSWER_BYTES_BOUND = 4 * 1024 * 1024;

const PURGE_INTERVAL_MS = 1_000;

/** Bounded table of calls; a call that is still wanted is never evicted. */
export class CallTable {
  private readonly live = new Map<string, record.CallRecord>();
  private readonly finished = new Map<string, record.CallRecord>();
  /** Cancelled calls whose request has not been seen, with the time to forget them. */
  private readonly cancelled = new Map<string, units.MonotonicMs>();
  private answerBytes = 0;
  private nextPurgeMs: units.MonotonicMs = 0;

  constructor(private readonly bound: number) {}

  /** Calls that have not finished, in order of arrival. */
  get liveRecords(): Iterable<record.CallRecord> {
    return this.live.values();
  }

  /** Number of calls that have not finished. */
  get liveCount(): number {
    return this.live.size;
  }

  /** Whether another call can be remembered. */
  get hasRoom(): boolean {
    return this.live.size < this.bound && this.finished.size < this.bound;
  }

  /** Returns the call of that id, if it is remembered. */
  get(callId: string): record.CallRecord | undefined {
    return this.live.get(callId) ?? this.finished.get(callId);
  }

  /** Adds a call that has not finished. */
  add(rec: record.CallRecord): void {
    this.live.set(rec.callId, rec);
  }

  /** Remembers that a call was cancelled before its request was seen. */
  addCancelled(callId: string, now: units.MonotonicMs): void {
    if (this.cancelled.size >= this.bound) return;
    this.cancelled.set(callId, now + CALL_MEMORY_MARGIN_MS);
  }

  /** Whether the call was cancelled before its request was seen. */
  isCancelled(callId: string): boolean {
    return this.cancelled.has(callId);
  }

  /** Moves a call to the finished ones; its answer is kept while there is room for it. */
  finish(
    rec: record.CallRecord,
    result: record.CallResult,
    now: units.MonotonicMs,
  ): void {
    rec.state = {kind: 'finished', result, finishedMs: now};
    this.live.delete(rec.callId);
    this.finished.set(rec.callId, rec);
    this.answerBytes += bytesOf(rec);
    if (this.answerBytes > ANSWER_BYTES_BOUND) this.dropOldestAnswers();
  }

  /** Forgets what nobody can ask for any more. */
  purge(now: units.MonotonicMs): void {
    if (now < this.nextPurgeMs) return;
    this.nextPurgeMs = now + PURGE_INTERVAL_MS;
    for (const rec of this.finished.values()) {
      if (forgetMs(rec) <= now) this.forget(rec);
    }
    for (const [callId, untilMs] of this.cancelled) {
      if (untilMs <= now) this.cancelled.delete(callId);
    }
  }

  /** Keeps of the oldest answers just that the calls ran. */
  private dropOldestAnswers(): void {
    for (const rec of this.finished.values()) {
      if (this.answerBytes <= ANSWER_BYTES_BOUND) return;
      if (rec.state.kind !== 'finished') continue;
      this.answerBytes -= bytesOf(rec);
      rec.state = {...rec.state, result: withoutBody(rec.state.result)};
    }
  }

  private forget(rec: record.CallRecord): void {
    this.answerBytes -= bytesOf(rec);
    this.finished.delete(rec.callId);
  }
}

function forgetMs(rec: record.CallRecord): units.MonotonicMs {
  if (rec.state.kind !== 'finished') return Infinity;
  return Math.max(rec.deadlineMs, rec.state.finishedMs) + CALL_MEMORY_MARGIN_MS;
}

function withoutBody(result: record.CallResult): record.CallResult {
  if (result.kind === 'refused') return result;
  const detail = {
    reason: peer.RefusalReason.BAD_ANSWER,
    outcome: peer.Outcome.RAN,
  };
  return {kind: 'refused', detail};
}

function bytesOf(rec: record.CallRecord): number {
  const {state} = rec;
  if (state.kind !== 'finished' || state.result.kind !== 'answered') return 0;
  return state.result.answer.body.length;
}
