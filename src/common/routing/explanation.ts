/** Routing explanation of a service, as shown by `geraniumloft explain`. */
import * as units from '../units.js';
import * as candidates from './candidates.js';
import * as loadView from './load_view.js';
import * as locality from './locality.js';
import * as selector from './selector.js';

/** How the entry rates one member. */
export interface MemberExplanation {
  readonly nodeId: string;
  readonly dataCentre: string;
  readonly locality: locality.Locality;
  /** Why it gets no requests. */
  readonly exclusion?: candidates.ExclusionReason;
  /** Why it gets requests only when no better member is left. */
  readonly reservation?: candidates.LastResortReason;
  /** Remaining time for which it is avoided after failures. */
  readonly avoidedForMs?: units.Millis;
  /** Estimated load of its gate now. */
  readonly estimate: loadView.LoadEstimate;
  /** Score including distance; load-based selectors prefer the lowest. */
  readonly score: number;
}

/** How the entry would choose among the members of a service now. Serialised as JSON. */
export interface RoutingExplanation {
  readonly service: string;
  readonly selector: selector.SelectorSettings['kind'];
  /** Members in order of preference: preferred ones, last resorts, then excluded ones. */
  readonly members: readonly MemberExplanation[];
}

/** Compares members by whether they get requests, then by score. */
export function byPreference(
  a: MemberExplanation,
  b: MemberExplanation,
): number {
  return rank(a) - rank(b) || a.score - b.score;
}

function rank(m: MemberExplanation): number {
  if (m.exclusion !== undefined) return 2;
  return m.reservation !== undefined ? 1 : 0;
}
