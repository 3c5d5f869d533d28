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

/** A request that a gate works on. */
export interface GateCall {
  readonly key: string;
  /** Undefined once nobody waits for the answer. */
  source: number | undefined;
  sourceLostMs: units.MonotonicMs | undefined;
  readonly dispatch: serving.Dispatch;
  readonly arrivedMs: units.MonotonicMs;
  readonly rank: number;
  readonly deadlineMs: units.MonotonicMs;
  readonly objectiveAtMs: units.MonotonicMs;
  stage: Stage;
}

/** Where a request stands at a gate. */
export type Stage =
  | {readonly kind: 'waiting'}
  | {readonly kind: 'running'; readonly startedMs: units.MonotonicMs}
  /** The connection broke; a health check tells whether the backend server died. */
  | {
      readonly kind: 'broken';
      readonly untilMs: units.MonotonicMs;
      readonly instanceId: string | undefined;
    };

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
