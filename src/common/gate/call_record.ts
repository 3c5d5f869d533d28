/** State of one call at a gate, with its request and its source. */
import * as generated from '../../generated/configuration.js';
import * as peer from '../../generated/peer.js';
import * as units from '../units.js';
import * as gateContract from './gate_contract.js';

/** Content of a refusal, without the load of the gate. */
export interface RefusalDetail {
  readonly reason: peer.RefusalReason;
  readonly outcome: peer.Outcome;
  readonly retryAfterMs?: units.Millis;
  readonly serverDied?: boolean;
}

/** Complete answer of the backend server. */
export interface ServerAnswer {
  readonly status: number;
  readonly headers: readonly peer.Header[];
  readonly body: Uint8Array;
}

/** Final result of a call. */
export type CallResult =
  | {readonly kind: 'answered'; readonly answer: ServerAnswer}
  | {readonly kind: 'refused'; readonly detail: RefusalDetail};

/** Returns the refusal of a call that was never sent to the backend server. */
export function notRun(
  reason: peer.RefusalReason,
  retryAfterMs?: units.Millis,
): RefusalDetail {
  return {reason, outcome: peer.Outcome.NOT_RUN, retryAfterMs};
}

/** One transmission of a call to the backend server. */
export interface Run {
  readonly run: number;
  readonly startedMs: units.MonotonicMs;
  readonly freshConnection: boolean;
}

/** Processing state of a call. */
export type CallState =
  | {readonly kind: 'waiting'}
  | {readonly kind: 'running'; readonly runs: readonly Run[]}
  /**
   * Its connection broke. Until `untilMs`, a report that the backend server died may follow and
   * decides how the call is refused.
   */
  | {readonly kind: 'broken'; readonly untilMs: units.MonotonicMs}
  | {readonly kind: 'finished'};

/** A call from its arrival until it is finished. */
export class CallRecord {
  state: CallState = {kind: 'waiting'};

  /** Number of runs started, including those that have ended. */
  runsStarted = 0;

  /** Number of runs that may have reached the backend server, including those that have ended. */
  runsSent = 0;

  /** Whether the call was repeated after a run of which no byte was sent. */
  retriedAfterNotSent = false;

  constructor(
    readonly call: peer.CallRequest,
    readonly requestClass: generated.RequestClass,
    readonly arrivedMs: units.MonotonicMs,
    /** Undefined once the source is lost. */
    public source: gateContract.CallSource | undefined,
  ) {}

  /** Id of the call, unique in the fleet. */
  get callId(): string {
    return this.call.callId;
  }

  /** Time after which the source no longer waits for the result. */
  get deadlineMs(): units.MonotonicMs {
    return this.arrivedMs + this.call.deadlineMs;
  }

  /** Time at which the call needs processing even if no event arrives. */
  get wakeMs(): units.MonotonicMs {
    return this.state.kind === 'broken'
      ? Math.min(this.deadlineMs, this.state.untilMs)
      : this.deadlineMs;
  }

  /** Name of the call's class. */
  get className(): string {
    return this.requestClass.name;
  }

  /** Kind of the call's class, which sets its priority in the queue. */
  get classKind(): generated.RequestClass['kind'] {
    return this.requestClass.kind;
  }

  /** Whether the call may safely run more than once. */
  get idempotent(): boolean {
    return this.requestClass.idempotent;
  }

  /** Runs in progress. */
  get runs(): readonly Run[] {
    return this.state.kind === 'running' ? this.state.runs : [];
  }

  /** Outcome to report while no answer has been received. */
  get outcomeSoFar(): peer.Outcome {
    return this.runsSent > 0 ? peer.Outcome.UNKNOWN : peer.Outcome.NOT_RUN;
  }
}
