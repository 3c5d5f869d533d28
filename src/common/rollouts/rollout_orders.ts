/** Operators' orders to move services to another version. */
import * as logPosition from '../serving/log_position.js';
import * as units from '../units.js';

/** An order to move the traffic of a service to the backend servers of a version. */
export interface RolloutOrder {
  readonly targetVersion: string;
  /** Time from the order to the deadline. */
  readonly durationMs: units.Millis;
}

/** The newest record about the roll-out of a service. */
export interface RolloutRecord {
  readonly service: string;
  /** Undefined if the order was withdrawn. */
  readonly order: RolloutOrder | undefined;
  readonly position: logPosition.LogPosition;
  /** Time left until the deadline; the whole duration if undefined. */
  readonly leftMs?: units.Millis;
}

/** An order in force. */
export interface OrderInForce extends RolloutOrder {
  readonly service: string;
  /** Position of the record when it was first read; identifies the order. */
  readonly position: logPosition.LogPosition;
  readonly deadlineMs: units.MonotonicMs;
}

interface OrderState {
  readonly order: OrderInForce | undefined;
  /** Position of the newest record about the service. */
  readonly position: logPosition.LogPosition;
}

/**
 * Whether two records stand for the same order. After the store has returned from an older copy, a
 * record with the same version is the same order at any position: it was kept or written again.
 */
export function isSameOrder(
  a: Pick<OrderInForce, 'targetVersion' | 'position'>,
  b: Pick<OrderInForce, 'targetVersion' | 'position'>,
): boolean {
  if (a.targetVersion !== b.targetVersion) return false;
  return (
    a.position.era !== b.position.era || a.position.offset === b.position.offset
  );
}

/**
 * The newest order of each service. The deadline counts from the first read in the fleet: a node
 * that learns an order from a peer gets the time left with it.
 */
export class RolloutOrders {
  private readonly states = new Map<string, OrderState>();

  /** Orders in force. */
  get inForce(): readonly OrderInForce[] {
    return [...this.states.values()].flatMap(({order}) => order ?? []);
  }

  /** Returns the order in force for a service. */
  of(service: string): OrderInForce | undefined {
    return this.states.get(service)?.order;
  }

  /**
   * Applies a record; one that is behind the newest about its service has no effect.
   *
   * @returns whether an order in force has changed.
   */
  apply(record: RolloutRecord, now: units.MonotonicMs): boolean {
    const {service, order, position, leftMs} = record;
    const known = this.states.get(service);
    if (known && logPosition.isBehind(position, known.position)) return false;
    if (order === undefined) {
      this.states.set(service, {order: undefined, position});
      return known?.order !== undefined;
    }
    const deadlineMs = now + (leftMs ?? order.durationMs);
    const current = known?.order;
    const {targetVersion} = order;
    if (current && isSameOrder(current, {targetVersion, position})) {
      const earlierMs = Math.min(current.deadlineMs, deadlineMs);
      const kept = {...current, deadlineMs: earlierMs};
      this.states.set(service, {order: kept, position});
      return false;
    }
    const next = {...order, service, position, deadlineMs};
    this.states.set(service, {order: next, position});
    return true;
  }

  /**
   * Merges the newest records as of a position. An order that the records of the same era lack was
   * withdrawn; one that a later era lacks was lost by the store and stays in force.
   *
   * @returns whether an order in force has changed.
   */
  merge(
    records: readonly RolloutRecord[],
    position: logPosition.LogPosition,
    now: units.MonotonicMs,
  ): boolean {
    let changed = false;
    const listed = new Set(records.map(({service}) => service));
    for (const [service, state] of this.states) {
      if (listed.has(service) || state.order === undefined) continue;
      if (state.position.era !== position.era) continue;
      this.states.set(service, {order: undefined, position});
      changed = true;
    }
    for (const record of records) {
      if (this.apply(record, now)) changed = true;
    }
    return changed;
  }

  /** Returns the newest records, to synchronise another node. */
  list(now: units.MonotonicMs): readonly RolloutRecord[] {
    return [...this.states].map(([service, {order, position}]) => ({
      service,
      position,
      order: order && {
        targetVersion: order.targetVersion,
        durationMs: order.durationMs,
      },
      leftMs: order && Math.max(0, order.deadlineMs - now),
    }));
  }
}
