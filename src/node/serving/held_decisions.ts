/** Holds routine decisions on requests in case the request fails. */
import * as decision from '../../common/serving/decision.js';

/** Limit of requests with held decisions; the oldest is dropped first. */
const MAX_REQUESTS = 1_000;

/** Limit of decisions held for one request; later ones are dropped. */
const MAX_DECISIONS = 16;

/** A decision and when it was made. */
export interface HeldDecision {
  readonly at: Date;
  readonly decision: decision.Decision;
}

/** Routine decisions by request id, in bounded memory; logged only if the request fails. */
export class HeldDecisions {
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

  /** Removes and returns the decisions held for a request. */
  take(requestId: string): readonly HeldDecision[] {
    const held = this.byRequest.get(requestId) ?? [];
    this.byRequest.delete(requestId);
    return held;
  }
}
