/** State requested by operators: the configuration and the data centres taken out of service. */
import * as configuration from './configuration.js';

/** A change published by an operator, with its offset in the operators' log. */
export type IntentChange =
  | {
      readonly kind: 'configuration';
      readonly offset: number;
      readonly document: configuration.FleetConfiguration;
    }
  | {
      readonly kind: 'data-centre';
      readonly offset: number;
      readonly dataCentre: string;
      readonly out: boolean;
    }
  /** A record without effect on the intent. */
  | {readonly kind: 'other'; readonly offset: number};

/** Snapshot of the operators' intent at one offset of their log. */
export interface IntentSnapshot {
  readonly document: configuration.FleetConfiguration | undefined;
  readonly dataCentresOut: readonly string[];
  /** Offset of the latest record included, -1 for none. */
  readonly offset: number;
}

/**
 * The intent in force on a node. Stale reads never undo a change: changes are ordered by their
 * offset in the log, and a configuration is applied only if its version is higher.
 */
export class OperatorIntent {
  private current: configuration.ConfigurationInForce | undefined;
  private out: ReadonlySet<string> = new Set();
  private newestOffset = -1;
  private hasSnapshot = false;

  /** The configuration in force, undefined before the first. */
  get configuration(): configuration.ConfigurationInForce | undefined {
    return this.current;
  }

  /** Data centres that accept no new requests. */
  get dataCentresOut(): ReadonlySet<string> {
    return this.out;
  }

  /** Offset of the latest record applied, -1 for none. */
  get offset(): number {
    return this.newestOffset;
  }

  /** Whether a snapshot was applied, so that no data centre taken out before is missed. */
  get isKnown(): boolean {
    return this.hasSnapshot && this.current !== undefined;
  }

  /**
   * Applies one change; ignored unless it is newer than all before.
   *
   * @returns whether anything in force has changed.
   */
  applyChange(change: IntentChange): boolean {
    if (change.offset <= this.newestOffset) return false;
    this.newestOffset = change.offset;
    switch (change.kind) {
      case 'configuration':
        return this.activate(change.document);
      case 'data-centre': {
        const out = new Set(this.out);
        if (change.out) out.add(change.dataCentre);
        else out.delete(change.dataCentre);
        return this.setDataCentresOut(out);
      }
      case 'other':
        return false;
    }
  }

  /**
   * Replaces the intent by a snapshot unless it is outdated.
   *
   * @returns whether anything in force has changed.
   */
  applySnapshot(snapshot: IntentSnapshot): boolean {
    if (this.hasSnapshot && snapshot.offset <= this.newestOffset) return false;
    if (snapshot.offset < this.newestOffset) return false;
    this.hasSnapshot = true;
    this.newestOffset = snapshot.offset;
    const configurationChanged =
      snapshot.document !== undefined && this.activate(snapshot.document);
    const dataCentresChanged = this.setDataCentresOut(
      new Set(snapshot.dataCentresOut),
    );
    return configurationChanged || dataCentresChanged;
  }

  /** Returns a snapshot, to synchronise another node. */
  toSnapshot(): IntentSnapshot {
    return {
      document: this.current?.document,
      dataCentresOut: [...this.out],
      offset: this.newestOffset,
    };
  }

  private activate(document: configuration.FleetConfiguration): boolean {
    if (this.current && document.version <= this.current.version) return false;
    this.current = new configuration.ConfigurationInForce(document);
    return true;
  }

  private setDataCentresOut(out: ReadonlySet<string>): boolean {
    const before = this.out;
    this.out = out;
    return before.size !== out.size || [...out].some(name => !before.has(name));
  }
}
