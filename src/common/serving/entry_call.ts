/** Types of callers' requests at an entry. */
import * as serving from '../../generated/serving.js';
import * as units from '../units.js';
import * as workspace from '../workspaces/workspace.js';
import * as configuration from './configuration.js';

/**
 * Longest time for which an answer is awaited beyond the earliest estimate of a deadline. Gates end
 * runs as long after it, and callers are to be answered within half a second of it.
 */
const MAX_EXTRA_WAIT_MS: units.Millis = 300;

/** A caller's request, fully received. */
export interface CallerRequest {
  /** Unique within the process. */
  readonly id: number;
  /** Request id given by the caller. */
  readonly requestId: string;
  readonly method: string;
  /** Path and query as received. */
  readonly target: string;
  /** Headers for the backend server, names and values alternating. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  readonly timeLeftMs: units.Millis;
  /** Time for which it may have waited unread, which `timeLeftMs` leaves out; 0 by default. */
  readonly waitedMs?: units.Millis;
  /** Time for which it was held after it was read, which `timeLeftMs` includes; 0 by default. */
  readonly heldMs?: units.Millis;
  /** Workspace of the caller, undefined if the request needs no key. */
  readonly workspace?: workspace.Workspace;
  /** Identifies the request across retries by callers. */
  readonly fingerprint: string;
}

/** One attempt at a request, sent to a gate. */
export class Attempt {
  /** Whether the gate has been silent since, so that a run may be at work unseen. */
  isOutcomeUnknown = false;

  constructor(
    /** Unique within the process. */
    readonly number: number,
    readonly nodeId: string,
  ) {}
}

/** A request in progress at an entry. */
export class EntryCall {
  /** Time at which the request was read. */
  readonly arrivedMs: units.MonotonicMs;

  /** Time at which the request times out, by its earliest estimate; runs must end by then. */
  readonly endMs: units.MonotonicMs;

  /** Time until which an open attempt may still be answered: the request may be newer. */
  readonly giveUpAtMs: units.MonotonicMs;

  /** Open attempts by number. */
  readonly attempts = new Map<number, Attempt>();

  /** Nodes whose gates redirected the request; used again only if no other is left. */
  readonly redirected = new Set<string>();

  /** Nodes whose server failed the request; used again only if no other is left. */
  readonly failed = new Set<string>();

  /** Nodes whose gates cannot accept the request. */
  readonly closed = new Set<string>();

  /** Number of times that the request was sent to a gate. */
  hops = 0;

  /**
   * Number of runs on backend servers that have ended or whose outcome is unknown, including those
   * that may not have started.
   */
  servers = 0;

  /** Whether an attempt has ended whose run may have begun. */
  hasRun = false;

  /** Whether it was drawn for the target version of a roll-out. */
  drewTarget = false;

  /** Time at which a hedge is considered, infinity for none. */
  hedgeAtMs: units.MonotonicMs = Infinity;

  /** A server's error response, returned if no other attempt succeeds. */
  failure: serving.Answer | undefined;

  /** Shortest delay given by gates whose rate limit is used up, infinity without one. */
  rateRetryMs: units.Millis = Infinity;

  /** The latest refusal by a gate. */
  refusal: serving.Refusal | undefined;

  constructor(
    readonly request: CallerRequest,
    readonly route: configuration.Route,
    readonly service: string,
    now: units.MonotonicMs,
  ) {
    const {timeLeftMs, waitedMs = 0, heldMs = 0} = request;
    const arrivedMs = now - heldMs;
    this.arrivedMs = arrivedMs;
    const longestMs = timeLeftMs + Math.min(waitedMs, MAX_EXTRA_WAIT_MS);
    this.endMs = arrivedMs + Math.min(timeLeftMs, route.timeoutMs);
    this.giveUpAtMs = arrivedMs + Math.min(longestMs, route.timeoutMs);
  }

  /** Whether a server may have run the request, seen from what is known now. */
  get mayHaveRun(): boolean {
    return this.hasRun || this.liveAttempts < this.attempts.size;
  }

  /** Number of open attempts whose gate is not silent. */
  get liveAttempts(): number {
    let count = 0;
    for (const {isOutcomeUnknown} of this.attempts.values()) {
      if (!isOutcomeUnknown) count++;
    }
    return count;
  }
}

/** Reasons for which an entry gives up on a request. */
export const GIVE_UP_REASONS = [
  'unconfigured',
  'no-server',
  'no-room',
  'no-time',
  'quarantined',
  'shed',
  'server-failed',
  'timeout',
  'stopping',
  'internal',
  'no-freshness-proof',
  'over-quota',
] as const;

/** Reason for which an entry gives up on a request. */
export type GiveUpReason = (typeof GIVE_UP_REASONS)[number];

/** Final result of a request without an answer. */
export interface GiveUp {
  readonly reason: GiveUpReason;
  /** Whether a backend server may have run the request. */
  readonly mayHaveRun: boolean;
  /** Delay after which the caller may retry. */
  readonly retryAfterMs: units.Millis;
}

/** Operations that an entry calls on its environment. */
export interface EntryOutput {
  dispatch(nodeId: string, dispatch: serving.Dispatch): void;
  withdraw(nodeId: string, attempt: number): void;
  respond(requestId: number, answer: serving.Answer): void;
  giveUp(requestId: number, giveUp: GiveUp): void;
}
