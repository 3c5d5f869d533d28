/** The state of one caller's request at its entry. */
import * as peer from '../../generated/peer.js';
import * as units from '../units.js';
import * as contract from './entry_contract.js';
import * as outcomeTally from './outcome_tally.js';

/** One attempt at a gate. */
export interface Attempt {
  readonly callId: string;
  readonly number: number;
  readonly nodeId: string;
  readonly gateIncarnation: number;
  readonly startedAtMs: units.MonotonicMs;
  /** How often the attempt was sent again over a fresh link. */
  readonly resends: number;
  /** How often a link broke after a byte of the attempt may have left. */
  readonly brokenLinks: number;
  /** When the attempt is sent again, if that is due later. */
  readonly resendAtMs?: units.MonotonicMs;
}

/** How an attempt ended without an answer. */
export interface AttemptFailure {
  readonly nodeId: string;
  readonly reason: peer.RefusalReason;
  readonly outcome: peer.Outcome;
  readonly retryAfterMs: units.Millis;
  readonly alternatives: readonly peer.Alternative[];
}

/** A whole answer with the node that gave it. */
export interface ServedAnswer {
  readonly nodeId: string;
  readonly answer: peer.CallAnswer;
}

/** A request in progress. */
export class Call {
  private readonly open = new Map<string, Attempt>();
  private triedNodes = new Set<string>();
  private attemptCount = 0;
  private runCount = 0;
  private readonly tally = new outcomeTally.OutcomeTally();
  readonly deadlineAtMs: units.MonotonicMs;

  /** Redirections made after a full gate. */
  redirects = 0;
  /** Attempts made after one that may have run. */
  retries = 0;
  /** Waits made between attempts. */
  waits = 0;
  /** Whether it is settled if the request found room where it looked first. */
  roomSought = false;
  /** Backend servers that died while they ran the request. */
  deaths = 0;
  /** When a second attempt is made beside a slow first one. */
  hedgeAtMs: units.MonotonicMs | undefined;
  /** When the next attempt is made, while the request waits between attempts. */
  againAtMs: units.MonotonicMs | undefined;
  /** The newest failure, which gives the final refusal its reason. */
  lastFailure: AttemptFailure | undefined;
  /** An answer with an error status that is given if no attempt ends better. */
  errorAnswer: ServedAnswer | undefined;

  constructor(
    readonly request: contract.CallerRequest,
    nowMs: units.MonotonicMs,
  ) {
    this.deadlineAtMs = nowMs + request.deadlineMs;
  }

  /** Whether a second run does no harm. */
  get idempotent(): boolean {
    return this.request.requestClass.idempotent;
  }

  /** Attempts waiting for an answer. */
  get openAttempts(): readonly Attempt[] {
    return [...this.open.values()];
  }

  /** Number of attempts made. */
  get attempts(): number {
    return this.attemptCount;
  }

  /** Number of ended attempts that may have run. */
  get runs(): number {
    return this.runCount;
  }

  /** Nodes that an attempt has been made at since the last wait. */
  get tried(): ReadonlySet<string> {
    return this.triedNodes;
  }

  /** Whether it is proved that no attempt has run or will run. */
  get provenNotRun(): boolean {
    return this.outcome() === peer.Outcome.NOT_RUN;
  }

  /** Retries that the call chain may still make. */
  get retriesLeft(): number {
    const {retriesLeft, requestClass} = this.request;
    const granted = retriesLeft ?? requestClass.maxAttempts - 1;
    return Math.max(0, granted - this.retries);
  }

  /** The next time at which something is due. */
  get wakeAtMs(): units.MonotonicMs {
    const times = [this.deadlineAtMs];
    if (this.hedgeAtMs !== undefined) times.push(this.hedgeAtMs);
    if (this.againAtMs !== undefined) times.push(this.againAtMs);
    for (const attempt of this.open.values()) {
      if (attempt.resendAtMs !== undefined) times.push(attempt.resendAtMs);
    }
    return Math.min(...times);
  }

  /** Returns an open attempt. */
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
    };
    this.open.set(attempt.callId, attempt);
    this.triedNodes.add(m.nodeId);
    return attempt;
  }

  /** Replaces the state of an open attempt. */
  update(attempt: Attempt): void {
    this.open.set(attempt.callId, attempt);
  }

  /** Ends an attempt whose outcome is known to be `outcome`. */
  settle(attempt: Attempt, outcome: peer.Outcome): void {
    this.open.delete(attempt.callId);
    this.tally.add(outcome);
    if (outcome !== peer.Outcome.NOT_RUN) this.runCount++;
  }

  /** Lets members be tried again after a wait, the one that failed last only at need. */
  startRound(): void {
    this.triedNodes = new Set(
      this.lastFailure ? [this.lastFailure.nodeId] : [],
    );
  }

  /** Returns the outcome over all attempts. */
  outcome(): peer.Outcome {
    return this.tally.combined(this.open.size > 0);
  }
}
