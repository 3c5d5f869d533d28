/** The calls in progress at an entry, by request, by attempt and by time. */
import * as units from '../units.js';
import * as call from './call.js';
import * as wakeQueue from './wake_queue.js';

/** Calls in progress; an attempt is found from its first sending until it has ended. */
export class CallTable {
  private readonly calls = new Map<string, call.Call>();
  private readonly byAttempt = new Map<string, call.Call>();
  private readonly wakes = new wakeQueue.WakeQueue();

  /** Number of calls in progress. */
  get size(): number {
    return this.calls.size;
  }

  /** Returns a call by its request id. */
  get(requestId: string): call.Call | undefined {
    return this.calls.get(requestId);
  }

  /** Returns the call that an open attempt belongs to. */
  ofAttempt(callId: string): call.Call | undefined {
    return this.byAttempt.get(callId);
  }

  /** Adds a call. */
  add(c: call.Call): void {
    this.calls.set(c.request.requestId, c);
  }

  /** Removes a call with all its attempts. */
  remove(c: call.Call): void {
    this.calls.delete(c.request.requestId);
    this.wakes.delete(c.request.requestId);
    for (const attempt of c.openAttempts) this.removeAttempt(attempt);
  }

  /** Makes an attempt known. */
  addAttempt(c: call.Call, attempt: call.Attempt): void {
    this.byAttempt.set(attempt.callId, c);
  }

  /** Forgets an attempt. */
  removeAttempt(attempt: call.Attempt): void {
    this.byAttempt.delete(attempt.callId);
  }

  /** Notes that the wake-up time of a call may have changed. */
  reschedule(c: call.Call): void {
    const {requestId} = c.request;
    if (this.calls.has(requestId)) this.wakes.set(requestId, c.wakeAtMs);
  }

  /** Returns the earliest wake-up time. */
  nextWakeMs(): units.MonotonicMs | undefined {
    return this.wakes.nextMs();
  }

  /** Removes and returns the next call that is due. */
  takeDue(nowMs: units.MonotonicMs): call.Call | undefined {
    const requestId = this.wakes.takeDue(nowMs);
    return requestId === undefined ? undefined : this.calls.get(requestId);
  }
}
