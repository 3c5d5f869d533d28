/** Invariant checks, active in tests and in production. */
import * as counters from './counters.js';
import * as emitter from './emitter.js';
import * as errors from './errors.js';

/** An invariant that did not hold, and where. */
export interface Breach extends errors.ErrorSite {
  readonly message: string;
}

/** Checks invariants. A breach is counted, reported and thrown up to the request boundary. */
export class Invariants implements Disposable {
  private readonly breachEmitter = new emitter.Emitter<Breach>();

  /** Fires for each breach, before the error is thrown. */
  readonly onBreach = this.breachEmitter.event;

  constructor(private readonly counters: counters.Counters) {}

  /**
   * Checks that `condition` holds.
   *
   * @throws errors.InvariantError if it does not.
   */
  check(
    condition: boolean,
    site: errors.ErrorSite,
    message: string,
  ): asserts condition {
    if (condition) return;
    this.counters.increment('invariant.breached');
    this.breachEmitter.fire({...site, message});
    throw new errors.InvariantError(message, site);
  }

  [Symbol.dispose](): void {
    this.breachEmitter[Symbol.dispose]();
  }
}

/** Asserts at compile time that a switch is exhaustive; throws TypeError if ever reached. */
export function assertNever(value: never): never {
  throw new TypeError(`unexpected variant: ${JSON.stringify(value)}`);
}
