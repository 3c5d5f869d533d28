/** What the answers of a backend server state about its incarnation. */
import * as invariants from '../invariants.js';

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
  private readonly sources = new Set<AnswerKind>();
  private current: number | undefined;

  /** Requests per second, undefined without a limit. */
  get perSecond(): number | undefined {
    return this.current;
  }

  /**
   * Applies the statement of an answer; returns whether the limit changed.
   *
   * An answer without a limit withdraws it only if answers of its kind have named one: a health
   * check that never names limits does not contradict the answers that do. A malformed limit
   * changes nothing.
   */
  apply({source, limit}: ServerStatement): boolean {
    const before = this.current;
    switch (limit.kind) {
      case 'named':
        this.sources.add(source);
        this.current = limit.perSecond;
        break;
      case 'none':
        if (this.sources.has(source)) this.current = undefined;
        break;
      case 'malformed':
        break;
      default:
        return invariants.assertNever(limit);
    }
    return before !== this.current;
  }
}
