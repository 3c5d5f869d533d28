/** Decisions on requests and changes of belief, as they are logged. */

/** Inputs of a decision; each value may carry its age or version in a field of its own. */
export type Facts = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** How a decision weighs in the log. */
export type Importance =
  /** The usual course of a request; sampled. */
  | 'routine'
  /** A refusal in favour of others, a repetition, a departure. */
  | 'notable'
  /** The request fails, or a run of it may have; what led there is logged with it. */
  | 'failure'
  /** A change of what the process believes. */
  | 'belief';

/** One line of the log. */
export interface Decision {
  readonly component: 'entry' | 'gate' | 'fleet' | 'store' | 'server' | 'node';
  readonly event: string;
  readonly importance: Importance;
  /** Id of the request that it concerns. */
  readonly requestId?: string;
  readonly facts: Facts;
}

/** Takes decisions. */
export interface DecisionLog {
  write(decision: Decision): void;
}

/** Notes a change of what the process believes. */
export function noteBelief(
  log: DecisionLog,
  component: Decision['component'],
  event: string,
  facts: Facts,
): void {
  log.write({component, event, importance: 'belief', facts});
}
