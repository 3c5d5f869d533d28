/** One call at a gate: its request, its state and who waits for its result. */
import * as generated from '../../generated/configuration.js';
import * as peer from '../../generated/peer.js';
import * as units from '../units.js';
import * as contract from './gate_contract.js';

/** What a refusal says besides the gate's load. */
export interface RefusalDetail {
  readonly reason: peer.RefusalReason;
  readonly outcome: peer.Outcome;
  readonly retryAfterMs?: units.Millis;
  readonly serverDied?: boolean;
}

/** An answer of the backend server, complete. */
export interface ServerAnswer {
  readonly status: number;
  readonly headers: readonly peer.Header[];
  readonly body: Uint8Array;
}

/** How a call ended. */
export type CallResult =
  | {readonly kind: 'answered'; readonly answer: ServerAnswer}
  | {readonly kind: 'refused'; readonly detail: RefusalDetail};

/** Returns the refusal of a call that was never dispatched. */
export function notRun(
  reason: peer.RefusalReason,
  retryAfterMs?: units.Millis,
): RefusalDetail {
  return {reason, outcome: peer.Outcome.NOT_RUN, retryAfterMs};
}

/** One sending of a call to the backend server. */
export interface Run {
  readonly run: number;
  readonly startedMs: units.MonotonicMs;
  readonly freshConnection: boolean;
}

/** Where a call stands. */
export type CallState =
  | {readonly kind: 'waiting'}
  | {readonly kind: 'running'; readonly runs: readonly Run[]}
  /** Its connection broke; until then the server's death may explain it. */
  | {readonly kind: 'broken'; readonly untilMs: units.MonotonicMs}
  | {readonly kind: 'finished'};

/** A call from its arrival until its end. */
export class CallRecord {
  state: CallState = {kind: 'waiting'};

  /** Runs started so far. */
  runsStarted = 0;

  /** Runs of which a byte may have left, whatever their end. */
  runsSent = 0;

  /** Whether the call was sent again after a run of which no byte left. */
  repeatedAfterNotSent = false;

  constructor(
    readonly call: peer.CallRequest,
    readonly requestClass: generated.RequestClass,
    readonly arrivedMs: units.MonotonicMs,
    /** Undefined once the source is lost. */
    public source: contract.CallSource | undefined,
  ) {}

  /** Unique in the fleet. */
  get callId(): string {
    return this.call.callId;
  }

  /** Point in time after which nobody waits for the result. */
  get deadlineMs(): units.MonotonicMs {
    return this.arrivedMs + this.call.deadlineMs;
  }

  /** Time at which something is due for the call, whatever happens. */
  get wakeMs(): units.MonotonicMs {
    return this.state.kind === 'broken'
      ? Math.min(this.deadlineMs, this.state.untilMs)
      : this.deadlineMs;
  }

  /** Name of the call's class. */
  get className(): string {
    return this.requestClass.name;
  }

  /** Who waits when room is short. */
  get classKind(): generated.RequestClass['kind'] {
    return this.requestClass.kind;
  }

  /** Whether a second run does no harm. */
  get idempotent(): boolean {
    return this.requestClass.idempotent;
  }

  /** Runs that are under way. */
  get runs(): readonly Run[] {
    return this.state.kind === 'running' ? this.state.runs : [];
  }

  /** What can be said of the execution while no answer is known. */
  get outcomeSoFar(): peer.Outcome {
    return this.runsSent > 0 ? peer.Outcome.UNKNOWN : peer.Outcome.NOT_RUN;
  }
}
