/** State requested by operators: the configuration and the data centres taken out of service. */
import * as rolloutOrders from '../rollouts/rollout_orders.js';
import * as units from '../units.js';
import * as configuration from './configuration.js';
import * as logPosition from './log_position.js';

/**
 * Time for which a data centre stays out after the store has returned from a copy that lacks the
 * record, unless an operator's record about it arrives. Operators write again within seconds.
 */
export const LOST_RECORD_HOLD_MS: units.Millis = 30_000;

/** A change published by an operator, with its position in the operators' log. */
export type IntentChange =
  | {
      readonly kind: 'configuration';
      readonly position: logPosition.LogPosition;
      readonly document: configuration.FleetConfiguration;
    }
  | {
      readonly kind: 'data-centre';
      readonly position: logPosition.LogPosition;
      readonly dataCentre: string;
      readonly out: boolean;
    }
  | {
      readonly kind: 'rollout';
      readonly position: logPosition.LogPosition;
      readonly service: string;
      /** Undefined if the order is withdrawn. */
      readonly order: rolloutOrders.RolloutOrder | undefined;
    }
  /** A record without effect on the intent. */
  | {readonly kind: 'other'; readonly position: logPosition.LogPosition};

/** The newest record about a data centre. */
export interface DataCentreRecord {
  readonly dataCentre: string;
  readonly out: boolean;
  readonly position: logPosition.LogPosition;
  /** Remaining time for which a lost record stays in force; undefined if it is not lost. */
  readonly heldMs?: units.Millis;
}

/** Snapshot of the operators' intent at one position of their log. */
export interface IntentSnapshot {
  readonly document: configuration.FleetConfiguration | undefined;
  /** Data centres that are not listed are in service. */
  readonly dataCentres: readonly DataCentreRecord[];
  /** Newest record of each service with an order; none by default. */
  readonly rollouts?: readonly rolloutOrders.RolloutRecord[];
  /** Position of the latest record included. */
  readonly position: logPosition.LogPosition;
}

interface DataCentreState {
  readonly out: boolean;
  readonly position: logPosition.LogPosition;
  /** When a record that the store has lost ceases to be in force. */
  readonly heldUntilMs: units.MonotonicMs;
}

/**
 * The intent in force on a node. Stale reads never undo a change: of two records about a data
 * centre the one with the later position is in force, and a configuration is applied only if its
 * version is higher. A record that the store has lost stays in force for `LOST_RECORD_HOLD_MS`.
 */
export class OperatorIntent {
  /** Orders to roll out versions, by service. */
  readonly rollouts = new rolloutOrders.RolloutOrders();
  private current: configuration.ConfigurationInForce | undefined;
  private readonly dataCentres = new Map<string, DataCentreState>();
  private out: ReadonlySet<string> = new Set();
  private latest = logPosition.BEFORE_ALL;
  private hasSnapshot = false;

  /** The configuration in force, undefined before the first. */
  get configuration(): configuration.ConfigurationInForce | undefined {
    return this.current;
  }

  /** Data centres that accept no new requests. */
  get dataCentresOut(): ReadonlySet<string> {
    return this.out;
  }

  /** Position of the latest record applied. */
  get position(): logPosition.LogPosition {
    return this.latest;
  }

  /** Whether a snapshot was applied, so that no data centre taken out before is missed. */
  get isKnown(): boolean {
    return this.hasSnapshot && this.current !== undefined;
  }

  /**
   * Applies one change.
   *
   * @returns whether anything in force, or the era, has changed.
   */
  applyChange(change: IntentChange, now: units.MonotonicMs): boolean {
    // A record at or behind the position is part of what was applied before.
    if (!logPosition.isBehind(this.latest, change.position)) return false;
    const hasNewEra = this.advance(change.position, now);
    switch (change.kind) {
      case 'configuration':
        return this.activate(change.document) || hasNewEra;
      case 'data-centre': {
        const {dataCentre, out, position} = change;
        this.dataCentres.set(dataCentre, {
          out,
          position,
          heldUntilMs: Infinity,
        });
        return this.updateOut(now) || hasNewEra;
      }
      case 'rollout':
        return this.rollouts.apply(change, now) || hasNewEra;
      case 'other':
        return hasNewEra;
    }
  }

