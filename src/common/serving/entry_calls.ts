/** Requests in progress at an entry, with their open attempts. */
import * as units from '../units.js';
import * as entryCall from './entry_call.js';

/** An attempt with the request that it belongs to. */
export interface OwnedAttempt {
  readonly call: entryCall.EntryCall;
  readonly attempt: entryCall.Attempt;
}

/** Finds requests by id and by the number of an attempt. */
export class EntryCalls {
  private readonly calls = new Map<number, entryCall.EntryCall>();
  private readonly callByAttempt = new Map<number, entryCall.EntryCall>();
  private lastAttempt = 0;

  /** Number of requests in progress. */
  get size(): number {
    return this.calls.size;
  }

  /** The requests, see `unended`. */
  get all(): Iterable<entryCall.EntryCall> {
    return this.unended([...this.calls.values()]);
  }

  /** Returns the next time at which a request is given up or hedged, infinity without one. */
  nextDueMs(): units.MonotonicMs {
    let next = Infinity;
    for (const call of this.calls.values()) {
      next = Math.min(next, call.giveUpAtMs, call.hedgeAtMs);
    }
    return next;
  }

  /** Adds a request. */
  add(call: entryCall.EntryCall): void {
    this.calls.set(call.request.id, call);
  }

  /** Returns a request, undefined if it has ended. */
  get(requestId: number): entryCall.EntryCall | undefined {
    return this.calls.get(requestId);
  }

  /** Removes a request and its open attempts, which are returned. */
  remove(call: entryCall.EntryCall): readonly entryCall.Attempt[] {
    this.calls.delete(call.request.id);
    const open = [...call.attempts.values()];
    for (const {nodeId, number} of open) this.endAttempt(nodeId, number);
    return open;
  }

  /** Opens an attempt at a node and returns its number. */
  openAttempt(call: entryCall.EntryCall, nodeId: string): number {
    const number = ++this.lastAttempt;
    call.attempts.set(number, new entryCall.Attempt(number, nodeId));
    this.callByAttempt.set(number, call);
    return number;
  }

  /** Returns an open attempt, undefined if it has ended. */
  findAttempt(nodeId: string, number: number): OwnedAttempt | undefined {
    const call = this.callByAttempt.get(number);
    const attempt = call?.attempts.get(number);
    if (call === undefined || attempt?.nodeId !== nodeId) return undefined;
    return {call, attempt};
  }

  /** Removes an attempt and returns it, undefined if it has ended before. */
  endAttempt(nodeId: string, number: number): OwnedAttempt | undefined {
    const owned = this.findAttempt(nodeId, number);
    if (owned === undefined) return undefined;
    owned.call.attempts.delete(number);
    this.callByAttempt.delete(number);
    return owned;
  }

  /**
   * Yields the requests without those that end while earlier ones are handled: the gate of the same
   * node replies at once, also to other requests.
   */
  private *unended(
    calls: readonly entryCall.EntryCall[],
  ): Generator<entryCall.EntryCall, void> {
    for (const call of calls) {
      if (this.calls.get(call.request.id) === call) yield call;
    }
  }
}
