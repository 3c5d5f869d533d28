/** Table of calls by id, kept from arrival until some time past the deadline. */
import * as peer from '../../generated/peer.js';
import * as units from '../units.js';
import * as callRecord from './call_record.js';

/**
 * How long a call that is not idempotent is remembered past its deadline, so that a duplicate does
 * not run again. Calls refused on arrival or cancelled before it are remembered for the same time,
 * counted from then.
 */
export const CALL_RETENTION_MS = 30_000;

/** How long an idempotent call is remembered past its deadline. */
const IDEMPOTENT_RETENTION_MS = 1_000;

/** Maximum number of finished calls remembered, per call that may be active. */
const FINISHED_PER_ACTIVE = 8;

/** Maximum number of calls refused on arrival remembered, per call that may be active. */
const REFUSED_PER_ACTIVE = 2;

/** Total size limit of the answer bodies kept for duplicates, in bytes. */
const MAX_ANSWER_BYTES = 4 * 1024 * 1024;

/** Minimum time between two purges. */
const PURGE_INTERVAL_MS = 1_000;

/** Result of a finished or refused call, kept until it expires. */
interface FinishedCall {
  readonly result: callRecord.CallResult;
  readonly expiresMs: units.MonotonicMs;
}

/**
 * Bounded table of calls. A finished call that is not idempotent is never evicted early, because a
 * duplicate of it could then run again.
 */
export class CallTable {
  private readonly active = new Map<string, callRecord.CallRecord>();
  private readonly finished = new Map<string, FinishedCall>();
  /** Ids of the finished calls whose answers are kept, oldest first. */
  private readonly answered = new Set<string>();
  /** Expiry times of calls that were cancelled before their request arrived. */
  private readonly cancelled = new Map<string, units.MonotonicMs>();
  /** Calls refused on arrival, oldest first; a duplicate must not run either. */
  private readonly refused = new Map<string, FinishedCall>();
  private answerBytes = 0;
  private nextPurgeMs: units.MonotonicMs = 0;

  constructor(private readonly maxCalls: number) {}

  /** Calls that have not finished, in order of arrival. */
  get activeRecords(): Iterable<callRecord.CallRecord> {
    return this.active.values();
  }

  /** Number of calls that have not finished. */
  get activeCount(): number {
    return this.active.size;
  }

  /** Whether another call can be added and remembered as long as its class requires. */
  hasCapacity(idempotent: boolean): boolean {
    if (this.active.size >= this.maxCalls) return false;
    return (
      idempotent || this.active.size + this.finished.size < this.maxFinished
    );
  }

  /** Returns the unfinished call with this id, if any. */
  activeCall(callId: string): callRecord.CallRecord | undefined {
    return this.active.get(callId);
  }

  /** Returns the remembered result of the call with this id, if any. */
  resultOf(callId: string): callRecord.CallResult | undefined {
    return (this.finished.get(callId) ?? this.refused.get(callId))?.result;
  }

  /** Adds an active call. */
  add(rec: callRecord.CallRecord): void {
    this.active.set(rec.callId, rec);
  }

  /** Remembers the refusal of a call that was never added; evicts the oldest when full. */
  addRefused(
    callId: string,
    result: callRecord.CallResult,
    now: units.MonotonicMs,
  ): void {
    const expiresMs = now + CALL_RETENTION_MS;
    this.refused.set(callId, {result, expiresMs});
    if (this.refused.size <= this.maxCalls * REFUSED_PER_ACTIVE) return;
    const [oldest] = this.refused.keys();
    this.refused.delete(oldest);
  }

  /** Remembers that a call was cancelled before its request arrived; ignored when full. */
  addCancelled(callId: string, now: units.MonotonicMs): void {
    if (this.cancelled.size >= this.maxCalls) return;
    this.cancelled.set(callId, now + CALL_RETENTION_MS);
  }

  /** Whether the call was cancelled before its request arrived. */
  isCancelled(callId: string): boolean {
    return this.cancelled.has(callId);
  }

  /** Marks a call as finished and keeps its result; its answer may be evicted before it expires. */
  finish(
    rec: callRecord.CallRecord,
    result: callRecord.CallResult,
    now: units.MonotonicMs,
  ): void {
    rec.state = {kind: 'finished'};
    this.active.delete(rec.callId);
    const full = this.finished.size >= this.maxFinished;
    if (full && rec.idempotent) return;
    const expiresMs = Math.max(rec.deadlineMs, now) + retentionOf(rec);
    this.finished.set(rec.callId, {result, expiresMs});
    this.keepAnswer(rec.callId, result);
  }

  /** Removes expired entries, at most once per purge interval. */
  purge(now: units.MonotonicMs): void {
    if (now < this.nextPurgeMs) return;
    this.nextPurgeMs = now + PURGE_INTERVAL_MS;
    for (const [callId, call] of this.finished) {
      if (call.expiresMs <= now) this.deleteFinished(callId, call);
    }
    for (const [callId, call] of this.refused) {
      if (call.expiresMs <= now) this.refused.delete(callId);
    }
    for (const [callId, expiresMs] of this.cancelled) {
      if (expiresMs <= now) this.cancelled.delete(callId);
    }
  }

  private get maxFinished(): number {
    return this.maxCalls * FINISHED_PER_ACTIVE;
  }

  private keepAnswer(callId: string, result: callRecord.CallResult): void {
    if (result.kind !== 'answered') return;
    this.answered.add(callId);
    this.answerBytes += bytesOf(result);
    for (const oldest of this.answered) {
      if (this.answerBytes <= MAX_ANSWER_BYTES) return;
      this.dropAnswer(oldest);
    }
  }

  /** Discards the answer of a finished call but still remembers that the call ran. */
  private dropAnswer(callId: string): void {
    const call = this.finished.get(callId);
    this.answered.delete(callId);
    if (!call) return;
    this.answerBytes -= bytesOf(call.result);
    this.finished.set(callId, {...call, result: RAN_WITHOUT_ANSWER});
  }

  private deleteFinished(callId: string, call: FinishedCall): void {
    if (this.answered.delete(callId)) this.answerBytes -= bytesOf(call.result);
    this.finished.delete(callId);
  }
}

const RAN_WITHOUT_ANSWER: callRecord.CallResult = {
  kind: 'refused',
  detail: {
    reason: peer.RefusalReason.BAD_ANSWER,
    outcome: peer.Outcome.RAN,
  },
};

function retentionOf(rec: callRecord.CallRecord): units.Millis {
  return rec.idempotent ? IDEMPOTENT_RETENTION_MS : CALL_RETENTION_MS;
}

function bytesOf(result: callRecord.CallResult): number {
  return result.kind === 'answered' ? result.answer.body.length : 0;
}
