/** The calls in progress at an entry, indexed by request, attempt and wake-up time. */
import * as units from '../units.js';
import * as call from './call.js';
import * as wakeQueue from './wake_queue.js';

/** Index of the calls in progress and of their open attempts. */
export class CallTable {
  private readonly calls = new Map<string, call.Call>();
  private readonly byAttempt = new Map<string, call.Call>();
  private readonly wakeTimes = new wakeQueue.WakeQueue();

  /** Number of calls in progress. */
  get size(): number {
    return this.calls.size;
  }

  get(requestId: string): call.Call | undefined {
    return this.calls.get(requestId);
  }

  /** Returns the call of an open attempt. */
  getByAttempt(callId: string): call.Call | undefined {
    return this.byAttempt.get(callId);
  }

  add(c: call.Call): void {
    this.calls.set(c.request.requestId, c);
  }

  /** Removes a call and its open attempts. */
  remove(c: call.Call): void {
    this.calls.delete(c.request.requestId);
    this.wakeTimes.delete(c.request.requestId);
    for (const attempt of c.openAttempts) this.removeAttempt(attempt);
  }

  /** Indexes an attempt that is about to be sent. */
  addAttempt(c: call.Call, attempt: call.Attempt): void {
    this.byAttempt.set(attempt.callId, c);
  }

  /** Removes an attempt that has ended. */
  removeAttempt(attempt: call.Attempt): void {
    this.byAttempt.delete(attempt.callId);
  }

  /** Updates the wake-up time of a call; does nothing once the call is removed. */
  reschedule(c: call.Call): void {
    const {requestId} = c.request;
    if (this.calls.has(requestId)) this.wakeTimes.set(requestId, c.wakeAtMs);
  }

  /** Returns the earliest wake-up time, undefined without calls. */
  nextWakeMs(): units.MonotonicMs | undefined {
    return this.wakeTimes.nextMs();
  }

  /** Returns the next call that is due and clears its wake-up time. */
  popDue(nowMs: units.MonotonicMs): call.Call | undefined {
    const requestId = this.wakeTimes.popDue(nowMs);
    return requestId === undefined ? undefined : this.calls.get(requestId);
  }
}
