/** Exit codes of the command-line tool. */
export const EXIT_CODES = {
  done: 0,
  /** An unexpected error. */
  failed: 1,
  /** Arguments or a document are invalid; nothing was changed. */
  invalid: 2,
  /** The change was rejected: another change was accepted first, or it does not apply. */
  rejected: 3,
  /** It is not known whether the change was accepted. */
  unknown: 4,
  /** The log or a node cannot be reached; nothing was changed. */
  unreachable: 5,
} as const;

/** One of `EXIT_CODES`. */
export type ExitCode = (typeof EXIT_CODES)[keyof typeof EXIT_CODES];
