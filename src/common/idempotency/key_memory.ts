/** Idempotency keys that a gate accounts for, with their state, for a bounded time. */
import * as peer from '../../generated/peer.js';
import * as record from '../gate/call_record.js';
import * as units from '../units.js';

/** Age from which a key is no longer run when it is not remembered. */
export const KEY_WINDOW_MS = 600_000;

/** Bound on the difference between the clocks of callers and nodes. */
export const CLOCK_SKEW_MS = 1_000;

/** Time for which a key is remembered: past the end of its window by any clock. */
const KEY_MEMORY_MS = KEY_WINDOW_MS + 2 * CLOCK_SKEW_MS;

/** Most bytes of answers kept; the oldest are reduced to the fact that the request ran. */
const ANSWER_BYTES_BOUND = 8 * 1024 * 1024;

const PURGE_INTERVAL_MS = 1_000;

/** What is known of a key's request. */
export type KeyState =
  /** It waits or runs; nothing is decided. */
  | {readonly kind: 'running'; readonly callId: string}
  | {readonly kind: 'finished'; readonly answer: record.ServerAnswer}
  /** It ran; the answer is no longer kept. */
  | {readonly kind: 'ran'}
  /** It may have run. */
  | {readonly kind: 'unknown'};

/** A remembered key. */
export interface KeyRecord {
  readonly key: string;
  readonly fingerprint: string;
  readonly state: KeyState;
  readonly sinceMs: units.MonotonicMs;
}

/** Memory of keys; a key is never evicted before its time. */
export class KeyMemory {
  private readonly records = new Map<string, KeyRecord>();
  /** Keys whose answers are kept, oldest first. */
  private readonly answered = new Set<string>();
  private answerBytes = 0;
  private nextPurgeMs: units.MonotonicMs = 0;

  constructor(private readonly bound: number) {}

  /** Number of keys remembered. */
  get size(): number {
    return this.records.size;
  }

  /** Returns a remembered key. */
  get(key: string): KeyRecord | undefined {
    return this.records.get(key);
  }

  /** All remembered keys. */
  all(): Iterable<KeyRecord> {
    return this.records.values();
  }

  /** Remembers that a call accounts for a key, or returns false if the memory is full. */
  begin(
    key: string,
    fingerprint: string,
    callId: string,
    now: units.MonotonicMs,
  ): boolean {
    if (this.records.size >= this.bound) return false;
    const state = {kind: 'running', callId} as const;
    this.records.set(key, {key, fingerprint, state, sinceMs: now});
    return true;
  }

  /** Remembers what became of a key's request. */
  settle(key: string, state: KeyState): void {
    const found = this.records.get(key);
    if (!found) return;
    this.forgetAnswer(key);
    this.records.set(key, {...found, state});
    if (state.kind === 'finished') this.keepAnswer(key, state.answer);
  }

  /** Forgets a key whose request did not run. */
  release(key: string): void {
    this.forgetAnswer(key);
    this.records.delete(key);
  }

  /** Takes a key from a former home, unless more is known of it here; false if there is no room. */
  import(entry: peer.KeyEntry, now: units.MonotonicMs): boolean {
    const known = this.records.get(entry.key);
    if (known && (known.state.kind !== 'unknown' || !entry.answer)) return true;
    if (!known && this.records.size >= this.bound) return false;
    const {key, fingerprint} = entry;
    const sinceMs = now - entry.ageMs;
    this.records.set(key, {key, fingerprint, sinceMs, state: UNKNOWN});
    if (entry.answer) this.settle(key, stateOf(entry.answer));
    return true;
  }

  /** Forgets keys whose time is over; running ones stay. */
  purge(now: units.MonotonicMs): void {
    if (now < this.nextPurgeMs) return;
    this.nextPurgeMs = now + PURGE_INTERVAL_MS;
    for (const {key, state, sinceMs} of this.records.values()) {
      if (state.kind === 'running' || now - sinceMs < KEY_MEMORY_MS) continue;
      this.release(key);
    }
  }

  private keepAnswer(key: string, answer: record.ServerAnswer): void {
    this.answered.add(key);
    this.answerBytes += answer.body.length;
    for (const oldest of this.answered) {
      if (this.answerBytes <= ANSWER_BYTES_BOUND) return;
      this.settle(oldest, {kind: 'ran'});
    }
  }

  private forgetAnswer(key: string): void {
    const state = this.records.get(key)?.state;
    if (state?.kind !== 'finished') return;
    this.answered.delete(key);
    this.answerBytes -= state.answer.body.length;
  }
}

const UNKNOWN: KeyState = {kind: 'unknown'};

function stateOf(answer: peer.CallAnswer): KeyState {
  const {status, headers, body} = answer;
  return {kind: 'finished', answer: {status, headers, body, replayed: false}};
}
