/** What operators want: the configuration, and the data centres that they have taken out. */
import * as configuration from './configuration.js';

/** A change that an operator has published, with its place in the operators' log. */
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
  /** A record that changes nothing here. */
  | {readonly kind: 'other'; readonly offset: number};

/** All that operators want, as of one place in their log. */
export interface WholeIntent {
  readonly document: configuration.FleetConfiguration | undefined;
  readonly dataCentresOut: readonly string[];
  /** Offset of the newest record taken into account, -1 for none. */
  readonly offset: number;
}

/**
 * The intent in force on a node. Versions never go back, whatever is read: the log's offset orders
 * changes, and a configuration counts only above the version in force.
 */
export class OperatorIntent {
  private current: configuration.ConfigurationInForce | undefined;
  private out: ReadonlySet<string> = new Set();
  private newestOffset = -1;
  private known = false;

  /** The configuration in force, undefined before the first. */
  get configuration(): configuration.ConfigurationInForce | undefined {
    return this.current;
  }

  /** Data centres that take no new work. */
  get dataCentresOut(): ReadonlySet<string> {
    return this.out;
  }

  /** Offset of the newest record taken into account, -1 for none. */
  get offset(): number {
    return this.newestOffset;
  }

  /** Whether a whole intent has been learnt, so that no data centre that is out is missed. */
  get isKnown(): boolean {
    return this.known && this.current !== undefined;
  }

  /**
   * Takes one change.
   *
   * @returns whether anything in force has changed.
   */
  applyChange(change: IntentChange): boolean {
    if (change.offset <= this.newestOffset) return false;
    this.newestOffset = change.offset;
    switch (change.kind) {
      case 'configuration':
        return this.putInForce(change.document);
      case 'data-centre': {
        const out = new Set(this.out);
        if (change.out) out.add(change.dataCentre);
        else out.delete(change.dataCentre);
        return this.setOut(out);
      }
      case 'other':
        return false;
    }
  }

  /**
   * Takes a whole intent in place of what is known, unless it is older.
   *
   * @returns whether anything in force has changed.
   */
  applyWhole(whole: WholeIntent): boolean {
    if (this.known && whole.offset <= this.newestOffset) return false;
    if (whole.offset < this.newestOffset) return false;
    this.known = true;
    this.newestOffset = whole.offset;
    const configured =
      whole.document !== undefined && this.putInForce(whole.document);
    const moved = this.setOut(new Set(whole.dataCentresOut));
    return configured || moved;
  }

  /** Returns the intent for a node that knows less. */
  toWhole(): WholeIntent {
    return {
      document: this.current?.document,
      dataCentresOut: [...this.out],
      offset: this.newestOffset,
    };
  }

  private putInForce(document: configuration.FleetConfiguration): boolean {
    if (this.current && document.version <= this.current.version) return false;
    this.current = new configuration.ConfigurationInForce(document);
    return true;
  }

  private setOut(out: ReadonlySet<string>): boolean {
    const before = this.out;
    this.out = out;
    return before.size !== out.size || [...out].some(name => !before.has(name));
  }
}
