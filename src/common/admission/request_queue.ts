/** Bounded queue of requests, ordered by class kind and then by deadline. */
import * as generated from '../../generated/configuration.js';
import * as units from '../units.js';

/** What the queue needs to know of a request. */
export interface QueuedRequest {
  readonly classKind: ClassKind;
  readonly deadlineMs: units.MonotonicMs;
}

/** Who waits when room is short. */
export type ClassKind = generated.RequestClass['kind'];

/** Class kinds, the most entitled first. */
const KINDS_BY_RANK: readonly ClassKind[] = [
  'interactive',
  'must-arrive',
  'deferrable',
];

/** Of so many requests taken, at least one is must-arrive while any waits. */
const MUST_ARRIVE_TURN = 4;

/** Answer of the queue to a request that wants to wait. */
export type Offer<T> =
  | {readonly kind: 'queued'}
  /** Another request has lost its place to the new one. */
  | {readonly kind: 'displaced'; readonly item: T}
  | {readonly kind: 'full'};

/** Queue of the requests that wait at one gate. */
export class RequestQueue<T extends QueuedRequest> {
  /** Requests that go before all others: they ran on a connection that went silent. */
  private readonly first: T[] = [];
  private readonly byKind: Readonly<Record<ClassKind, T[]>> = {
    interactive: [],
    'must-arrive': [],
    deferrable: [],
  };
  private sinceMustArrive = 0;

  /** Number of requests waiting. */
  get size(): number {
    return KINDS_BY_RANK.reduce(
      (sum, kind) => sum + this.byKind[kind].length,
      this.first.length,
    );
  }

  /** Returns all waiting requests. */
  items(): readonly T[] {
    return [...this.first, ...this.inOrder()];
  }

  /** Number of waiting requests that go before a new one of that kind and deadline. */
  countAhead(request: QueuedRequest): number {
    const own = this.byKind[request.classKind];
    const before = indexByDeadline(own, request.deadlineMs);
    const others = KINDS_BY_RANK.slice(
      0,
      KINDS_BY_RANK.indexOf(request.classKind),
    ).reduce((sum, kind) => sum + this.byKind[kind].length, 0);
    const turns =
      request.classKind === 'must-arrive'
        ? Math.min(others, (before + 1) * (MUST_ARRIVE_TURN - 1))
        : others;
    return this.first.length + before + turns;
  }

  /** Queues a request, or displaces a less entitled one if `bound` requests wait. */
  offer(item: T, bound: number): Offer<T> {
    if (this.size < bound) {
      this.insert(item);
      return {kind: 'queued'};
    }
    const displaced = this.leastEntitled(item, bound);
    if (!displaced) return {kind: 'full'};
    this.remove(displaced);
    this.insert(item);
    return {kind: 'displaced', item: displaced};
  }

  /** Puts a request before all others, above the bound: it has been admitted already. */
  putFirst(item: T): void {
    this.first.push(item);
  }

  /** Takes the request whose turn it is among those that may start. */
  take(mayStart: (item: T) => boolean = () => true): T | undefined {
    const again = this.first.find(mayStart);
    const isTurn = this.sinceMustArrive >= MUST_ARRIVE_TURN - 1;
    const turn = isTurn ? this.byKind['must-arrive'].find(mayStart) : undefined;
    const item = again ?? turn ?? this.inOrder().find(mayStart);
    if (!item) return undefined;
    this.remove(item);
    const isMustArrive = item.classKind === 'must-arrive';
    this.sinceMustArrive = isMustArrive ? 0 : this.sinceMustArrive + 1;
    return item;
  }

  /** Removes a request, wherever it waits. */
  remove(item: T): void {
    for (const list of [this.first, this.byKind[item.classKind]]) {
      const index = list.indexOf(item);
      if (index >= 0) list.splice(index, 1);
    }
  }

  private inOrder(): readonly T[] {
    return KINDS_BY_RANK.flatMap(kind => this.byKind[kind]);
  }

  private insert(item: T): void {
    const list = this.byKind[item.classKind];
    list.splice(indexByDeadline(list, item.deadlineMs), 0, item);
  }

  /** Returns the waiting request that loses its place to `item`, if any is less entitled. */
  private leastEntitled(item: T, bound: number): T | undefined {
    const guaranteed = Math.ceil(bound / MUST_ARRIVE_TURN);
    const mustArrive = this.byKind['must-arrive'];
    const deferrable = this.byKind.deferrable;
    if (item.classKind !== 'deferrable' && deferrable.length > 0) {
      return deferrable.at(-1);
    }
    if (item.classKind === 'interactive' && mustArrive.length > guaranteed) {
      return mustArrive.at(-1);
    }
    if (item.classKind === 'must-arrive' && mustArrive.length < guaranteed) {
      return this.byKind.interactive.at(-1);
    }
    return undefined;
  }
}

/** Returns the place of a deadline in a list, behind equal ones. */
function indexByDeadline(
  list: readonly QueuedRequest[],
  deadlineMs: units.MonotonicMs,
): number {
  const index = list.findIndex(item => item.deadlineMs > deadlineMs);
  return index < 0 ? list.length : index;
}
