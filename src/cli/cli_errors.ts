/** Errors that end a command with a code and one clear line for each fault. */
import * as exitCodes from './exit_codes.js';

/** A command that ends without success. */
export class CommandError extends Error {
  constructor(
    readonly exitCode: exitCodes.ExitCode,
    readonly lines: readonly string[],
  ) {
    super(lines.join('\n'));
  }
}

/** Returns the error of invalid arguments or documents. */
export function invalid(...lines: readonly string[]): CommandError {
  return new CommandError(exitCodes.EXIT_CODES.invalid, lines);
}
