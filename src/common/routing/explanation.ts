/** Why requests of a service would go where: what `geraniumloft explain` shows. */
import * as units from '../units.js';
import * as candidates from './candidates.js';
import * as loadView from './load_view.js';
import * as locality from './locality.js';
import * as selector from './selector.js';

/** How one member stands. */
export interface MemberExplanation {
  readonly nodeId: string;
  readonly dataCentre: string;
  readonly locality: locality.Locality;
  /** Why it gets no requests. */
  readonly exclusion?: candidates.Exclusion;
  /** Why it gets requests only when no other member is left. */
  readonly reservation?: candidates.Reservation;
  /** How long it is still avoided after failures. */
  readonly avoidedForMs?: units.Millis;
  /** What is expected of its gate now. */
  readonly estimate: loadView.Estimate;
  /** Score with its distance; selectors that go by load prefer the least. */
  readonly score: number;
}

/** How the entry would choose among the members of a service now. */
export interface RoutingExplanation {
  readonly service: string;
  readonly selector: selector.SelectorSettings['kind'];
  /** Members in the order of preference: usable ones by score, then the excluded. */
  readonly members: readonly MemberExplanation[];
}

/** Orders members by whether they are used, then by score. */
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
