/** Requests at a gate, and how their runs end. */
import * as serving from '../../generated/serving.js';
import * as units from '../units.js';

/** A request as it arrives at a gate. */
export interface ArrivingCall {
  /** Unique in the fleet, also across restarts of the entry. */
  readonly key: string;
  /** Where the answer goes: an id that the surroundings understand. */
  readonly source: number;
  readonly dispatch: serving.Dispatch;
}

/** Where a request stands at a gate. */
export type Stage =
  | {readonly kind: 'waiting'}
  | {readonly kind: 'running'; readonly startedMs: units.MonotonicMs}
  /** The connection broke; a health check tells whether the backend server died. */
  | {readonly kind: 'broken'; readonly untilMs: units.MonotonicMs};

/** A request that a gate works on. */
export class GateCall {
  readonly key: string;
  readonly dispatch: serving.Dispatch;
  readonly rank: number;
  readonly deadlineMs: units.MonotonicMs;
  readonly objectiveAtMs: units.MonotonicMs;
  stage: Stage = {kind: 'waiting'};

  /** Undefined once nobody waits for the answer. */
  source: number | undefined;

  /** Since when the link to the entry is lost. */
  sourceLostMs: units.MonotonicMs | undefined;

  constructor(
    arriving: ArrivingCall,
    readonly arrivedMs: units.MonotonicMs,
  ) {
    const {key, source, dispatch} = arriving;
    this.key = key;
    this.source = source;
    this.dispatch = dispatch;
    this.rank = dispatch.rank;
    this.deadlineMs = arrivedMs + dispatch.timeLeftMs;
    this.objectiveAtMs = arrivedMs + dispatch.objectiveLeftMs;
  }
}

/** An answer of the backend server. */
export interface ServerAnswer {
  readonly status: number;
  /** Names and values in turn. */
  readonly headers: readonly string[];
  readonly body: Buffer;
}

/** How a run on the backend server ended. */
export type RunEnd =
  | {readonly kind: 'answered'; readonly answer: ServerAnswer}
  /** The backend server says that it did not run the request. */
  | {readonly kind: 'shed'; readonly status: number}
  /** Another instance answers at the address; the request did not run. */
  | {readonly kind: 'misdirected'; readonly instanceId: string | undefined}
  /** No byte left. */
  | {readonly kind: 'not-sent'}
  /** The connection broke after bytes had left. */
  | {readonly kind: 'broken'}
  /** The answer was cut short, malformed or another request's. */
  | {readonly kind: 'bad-answer'; readonly detail: string};

/** Why a request is refused, and what is known of its run. */
export interface RefusalDetail {
  readonly reason: serving.Reason;
  readonly mayHaveRun: boolean;
  readonly serverDied?: boolean;
}

/** What a gate asks of its surroundings. */
export interface GateOutput {
  /** Sends the request to the instance; the end comes back as `onRunEnded`. */
  run(call: GateCall, instanceId: string, timeLeftMs: units.Millis): void;
  /** Closes the connection of a run; no end is reported. */
  abort(key: string): void;
  answer(source: number, answer: serving.Answer): void;
  refuse(source: number, refusal: serving.Refusal): void;
  /** Wants a health check now. */
  checkHealth(): void;
  /** Tells other nodes of a request that may crash backend servers. */
  reportSuspect(fingerprint: string, deaths: number): void;
  /** The gate opened or closed. */
  closureChanged(closure: serving.Closure): void;
}
