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
}

/** How an attempt ended without an answer. */
export interface AttemptFailure {
  readonly nodeId: string;
  readonly reason: peer.RefusalReason;
  readonly outcome: peer.Outcome;
  readonly retryAfterMs: units.Millis;
  readonly alternatives: readonly peer.Alternative[];
  /** Home of the key named by the gate, empty without one. */
  readonly homeNodeId: string;
}

/** A request in progress. */
export class Call {
  private readonly open = new Map<string, Attempt>();
  private readonly triedNodes = new Set<string>();
  private attemptCount = 0;
  readonly tally = new outcomeTally.OutcomeTally();
  readonly deadlineAtMs: units.MonotonicMs;

  /** The newest failure, which gives the final refusal its reason. */
  lastFailure: AttemptFailure | undefined;

  constructor(
    readonly request: contract.CallerRequest,
    nowMs: units.MonotonicMs,
  ) {
    this.deadlineAtMs = nowMs + request.deadlineMs;
  }

  /** Attempts waiting for an answer. */
  get openAttempts(): readonly Attempt[] {
    return [...this.open.values()];
  }

  /** Number of attempts made. */
  get attempts(): number {
    return this.attemptCount;
  }

  /** Nodes that an attempt has been made at. */
  get tried(): ReadonlySet<string> {
    return this.triedNodes;
  }

  /** Opens an attempt at a gate. */
  openAttempt(member: peer.Member, nowMs: units.MonotonicMs): Attempt {
    this.attemptCount++;
    const attempt = {
      callId: `${this.request.requestId}.${this.attemptCount}`,
      number: this.attemptCount,
      nodeId: member.nodeId,
      gateIncarnation: member.incarnation,
      startedAtMs: nowMs,
      resends: 0,
    };
    this.open.set(attempt.callId, attempt);
    this.triedNodes.add(member.nodeId);
    return attempt;
  }

  /** Ends an attempt whose outcome is known to be `outcome`. */
  settle(attempt: Attempt, outcome: peer.Outcome): void {
    if (this.open.delete(attempt.callId)) this.tally.add(outcome);
  }

  /** Returns the outcome over all attempts. */
  outcome(): peer.Outcome {
    return this.tally.combined(this.open.size > 0);
  }
}
