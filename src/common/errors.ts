/** Errors that carry the step and the peer at which they arose. */

/** Where an error arose. */
export interface ErrorSite {
  /** Step of the work, such as `read log` or `open link`. */
  readonly step: string;
  /** Node id, address or service at the other end. */
  readonly peer: string;
}

/** Base class of this project's errors. */
export class GeraniumloftError extends Error {
  readonly step: string;
  readonly peer: string;

  constructor(message: string, site: ErrorSite, options?: ErrorOptions) {
    super(`${site.step} (${site.peer}): ${message}`, options);
    this.name = new.target.name;
    this.step = site.step;
    this.peer = site.peer;
  }
}

/** A message that could not be decoded or exceeds a bound. */
export class MalformedInputError extends GeraniumloftError {}

/** An invariant that did not hold. */
export class InvariantError extends GeraniumloftError {}
