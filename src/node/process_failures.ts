/** Failures that end the process, and their last line in the log. */

/** Exit status after an error that nothing has handled. */
export const UNHANDLED_STATUS = 70;

/** A failure that ends the process. */
export interface ProcessFailure {
  /** What failed: `start`, or how an unhandled error came about. */
  readonly step: string;
  /** Message of the error, with its stack if nothing has handled it. */
  readonly cause: string;
}

/** Describes an error that nothing has handled. */
export function unhandledFailure(err: unknown, step: string): ProcessFailure {
  const stack = err instanceof Error ? err.stack : undefined;
  return {step, cause: stack ?? String(err)};
}

/**
 * Ends the process after an error that nothing has handled: its state is unknown from there on.
 *
 * @param report writes the failure to the log; synchronously, as the process exits next.
 */
export function exitOnUnhandled(
  report: (failure: ProcessFailure) => void,
): void {
  // Rejected promises arrive here too, with their origin.
  process.on('uncaughtException', (err, origin) => {
    const failure = unhandledFailure(err, origin);
    // The log may drop the line, as it has a rate limit.
    console.error(`${failure.step}: ${failure.cause}`);
    report(failure);
    process.exit(UNHANDLED_STATUS);
  });
}
