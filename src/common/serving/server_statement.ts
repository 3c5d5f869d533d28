/** What the answers of a backend server state about its incarnation. */
import * as invariants from '../invariants.js';
import * as units from '../units.js';

/** Most requests per second while it is not known whether a limit that was named still holds. */
const UNCONFIRMED_PER_SECOND = 4;

/** Kind of an answer; a server may name its limit in some kinds only. */
export type AnswerKind =
  /** Answer to a request that ran. */
  | 'run'
  /** Refusal of a request that did not run. */
  | 'shed'
  | 'health';

/** Rate limit in an answer. */
export type StatedLimit =
  | {readonly kind: 'none'}
  | {readonly kind: 'named'; readonly perSecond: number}
  | {readonly kind: 'malformed'; readonly text: string};

/** Statements of one answer. */
export interface ServerStatement {
  readonly source: AnswerKind;
  /** Requests per second that the server accepts from all nodes together. */
  readonly limit: StatedLimit;
  /** Whether the server states that it is leaving. */
  readonly leaving: boolean;
}

/** The rate limit in force for one incarnation, derived from its answers in order of arrival. */
export class LimitStatements {
  /** Kinds of answers whose latest one named a limit. */
  private readonly sources = new Set<AnswerKind>();
  private current: number | undefined;
  private hasLimit = false;
  private hasAnswered = false;
  /** End of a pause since which no answer has told the limit. */
  private resumedMs: units.MonotonicMs | undefined;

  /** Requests per second that may be sent, undefined without a limit. */
  get perSecond(): number | undefined {
    if (this.resumedMs === undefined) return this.current;
    return Math.min(this.current ?? Infinity, UNCONFIRMED_PER_SECOND);
  }

  /** Requests per second as last named or reported, undefined without a limit. */
  get named(): number | undefined {
    return this.current;
  }

  /** Whether a limit has been named or reported at any time. */
  get isKnown(): boolean {
    return this.hasLimit;
  }

  /**
   * Applies a limit that another node reports; ignored after the first statement of the server
   * itself, which is newer. Returns whether the limit changed.
   */
  applyReported(perSecond: number): boolean {
    if (this.hasLimit || this.hasAnswered) return false;
    this.hasLimit = true;
    this.current = perSecond;
    return true;
  }

  /**
   * Handles the end of a pause of this process, in which the limit may have changed; returns
   * whether the requests that may be sent changed.
   */
  onResumed(now: units.MonotonicMs): boolean {
    if (!this.hasLimit) return false;
    const before = this.perSecond;
    this.resumedMs = now;
    return before !== this.perSecond;
  }

  /**
   * Applies the statement of an answer; returns whether the limit changed.
   *
   * An answer without a limit withdraws it only if the previous answer of its kind named one: a
   * health check that names no limits does not contradict the answers that do. A malformed limit
   * changes nothing.
   *
   * @param askedMs when the request of the answer was sent.
   */
  apply({source, limit}: ServerStatement, askedMs: units.MonotonicMs): boolean {
    const before = this.perSecond;
    this.hasAnswered ||= source === 'run';
    switch (limit.kind) {
      case 'named':
        this.hasLimit = true;
        this.sources.add(source);
        this.current = limit.perSecond;
        break;
      case 'none':
        if (this.withdraws(source)) this.current = undefined;
        break;
      case 'malformed':
        break;
      default:
        return invariants.assertNever(limit);
    }
    const tellsLimit = source !== 'health' || limit.kind === 'named';
    if (tellsLimit && askedMs >= (this.resumedMs ?? Infinity)) {
      this.resumedMs = undefined;
    }
    return before !== this.perSecond;
  }

  /** Handles an answer without a limit; returns whether it withdraws the one in force. */
  private withdraws(source: AnswerKind): boolean {
    // Which kinds of answers name a reported limit is not known; those to requests do.
    const isOnlyReported = this.sources.size === 0;
    return this.sources.delete(source) || (isOnlyReported && source === 'run');
  }
}
