/** Requests that an entry has sent over a link and whose outcome has not come. */
import * as units from '../../common/units.js';
import * as serving from '../../generated/serving.js';

/** Time for which withdrawals are sent again over a new connection. */
const WITHDRAWAL_RESEND_MS: units.Millis = 10_000;

class PendingRequest {
  /** Whether the entry was told that the gate is silent. */
  isOutcomeUnknown = false;

  constructor(
    readonly dispatch: serving.Dispatch,
    readonly sentMs: units.MonotonicMs,
  ) {}
}

/** Requests without an outcome in the order in which they were sent. */
export class PendingRequests {
  private readonly requests = new Map<number, PendingRequest>();

  get size(): number {
    return this.requests.size;
  }

  /** Time at which the oldest request was sent, undefined without one. */
  get oldestSentMs(): units.MonotonicMs | undefined {
    const [oldest] = this.requests.values();
    return oldest?.sentMs;
  }

  /** Adds a request. */
  add(dispatch: serving.Dispatch, now: units.MonotonicMs): void {
    this.requests.set(dispatch.call, new PendingRequest(dispatch, now));
  }

  /** Removes a request; returns false if it had ended before. */
  delete(call: number): boolean {
    return this.requests.delete(call);
  }

  /** Removes all requests and returns their numbers. */
  takeAll(): readonly number[] {
    const calls = [...this.requests.keys()];
    this.requests.clear();
    return calls;
  }

  /** The requests at the time of the call. */
  get dispatches(): readonly serving.Dispatch[] {
    return [...this.requests.values()].map(({dispatch}) => dispatch);
  }

  /** Marks that the outcome of a request is unknown; returns false if it was marked before. */
  markUnknown(call: number): boolean {
    const request = this.requests.get(call);
    if (request === undefined || request.isOutcomeUnknown) return false;
    request.isOutcomeUnknown = true;
    return true;
  }

  /** Removes the marks of unknown outcomes and returns the requests that had one. */
  takeUnknown(): readonly number[] {
    const calls: number[] = [];
    for (const [call, request] of this.requests) {
      if (request.isOutcomeUnknown) calls.push(call);
      request.isOutcomeUnknown = false;
    }
    return calls;
  }

  /** Returns the messages that send all requests again, with the time that is left to them. */
  resends(now: units.MonotonicMs): readonly serving.Dispatch[] {
    return [...this.requests.values()].map(({dispatch, sentMs}) => {
      const elapsedMs = Math.floor(now - sentMs);
      const {timeLeftMs, objectiveLeftMs, startLeftMs} = dispatch;
      return {
        ...dispatch,
        timeLeftMs: Math.max(1, timeLeftMs - elapsedMs),
        objectiveLeftMs: Math.max(0, objectiveLeftMs - elapsedMs),
        startLeftMs: startLeftMs && Math.max(0, startLeftMs - elapsedMs),
      };
    });
  }
}

/** Requests withdrawn lately, of which the gate may not have been told over a lost connection. */
export class RecentWithdrawals {
  private readonly withdrawnMs = new Map<number, units.MonotonicMs>();

  /** Numbers of the requests, the oldest first. */
  get calls(): readonly number[] {
    return [...this.withdrawnMs.keys()];
  }

  /** Adds a request and removes old ones. */
  add(call: number, now: units.MonotonicMs): void {
    this.withdrawnMs.set(call, now);
    for (const [oldest, withdrawnMs] of this.withdrawnMs) {
      if (now - withdrawnMs <= WITHDRAWAL_RESEND_MS) return;
      this.withdrawnMs.delete(oldest);
    }
  }

  /** Removes all requests. */
  clear(): void {
    this.withdrawnMs.clear();
  }
}
