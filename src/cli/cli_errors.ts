/** Errors that end a command with an exit code and one line of text per fault. */
import * as exitCodes from './exit_codes.js';

/** Ends a command with `exitCode`; each of `lines` is printed to standard error. */
export class CommandError extends Error {
  constructor(
    readonly exitCode: exitCodes.ExitCode,
    readonly lines: readonly string[],
  ) {
    super(lines.join('\n'));
  }
}

/** Returns the error for invalid arguments or documents, one line per fault. */
export function invalid(...lines: readonly string[]): CommandError {
  return new CommandError(exitCodes.EXIT_CODES.invalid, lines);
}
