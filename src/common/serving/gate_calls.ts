/** The requests at a gate without a reply, and the links that their replies go to. */
import * as units from '../units.js';
import * as callKey from './call_key.js';
import * as gateCall from './gate_call.js';
import * as gateCapacity from './gate_capacity.js';
import * as gateTimeouts from './gate_timeouts.js';

/** Requests in progress by key. */
export class GateCalls {
  private readonly calls = new Map<string, gateCall.GateCall>();

  /** @param isEntryUp whether another link shows that a process of an entry runs. */
  constructor(private readonly isEntryUp: (entryProcess: string) => boolean) {}

  /** Number of requests. */
  get size(): number {
    return this.calls.size;
  }

  /** The requests, see `unended`. */
  get all(): Iterable<gateCall.GateCall> {
    return this.unended([...this.calls.values()]);
  }

  /** Returns the requests whose entry's process has ended, see `callKey.isSucceeded`. */
  succeededBy(
    nodeId: string,
    startedMs: units.EpochMs,
  ): Iterable<gateCall.GateCall> {
    const succeeded = [...this.calls.values()].filter(({key}) => {
      const {entryProcess} = callKey.parse(key);
      return callKey.isSucceeded(entryProcess, nodeId, startedMs);
    });
    return this.unended(succeeded);
  }

  /**
   * Yields the requests without those that end while earlier ones are handled: the entry of the
   * same node learns of a reply at once and may send a request, which starts or ends others.
   */
  *unended(
    calls: readonly gateCall.GateCall[],
  ): Generator<gateCall.GateCall, void> {
    for (const call of calls) {
      if (this.calls.get(call.key) === call) yield call;
    }
  }

  add(call: gateCall.GateCall): void {
    this.calls.set(call.key, call);
  }

  get(key: string): gateCall.GateCall | undefined {
    return this.calls.get(key);
  }

  delete(key: string): void {
    this.calls.delete(key);
  }

  /** Handles the loss of a link. */
  onLinkLost(linkId: number, now: units.MonotonicMs): void {
    for (const call of this.calls.values()) call.onLinkLost(linkId, now);
  }

  /** Returns whether the link of a request has expired; it has not if the entry is seen now. */
  isLinkExpired(call: gateCall.GateCall, now: units.MonotonicMs): boolean {
    if (call.linkExpiryMs > now) return false;
    const {entryProcess} = callKey.parse(call.key);
    if (!this.isEntryUp(entryProcess)) return true;
    call.onEntrySeen(now);
    return false;
  }

  /** Returns the next time at which a request ends if nothing happens before. */
  nextDueMs(capacity: gateCapacity.GateCapacity): units.MonotonicMs {
    let next = Infinity;
    for (const call of this.calls.values()) {
      next = Math.min(next, gateTimeouts.dueMs(call, capacity));
    }
    return next;
  }
}
