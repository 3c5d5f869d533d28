/** Types of requests at a gate and of the results of their runs. */
import * as serving from '../../generated/serving.js';
import * as units from '../units.js';
import * as crashSuspects from './crash_suspects.js';
import * as lostLink from './lost_link.js';

/** How long ago a request was sent, apart from the usual time on its way. */
export interface ArrivalAge {
  /** Time for which it was held up, by the clock of its entry; 0 by default. */
  readonly delayMs?: units.Millis;
  /** Longest time for which it may have waited unread; 0 by default. */
  readonly waitedMs?: units.Millis;
}

/** A request as it arrives at a gate. */
export interface ArrivingCall extends ArrivalAge {
  /** See `callKey.format`. */
  readonly key: string;
  /** Id of the link that the reply goes to; later links have greater ids. */
  readonly linkId: number;
  readonly dispatch: serving.Dispatch;
  /** Whether the entry is on another node, so that replies may be lost; true by default. */
  readonly isRemote?: boolean;
  /** Whether its body was dropped, as there was no memory for it; false by default. */
  readonly lacksBody?: boolean;
}

/** Progress of a request at a gate. */
export type Stage =
  | {readonly kind: 'waiting'}
  | {
      readonly kind: 'running';
      readonly startedMs: units.MonotonicMs;
      /** Incarnation of the backend server, see `IncarnationTracker.serial`. */
      readonly serial: number;
    }
  /** The connection broke; a health check shows whether the backend server died. */
  | {readonly kind: 'broken'; readonly untilMs: units.MonotonicMs};

/** A request in progress at a gate. */
export class GateCall {
  readonly key: string;
  readonly dispatch: serving.Dispatch;
  readonly isRemote: boolean;
  readonly lacksBody: boolean;
  readonly rank: number;
  /** Earliest estimate of the deadline: the request may have waited unread. */
  readonly deadlineMs: units.MonotonicMs;
  /** Latest estimate of the deadline: the request may have come when it was read. */
  readonly latestDeadlineMs: units.MonotonicMs;
  readonly objectiveAtMs: units.MonotonicMs;
  /** Time by which its run must begin, infinity if its entry does not stop. */
  readonly startByMs: units.MonotonicMs;
  stage: Stage = {kind: 'waiting'};

  /** Bytes that were taken from the memory for bodies. */
  bodyBytes = 0;

  /** Undefined while no link is known that the reply could go to. */
  linkId: number | undefined;

  /** Whether the entry has withdrawn the request. */
  withdrawn = false;

  /** The lost link to the entry, while a resend is awaited. */
  lostLink: lostLink.LostLink | undefined;

  constructor(
    arriving: ArrivingCall,
    readonly arrivedMs: units.MonotonicMs,
  ) {
    const {key, linkId, dispatch} = arriving;
    this.key = key;
    this.linkId = linkId;
    this.dispatch = dispatch;
    this.isRemote = arriving.isRemote ?? true;
    this.lacksBody = arriving.lacksBody ?? false;
    this.rank = dispatch.rank;
    const {delayMs = 0, waitedMs = 0} = arriving;
    const sentMs = arrivedMs - Math.max(delayMs, waitedMs);
    this.deadlineMs = sentMs + dispatch.timeLeftMs;
    this.latestDeadlineMs = arrivedMs - delayMs + dispatch.timeLeftMs;
    this.objectiveAtMs = sentMs + dispatch.objectiveLeftMs;
    this.startByMs = sentMs + (dispatch.startLeftMs ?? Infinity);
  }

  /** Handles a resend, which may have been read late from a link that was replaced since. */
  onResent(linkId: number): void {
    if (this.linkId !== undefined && linkId < this.linkId) return;
    this.linkId = linkId;
    this.lostLink = undefined;
  }

  /** Handles the loss of a link, which is ignored if the call has another one. */
  onLinkLost(linkId: number, now: units.MonotonicMs): void {
    if (linkId !== this.linkId) return;
    this.linkId = undefined;
    this.lostLink = {lostMs: now};
  }

  /** Handles a pause of the process: a resend or the answer to a health check may be unread. */
  onResumed(pausedMs: units.Millis): void {
    const {lostLink: lost, stage} = this;
    if (lost) this.lostLink = {...lost, lostMs: lost.lostMs + pausedMs};
    if (stage.kind === 'broken') {
      this.stage = {...stage, untilMs: stage.untilMs + pausedMs};
    }
  }

  /** Handles a sign that the entry's process runs. */
  onEntrySeen(now: units.MonotonicMs): void {
    if (this.lostLink) this.lostLink = {...this.lostLink, entrySeenMs: now};
  }

  /** Time at which the request ends because its link is lost, infinity if the link is up. */
  get linkExpiryMs(): units.MonotonicMs {
    return this.lostLink ? lostLink.expiryMs(this.lostLink) : Infinity;
  }
}

/** A response of the backend server. */
export interface ServerAnswer {
  readonly status: number;
  /** Names and values alternating. */
  readonly headers: readonly string[];
  readonly body: Buffer;
}

/** Result of a run on the backend server. */
export type RunEnd =
  | {readonly kind: 'answered'; readonly answer: ServerAnswer}
  /** The backend server reported that it did not run the request. */
  | {readonly kind: 'shed'; readonly status: number}
  /** Another instance answers at the address; the request did not run. */
  | {readonly kind: 'misdirected'; readonly instanceId: string | undefined}
  /** No byte was sent. */
  | {readonly kind: 'not-sent'}
  /** The connection broke after bytes were sent. */
  | {readonly kind: 'broken'}
  /** The answer was truncated, malformed or belonged to another request. */
  | {readonly kind: 'bad-answer'; readonly detail: string};

/** Lowest HTTP status that counts as a server failure. */
export const FIRST_ERROR_STATUS = 500;

/**
 * Returns whether the backend server failed the request, undefined if it did not run it. A run that
 * was withdrawn has not failed: its duration so far counts.
 */
export function failureOf(
  end: RunEnd | {readonly kind: 'withdrawn'},
): boolean | undefined {
  switch (end.kind) {
    case 'answered':
      return end.answer.status >= FIRST_ERROR_STATUS;
    case 'withdrawn':
      return false;
    case 'broken':
    case 'bad-answer':
      return true;
    case 'shed':
    case 'misdirected':
    case 'not-sent':
      return undefined;
  }
}

/** Reason of a refusal and what is known about the run. */
export interface RefusalDetail {
  readonly reason: serving.Reason;
  readonly mayHaveRun: boolean;
  readonly serverDied?: boolean;
}

/** Operations that a gate calls on its environment. */
export interface GateOutput {
  /** Sends the request to the instance; the result is passed to `onRunEnded`. */
  run(call: GateCall, instanceId: string, timeLeftMs: units.Millis): void;
  /** Closes the connection of a run; `onRunEnded` is not called. */
  abort(key: string): void;
  answer(linkId: number, answer: serving.Answer): void;
  refuse(linkId: number, refusal: serving.Refusal): void;
  /** Requests an immediate health check. */
  checkHealth(): void;
  /** Requests a load report of the backend server, which is passed to `onServerLoad`. */
  sampleLoad(): void;
  /** Reports a request that may crash backend servers, or that it does not, to other nodes. */
  reportSuspect(suspicion: crashSuspects.Suspicion): void;
  /** Called when entries have to know of a change of the rate limit at once. */
  rateLimitChanged(): void;
  /** Called when the gate opens or closes, or the reason of a closure changes. */
  closureChanged(closure: serving.Closure): void;
}
