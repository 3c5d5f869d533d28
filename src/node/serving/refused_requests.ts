/** Requests that the backend server refused and that may come back. */
import * as units from '../../common/units.js';

/** Most requests remembered; callers that come back do so within seconds. */
const MAX_REQUESTS = 10_000;

/** Remembers refused requests until their deadlines, the newest ones if there are many. */
export class RefusedRequests {
  /** Deadlines by request id, the latest refusal last. */
  private readonly deadlines = new Map<string, units.MonotonicMs>();

  /** Number of requests remembered. */
  get size(): number {
    return this.deadlines.size;
  }

  /** Whether a request was refused. */
  has(requestId: string): boolean {
    return this.deadlines.has(requestId);
  }

  /** Adds a refused request. */
  add(
    requestId: string,
    deadlineMs: units.MonotonicMs,
    now: units.MonotonicMs,
  ): void {
    this.deadlines.delete(requestId);
    this.deadlines.set(requestId, deadlineMs);
    for (const [oldest, oldestDeadlineMs] of this.deadlines) {
      if (oldestDeadlineMs > now && this.size <= MAX_REQUESTS) break;
      this.deadlines.delete(oldest);
    }
  }
}
