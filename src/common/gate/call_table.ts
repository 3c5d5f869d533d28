/** Calls by their id, from arrival until well past their deadline. */
import * as peer from '../../generated/peer.js';
import * as units from '../units.js';
import * as record from './call_record.js';

/** Time past its deadline for which a call that must not run twice is remembered. */
export const CALL_MEMORY_MARGIN_MS = 30_000;

/** Time past its deadline for which an idempotent call is remembered. */
const IDEMPOTENT_MARGIN_MS = 1_000;

/** Finished calls remembered for each call that may be in progress. */
const FINISHED_PER_LIVE = 8;

/** Refusals on arrival remembered for each call that may be in progress. */
const REFUSED_PER_LIVE = 2;

/** Most bytes of finished answers kept for calls that are sent again. */
const ANSWER_BYTES_BOUND = 4 * 1024 * 1024;

const PURGE_INTERVAL_MS = 1_000;

/** What is kept of a call after its end. */
interface FinishedCall {
  readonly result: record.CallResult;
  readonly forgetMs: units.MonotonicMs;
}

/** Bounded table of calls; a call that could run twice if forgotten is never evicted. */
export class CallTable {
  private readonly live = new Map<string, record.CallRecord>();
  private readonly finished = new Map<string, FinishedCall>();
  /** Ids of the finished calls whose answers are kept, oldest first. */
  private readonly answered = new Set<string>();
  /** Cancelled calls whose request has not been seen, with the time to forget them. */
  private readonly cancelled = new Map<string, units.MonotonicMs>();
  /** Calls refused on arrival, oldest first: the same call sent twice must not run either. */
  private readonly refused = new Map<string, FinishedCall>();
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

  /** Whether another call can be taken and remembered as long as its class requires. */
  hasRoom(idempotent: boolean): boolean {
    if (this.live.size >= this.bound) return false;
    return (
      idempotent || this.live.size + this.finished.size < this.finishedBound
    );
  }

  /** Returns the call of that id, if it has not finished. */
  liveCall(callId: string): record.CallRecord | undefined {
    return this.live.get(callId);
  }

  /** Returns the result of the call of that id, if it has finished and is remembered. */
  resultOf(callId: string): record.CallResult | undefined {
    return (this.finished.get(callId) ?? this.refused.get(callId))?.result;
  }

  /** Adds a call that has not finished. */
  add(rec: record.CallRecord): void {
    this.live.set(rec.callId, rec);
  }

  /** Remembers the refusal of a call that was never added; of too many, the oldest goes. */
  addRefused(
    callId: string,
    result: record.CallResult,
    now: units.MonotonicMs,
  ): void {
    const forgetMs = now + CALL_MEMORY_MARGIN_MS;
    this.refused.set(callId, {result, forgetMs});
    if (this.refused.size <= this.bound * REFUSED_PER_LIVE) return;
    const [oldest] = this.refused.keys();
    this.refused.delete(oldest);
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
    rec.state = {kind: 'finished'};
    this.live.delete(rec.callId);
    const full = this.finished.size >= this.finishedBound;
    if (full && rec.idempotent) return;
    const forgetMs = Math.max(rec.deadlineMs, now) + marginOf(rec);
    this.finished.set(rec.callId, {result, forgetMs});
    this.keepAnswer(rec.callId, result);
  }

  /** Forgets what nobody can ask for any more. */
  purge(now: units.MonotonicMs): void {
    if (now < this.nextPurgeMs) return;
    this.nextPurgeMs = now + PURGE_INTERVAL_MS;
    for (const [callId, call] of this.finished) {
      if (call.forgetMs <= now) this.forget(callId, call);
    }
    for (const [callId, call] of this.refused) {
      if (call.forgetMs <= now) this.refused.delete(callId);
    }
    for (const [callId, untilMs] of this.cancelled) {
      if (untilMs <= now) this.cancelled.delete(callId);
    }
  }

  private get finishedBound(): number {
    return this.bound * FINISHED_PER_LIVE;
  }

  private keepAnswer(callId: string, result: record.CallResult): void {
    if (result.kind !== 'answered') return;
    this.answered.add(callId);
    this.answerBytes += bytesOf(result);
    for (const oldest of this.answered) {
      if (this.answerBytes <= ANSWER_BYTES_BOUND) return;
      this.dropAnswer(oldest);
    }
  }

  /** Keeps of a finished call just that it ran. */
  private dropAnswer(callId: string): void {
    const call = this.finished.get(callId);
    this.answered.delete(callId);
    if (!call) return;
    this.answerBytes -= bytesOf(call.result);
    this.finished.set(callId, {...call, result: RAN_WITHOUT_ANSWER});
  }

  private forget(callId: string, call: FinishedCall): void {
    if (this.answered.delete(callId)) this.answerBytes -= bytesOf(call.result);
    this.finished.delete(callId);
  }
}

const RAN_WITHOUT_ANSWER: record.CallResult = {
  kind: 'refused',
  detail: {
    reason: peer.RefusalReason.BAD_ANSWER,
    outcome: peer.Outcome.RAN,
  },
};

function marginOf(rec: record.CallRecord): units.Millis {
  return rec.idempotent ? IDEMPOTENT_MARGIN_MS : CALL_MEMORY_MARGIN_MS;
}

function bytesOf(result: record.CallResult): number {
  return result.kind === 'answered' ? result.answer.body.length : 0;
}
