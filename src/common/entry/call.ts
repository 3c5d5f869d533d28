/** State of one caller's request at the entry. */
import * as peer from '../../generated/peer.js';
import * as units from '../units.js';
import * as entryContract from './entry_contract.js';
import * as outcomeTally from './outcome_tally.js';

/** One attempt to have a request served by a gate. */
export interface Attempt {
  readonly callId: string;
  readonly number: number;
  readonly nodeId: string;
  readonly gateIncarnation: number;
  readonly startedAtMs: units.MonotonicMs;
  /** Number of times the attempt was sent again over a new link. */
  readonly resends: number;
  /** Number of links that broke after a byte of the attempt may have been sent. */
  readonly brokenLinks: number;
  /**
   * Whether the gate is silent: a resend was not replied to either. The outcome is unknown until
   * the gate replies, and the request may be retried elsewhere.
   */
  readonly silent: boolean;
  /** When to send the attempt again, undefined if no resend is scheduled. */
  readonly resendAtMs?: units.MonotonicMs;
}

/** Why an attempt failed. */
export interface AttemptFailure {
  readonly nodeId: string;
  readonly reason: peer.RefusalReason;
  readonly outcome: peer.Outcome;
  readonly retryAfterMs: units.Millis;
  readonly alternatives: readonly peer.Alternative[];
}

/** A complete answer and the node that sent it. */
export interface ServedAnswer {
  readonly nodeId: string;
  readonly answer: peer.CallAnswer;
}

/** A request in progress, with its attempts. */
export class Call {
  private readonly open = new Map<string, Attempt>();
  private triedIds = new Set<string>();
  private attemptCount = 0;
  private possibleRunCount = 0;
  private readonly tally = new outcomeTally.OutcomeTally();
  readonly deadlineAtMs: units.MonotonicMs;

  /** Number of redirections after a gate was full. */
  redirects = 0;
  /** Number of attempts made after one that may have run, hedges included. */
  retries = 0;
  /** Number of waits between attempts. */
  waits = 0;
  /** Whether the request has been counted in the full share of the retry budget. */
  countedInFullShare = false;
  /** Number of backend servers that died while they ran the request. */
  deaths = 0;
  /** When to make a second attempt while the first is still open. */
  hedgeAtMs: units.MonotonicMs | undefined;
  /** When to make the next attempt, undefined unless the request waits between attempts. */
  retryAtMs: units.MonotonicMs | undefined;
  /** The latest failure; its reason becomes that of the final refusal. */
  lastFailure: AttemptFailure | undefined;
  /** Latest answer with an error status, returned to the caller if no attempt succeeds. */
  errorAnswer: ServedAnswer | undefined;

  constructor(
    readonly request: entryContract.CallerRequest,
    nowMs: units.MonotonicMs,
  ) {
    this.deadlineAtMs = nowMs + request.deadlineMs;
  }

  /** Whether the request may safely run more than once. */
  get idempotent(): boolean {
    return this.request.requestClass.idempotent;
  }

  /** Attempts that wait for an answer. */
  get openAttempts(): readonly Attempt[] {
    return [...this.open.values()];
  }

  /** Number of attempts opened so far. */
  get attempts(): number {
    return this.attemptCount;
  }

  /** Number of attempts that may have run and are not waited for: ended ones and silent ones. */
  get possibleRuns(): number {
    return this.possibleRunCount + this.openAttempts.filter(isSilent).length;
  }

  /** Whether all open attempts, if any, are at silent gates. */
  get onlySilentAttempts(): boolean {
    return this.openAttempts.every(isSilent);
  }

  /** Ids of the nodes tried since the last wait. */
  get triedNodeIds(): ReadonlySet<string> {
    return this.triedIds;
  }

  /** Whether it is certain that no attempt has run or will run. */
  get provenNotRun(): boolean {
    return this.outcome() === peer.Outcome.NOT_RUN;
  }

  /** Number of retries left for the call chain. */
  get retriesLeft(): number {
    const {retriesLeft, requestClass} = this.request;
    const allowed = retriesLeft ?? requestClass.maxAttempts - 1;
    return Math.max(0, allowed - this.retries);
  }

  /** The earliest time at which something is due: deadline, hedge, retry or resend. */
  get wakeAtMs(): units.MonotonicMs {
    const times = [this.deadlineAtMs];
    if (this.hedgeAtMs !== undefined) times.push(this.hedgeAtMs);
    if (this.retryAtMs !== undefined) times.push(this.retryAtMs);
    for (const attempt of this.open.values()) {
      if (attempt.resendAtMs !== undefined) times.push(attempt.resendAtMs);
    }
    return Math.min(...times);
  }

  /** Returns an open attempt, undefined if there is none with this id. */
  attempt(callId: string): Attempt | undefined {
    return this.open.get(callId);
  }

  /** Opens an attempt at a gate. */
  openAttempt(m: peer.Member, nowMs: units.MonotonicMs): Attempt {
    this.attemptCount++;
    const attempt = {
      callId: `${this.request.requestId}.${this.attemptCount}`,
      number: this.attemptCount,
      nodeId: m.nodeId,
      gateIncarnation: m.incarnation,
      startedAtMs: nowMs,
      resends: 0,
      brokenLinks: 0,
      silent: false,
    };
    this.open.set(attempt.callId, attempt);
    this.triedIds.add(m.nodeId);
    return attempt;
  }

  /** Replaces an open attempt by a copy with changed fields. */
  updateAttempt(attempt: Attempt): void {
    this.open.set(attempt.callId, attempt);
  }

  /** Ends an attempt and records its outcome. */
  endAttempt(attempt: Attempt, outcome: peer.Outcome): void {
    this.open.delete(attempt.callId);
    this.tally.add(outcome);
    if (outcome !== peer.Outcome.NOT_RUN) this.possibleRunCount++;
  }

  /** Clears the tried nodes after a wait, except the last to fail, which stays a last resort. */
  resetTriedNodes(): void {
    this.triedIds = new Set(this.lastFailure ? [this.lastFailure.nodeId] : []);
  }

  /** Returns the combined outcome of all attempts. */
  outcome(): peer.Outcome {
    return this.tally.overall(this.open.size > 0);
  }
}

function isSilent(attempt: Attempt): boolean {
  return attempt.silent;
}
