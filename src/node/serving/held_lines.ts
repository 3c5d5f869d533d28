/** Usual decisions on requests, held until it is known whether the request fails. */
import * as decision from '../../common/serving/decision.js';

/** Most requests whose decisions are held; the oldest is forgotten first. */
const MAX_REQUESTS = 1_000;

/** Most decisions held of one request. */
const MAX_DECISIONS = 16;

/** A decision with its time. */
export interface HeldDecision {
  readonly at: Date;
  readonly decision: decision.Decision;
}

/** Keeps what led to a failure, at the cost of a little memory and no output. */
export class HeldLines {
  private readonly byRequest = new Map<string, HeldDecision[]>();

  /** Holds a decision. */
  hold(requestId: string, held: HeldDecision): void {
    const list = this.byRequest.get(requestId) ?? [];
    if (list.length < MAX_DECISIONS) list.push(held);
    this.byRequest.set(requestId, list);
    if (this.byRequest.size <= MAX_REQUESTS) return;
    const [oldest] = this.byRequest.keys();
    this.byRequest.delete(oldest);
  }

  /** Removes and returns what is held of a request. */
  take(requestId: string): readonly HeldDecision[] {
    const held = this.byRequest.get(requestId) ?? [];
    this.byRequest.delete(requestId);
    return held;
  }
}