  /**
   * Merges a snapshot of the store or of another node; of an outdated one only the configuration is
   * taken, if its version is higher.
   *
   * @returns whether anything in force, or the era, has changed.
   */
  applySnapshot(snapshot: IntentSnapshot, now: units.MonotonicMs): boolean {
    const {document, position} = snapshot;
    const isActivated = document !== undefined && this.activate(document);
    if (logPosition.isBehind(position, this.latest)) return isActivated;
    this.hasSnapshot = true;
    const hasNewEra = this.advance(position, now);
    this.removeDeleted(snapshot);
    for (const record of snapshot.dataCentres) this.mergeRecord(record, now);
    const {rollouts = []} = snapshot;
    const isOrdered = this.rollouts.merge(rollouts, position, now);
    return this.updateOut(now) || isActivated || isOrdered || hasNewEra;
  }

  /**
   * Returns data centres to service whose lost records are not held any longer.
   *
   * @returns whether anything in force has changed.
   */
  expire(now: units.MonotonicMs): boolean {
    return this.updateOut(now);
  }

  /** Whether records that the store has lost are in force. */
  holdsLostRecords(now: units.MonotonicMs): boolean {
    return [...this.dataCentres.values()].some(
      ({out, heldUntilMs}) =>
        out && heldUntilMs !== Infinity && now < heldUntilMs,
    );
  }

  /** Returns a snapshot, to synchronise another node. */
  toSnapshot(now: units.MonotonicMs): IntentSnapshot {
    const dataCentres = [...this.dataCentres].map(
      ([dataCentre, {out, position, heldUntilMs}]) => ({
        dataCentre,
        out,
        position,
        heldMs:
          heldUntilMs === Infinity ? undefined : Math.max(0, heldUntilMs - now),
      }),
    );
    return {
      document: this.current?.document,
      dataCentres,
      rollouts: this.rollouts.list(now),
      position: this.latest,
    };
  }

  /** Advances the position; in a new era, records of earlier ones are held. */
  private advance(
    position: logPosition.LogPosition,
    now: units.MonotonicMs,
  ): boolean {
    const {era} = this.latest;
    this.latest = logPosition.latest(this.latest, position);
    if (this.latest.era === era) return false;
    const heldUntilMs = now + LOST_RECORD_HOLD_MS;
    for (const [dataCentre, state] of this.dataCentres) {
      if (state.heldUntilMs !== Infinity) continue;
      this.dataCentres.set(dataCentre, {...state, heldUntilMs});
    }
    return true;
  }

  /** A data centre that a later snapshot of the same era lacks was returned to service. */
  private removeDeleted({dataCentres, position}: IntentSnapshot): void {
    const listed = new Set(dataCentres.map(({dataCentre}) => dataCentre));
    const heldUntilMs = Infinity;
    for (const [dataCentre, state] of this.dataCentres) {
      if (!state.out || listed.has(dataCentre)) continue;
      if (state.position.era !== position.era) continue;
      this.dataCentres.set(dataCentre, {out: false, position, heldUntilMs});
    }
  }

  private mergeRecord(record: DataCentreRecord, now: units.MonotonicMs): void {
    const {dataCentre, out, position} = record;
    const known = this.dataCentres.get(dataCentre);
    if (known && !logPosition.isBehind(known.position, position)) return;
    const isLost = position.era < this.latest.era;
    const heldMs = isLost ? (record.heldMs ?? LOST_RECORD_HOLD_MS) : Infinity;
    this.dataCentres.set(dataCentre, {
      out,
      position,
      heldUntilMs: now + heldMs,
    });
  }

  private activate(document: configuration.FleetConfiguration): boolean {
    if (this.current && document.version <= this.current.version) return false;
    this.current = new configuration.ConfigurationInForce(document);
    return true;
  }

  private updateOut(now: units.MonotonicMs): boolean {
    if (this.dataCentres.size === 0) return false;
    const before = this.out;
    const out = [...this.dataCentres].filter(
      ([, state]) => state.out && now < state.heldUntilMs,
    );
    this.out = new Set(out.map(([dataCentre]) => dataCentre));
    return (
      before.size !== this.out.size ||
      [...this.out].some(name => !before.has(name))
    );
  }
}
