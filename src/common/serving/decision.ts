/** Log records of decisions on requests and of state changes. */

/** Fields of a log record; the age or version of a value may be a field of its own. */
export type Facts = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** Importance of a log record. */
export type Importance =
  /** Normal processing of a request; sampled. */
  | 'routine'
  /** A redirection, a retry, a caller that disconnected. */
  | 'notable'
  /** The request or one of its runs may have failed; its earlier records are logged too. */
  | 'failure'
  /** A change of the state known to the process. */
  | 'belief';

/** One log record. */
export interface Decision {
  readonly component: 'entry' | 'gate' | 'fleet' | 'store' | 'server' | 'node';
  readonly event: string;
  readonly importance: Importance;
  /** Id of the request, if the record is about one. */
  readonly requestId?: string;
  readonly facts: Facts;
}

/** Sink of log records. */
export interface DecisionLog {
  write(decision: Decision): void;
}

/** Logs a change of the state known to the process. */
export function noteStateChange(
  log: DecisionLog,
  component: Decision['component'],
  event: string,
  facts: Facts,
): void {
  log.write({component, event, importance: 'belief', facts});
}
