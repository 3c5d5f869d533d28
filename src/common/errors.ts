/** Errors with the step and the peer at which they occurred. */

/** Where an error occurred. */
export interface ErrorSite {
  /** The step that failed, such as `read log` or `open link`. */
  readonly step: string;
  /** Node id, address or service at the other end. */
  readonly peer: string;
}

/** Base class of this project's errors. The message is prefixed with the site. */
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

/** An input that could not be decoded or exceeds a limit. */
export class MalformedInputError extends GeraniumloftError {}

/** Thrown when an invariant does not hold. */
export class InvariantError extends GeraniumloftError {}
