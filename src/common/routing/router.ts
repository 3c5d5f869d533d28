/** Where attempts go, and what their ends teach about the members. */
import * as peer from '../../generated/peer.js';
import * as fleetView from '../control/fleet_view.js';
import * as randomSource from '../random_source.js';
import * as units from '../units.js';
import * as candidateList from './candidates.js';
import * as explanation from './explanation.js';
import * as failureMemory from './failure_memory.js';
import * as loadView from './load_view.js';
import * as locality from './locality.js';
import * as outstanding from './outstanding.js';
import * as selector from './selector.js';

const NOT_TRIED: ReadonlySet<string> = new Set();

/** What a router is made with. */
export interface RouterOptions {
  readonly here: locality.Place;
  readonly settings: selector.SelectorSettings;
  readonly view: fleetView.FleetView;
  readonly random: randomSource.RandomSource;
}

/** A member chosen for an attempt. */
export interface Choice {
  readonly member: peer.Member;
  /** Whether the request has not been tried there. */
  readonly fresh: boolean;
}

/** Chooses members and keeps what is known of them. */
export class Router {
  readonly own = new outstanding.Outstanding();
  readonly failures = new failureMemory.FailureMemory();
  readonly loads: loadView.LoadView;
  readonly selector: selector.Selector;

  constructor(private readonly options: RouterOptions) {
    const {settings, here, random} = options;
    this.loads = new loadView.LoadView(this.own, selector.halfLifeOf(settings));
    this.selector = new selector.Selector({
      settings,
      here,
      random,
      loads: this.loads,
      own: this.own,
    });
  }

  /** Chooses a member, an untried one while there is one. */
  choose(
    service: string,
    tried: ReadonlySet<string>,
    nowMs: units.MonotonicMs,
  ): Choice | undefined {
    const {members, fresh} = this.candidates(service, tried, nowMs);
    if (members.length === 0) return undefined;
    return {member: this.selector.choose(service, members, nowMs), fresh};
  }

  /** Chooses among the siblings that a full gate named, undefined if none can be used. */
  chooseAlternative(
    alternatives: readonly peer.Alternative[],
    service: string,
    tried: ReadonlySet<string>,
    nowMs: units.MonotonicMs,
  ): peer.Member | undefined {
    if (this.options.settings.kind !== 'redirect') return undefined;
    const usable = alternatives.flatMap(a => {
      const m = this.options.view.member(a.nodeId);
      if (m === undefined || m.member.service !== service) return [];
      if (!fleetView.mayTakeWork(this.options.view, m)) return [];
      const reserved = candidateList.reservationOf(
        m,
        tried,
        this.failures,
        nowMs,
      );
      return reserved === undefined ? [m.member] : [];
    });
    return leastBy(usable, m => this.selector.scoreOf(m, nowMs));
  }

  /** Whether a member is left at which the request has not been tried. */
  hasFresh(
    service: string,
    tried: ReadonlySet<string>,
    nowMs: units.MonotonicMs,
  ): boolean {
    const {members, fresh} = this.candidates(service, tried, nowMs);
    return fresh && members.length > 0;
  }

  /** Takes a load report of a gate from its own message. */
  onReport(
    nodeId: string,
    report: peer.LoadReport | undefined,
    nowMs: units.MonotonicMs,
  ): void {
    const m = this.options.view.member(nodeId);
    if (m === undefined || report === undefined) return;
    this.loads.onReport(m.member, report, nowMs);
    if (report.leaving) this.failures.onFailure(nodeId, nowMs);
  }

  /** Takes load reports that come from other nodes, which only some selectors trust. */
  onRelayedReport(
    nodeId: string,
    report: peer.LoadReport | undefined,
    nowMs: units.MonotonicMs,
  ): void {
    if (this.options.settings.kind === 'redirect') {
      this.onReport(nodeId, report, nowMs);
    }
  }

  /** Returns how the members of a service stand, best first. */
  explain(
    service: string,
    nowMs: units.MonotonicMs,
  ): explanation.RoutingExplanation {
    const members = this.options.view
      .membersOf(service)
      .map(m => this.explainMember(m, nowMs))
      .sort(explanation.byPreference);
    return {service, selector: this.options.settings.kind, members};
  }

  private explainMember(
    m: fleetView.MemberView,
    nowMs: units.MonotonicMs,
  ): explanation.MemberExplanation {
    const {view, here} = this.options;
    const {nodeId, dataCentre} = m.member;
    const untilMs = this.failures.avoidedUntilMs(nodeId, nowMs);
    return {
      nodeId,
      dataCentre,
      locality: locality.localityOf(here, m.member),
      exclusion: candidateList.exclusionOf(view, m),
      reservation: candidateList.reservationOf(
        m,
        NOT_TRIED,
        this.failures,
        nowMs,
      ),
      avoidedForMs: untilMs === undefined ? undefined : untilMs - nowMs,
      estimate: this.loads.estimate(m.member, nowMs),
      score: this.selector.scoreOf(m.member, nowMs),
    };
  }

  private candidates(
    service: string,
    tried: ReadonlySet<string>,
    nowMs: units.MonotonicMs,
  ): candidateList.Candidates {
    const {view} = this.options;
    return candidateList.candidates(view, service, tried, this.failures, nowMs);
  }
}

/** Returns the item with the least value, the first of equals, undefined without items. */
function leastBy<T>(
  items: readonly T[],
  valueOf: (item: T) => number,
): T | undefined {
  let least: T | undefined;
  let leastValue = Infinity;
  for (const item of items) {
    const value = valueOf(item);
    if (value < leastValue) [least, leastValue] = [item, value];
  }
  return least;
}
