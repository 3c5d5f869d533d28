/** Bounded queue of requests, ordered by class kind and then by deadline. */
import * as generated from '../../generated/configuration.js';
import * as units from '../units.js';

/** The fields of a request that its place in the queue depends on. */
export interface QueuedRequest {
  readonly classKind: ClassKind;
  readonly deadlineMs: units.MonotonicMs;
}

/** Kind of a request class; decides which requests wait or are refused when slots are short. */
export type ClassKind = generated.RequestClass['kind'];

/** Class kinds, highest priority first. */
const KINDS_BY_PRIORITY: readonly ClassKind[] = [
  'interactive',
  'must-arrive',
  'deferrable',
];

/** At least one in this many requests taken is must-arrive while any such request waits. */
const MUST_ARRIVE_INTERVAL = 4;

/** Result of offering a request to the queue. */
export type OfferResult<T> =
  | {readonly kind: 'queued'}
  /** `item` was removed from the queue in favour of the new request. */
  | {readonly kind: 'displaced'; readonly item: T}
  | {readonly kind: 'full'};

/** Queue of the requests that wait at one gate for a slot of the backend server. */
export class RequestQueue<T extends QueuedRequest> {
  /** Requests taken before all others: they ran on a connection that stopped responding. */
  private readonly requeued: T[] = [];
  private readonly byKind: Readonly<Record<ClassKind, T[]>> = {
    interactive: [],
    'must-arrive': [],
    deferrable: [],
  };
  private takenSinceMustArrive = 0;

  /** Number of waiting requests. */
  get size(): number {
    return KINDS_BY_PRIORITY.reduce(
      (sum, kind) => sum + this.byKind[kind].length,
      this.requeued.length,
    );
  }

  /** Returns all waiting requests, by priority and then by deadline. */
  items(): readonly T[] {
    return [...this.requeued, ...this.byPriority()];
  }

  /** Returns the number of waiting requests taken before a new one of that kind and deadline. */
  countAhead(request: QueuedRequest): number {
    const own = this.byKind[request.classKind];
    const sameKind = indexByDeadline(own, request.deadlineMs);
    const higherPriority = KINDS_BY_PRIORITY.slice(
      0,
      KINDS_BY_PRIORITY.indexOf(request.classKind),
    ).reduce((sum, kind) => sum + this.byKind[kind].length, 0);
    const higherPriorityAhead =
      request.classKind === 'must-arrive'
        ? Math.min(higherPriority, (sameKind + 1) * (MUST_ARRIVE_INTERVAL - 1))
        : higherPriority;
    return this.requeued.length + sameKind + higherPriorityAhead;
  }

  /** Queues a request; if `bound` requests wait, it may displace one of lower priority. */
  offer(item: T, bound: number): OfferResult<T> {
    if (this.size < bound) {
      this.insert(item);
      return {kind: 'queued'};
    }
    const displaced = this.findDisplaceable(item, bound);
    if (!displaced) return {kind: 'full'};
    this.remove(displaced);
    this.insert(item);
    return {kind: 'displaced', item: displaced};
  }

  /** Adds a request in front of all others, without a bound: it has already been admitted. */
  requeue(item: T): void {
    this.requeued.push(item);
  }

  /** Removes and returns the next request among those that `mayStart` accepts. */
  take(mayStart: (item: T) => boolean = () => true): T | undefined {
    const requeuedItem = this.requeued.find(mayStart);
    const isMustArriveDue =
      this.takenSinceMustArrive >= MUST_ARRIVE_INTERVAL - 1;
    const mustArriveItem = isMustArriveDue
      ? this.byKind['must-arrive'].find(mayStart)
      : undefined;
    const item =
      requeuedItem ?? mustArriveItem ?? this.byPriority().find(mayStart);
    if (!item) return undefined;
    this.remove(item);
    const isMustArrive = item.classKind === 'must-arrive';
    this.takenSinceMustArrive = isMustArrive
      ? 0
      : this.takenSinceMustArrive + 1;
    return item;
  }

  /** Removes a request if it is waiting. */
  remove(item: T): void {
    for (const list of [this.requeued, this.byKind[item.classKind]]) {
      const index = list.indexOf(item);
      if (index >= 0) list.splice(index, 1);
    }
  }

  private byPriority(): readonly T[] {
    return KINDS_BY_PRIORITY.flatMap(kind => this.byKind[kind]);
  }

  private insert(item: T): void {
    const list = this.byKind[item.classKind];
    list.splice(indexByDeadline(list, item.deadlineMs), 0, item);
  }

  /**
   * Returns the waiting request that `item` displaces, if any. Must-arrive requests keep a share
   * of the queue that interactive ones cannot take.
   */
  private findDisplaceable(item: T, bound: number): T | undefined {
    const reserved = Math.ceil(bound / MUST_ARRIVE_INTERVAL);
    const mustArrive = this.byKind['must-arrive'];
    const deferrable = this.byKind.deferrable;
    if (item.classKind !== 'deferrable' && deferrable.length > 0) {
      return deferrable.at(-1);
    }
    if (item.classKind === 'interactive' && mustArrive.length > reserved) {
      return mustArrive.at(-1);
    }
    if (item.classKind === 'must-arrive' && mustArrive.length < reserved) {
      return this.byKind.interactive.at(-1);
    }
    return undefined;
  }
}

/** Returns the index at which to insert a deadline into a sorted list, after equal ones. */
function indexByDeadline(
  list: readonly QueuedRequest[],
  deadlineMs: units.MonotonicMs,
): number {
  const index = list.findIndex(item => item.deadlineMs > deadlineMs);
  return index < 0 ? list.length : index;
}
