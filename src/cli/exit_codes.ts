/** Exit codes of the command line. */
export const EXIT_CODES = {
  done: 0,
  /** An unexpected error. */
  failed: 1,
  /** Arguments or a document are invalid; nothing was changed. */
  invalid: 2,
  /** The change lost against another one. */
  rejected: 3,
  /** It is not known whether the change was accepted. */
  unknown: 4,
  /** The log or a node cannot be reached; nothing was changed. */
  unreachable: 5,
} as const;

/** Exit code of the command line. */
export type ExitCode = (typeof EXIT_CODES)[keyof typeof EXIT_CODES];
