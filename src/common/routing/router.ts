/** Chooses the member that an attempt is sent to. */
import * as peer from '../../generated/peer.js';
import * as fleetView from '../control/fleet_view.js';
import * as randomSource from '../random_source.js';
import * as units from '../units.js';
import * as candidateList from './candidates.js';
import * as explanation from './explanation.js';
import * as failureMemory from './failure_memory.js';
import * as loadView from './load_view.js';
import * as locality from './locality.js';
import * as outstandingAttempts from './outstanding_attempts.js';
import * as selector from './selector.js';

const NONE_TRIED: ReadonlySet<string> = new Set();

/** Dependencies of `Router`. */
export interface RouterOptions {
  readonly here: locality.NodeLocation;
  readonly settings: selector.SelectorSettings;
  readonly view: fleetView.FleetView;
  readonly random: randomSource.RandomSource;
}

/** A member chosen for an attempt. */
export interface Choice {
  readonly member: peer.Member;
  /** Whether the request has not been tried at this member. */
  readonly untried: boolean;
}

/** Chooses members by load, failures and locality. */
export class Router {
  readonly ownAttempts = new outstandingAttempts.OutstandingAttempts();
  readonly failures = new failureMemory.FailureMemory();
  readonly loads: loadView.LoadView;
  readonly selector: selector.Selector;

  constructor(private readonly options: RouterOptions) {
    const {settings, here, random} = options;
    this.loads = new loadView.LoadView(
      this.ownAttempts,
      selector.halfLifeOf(settings),
    );
    this.selector = new selector.Selector({
      settings,
      here,
      random,
      loads: this.loads,
      ownAttempts: this.ownAttempts,
    });
  }

  /** Chooses a member, preferring untried ones; undefined if none may get requests. */
  choose(
    service: string,
    tried: ReadonlySet<string>,
    nowMs: units.MonotonicMs,
  ): Choice | undefined {
    const {members, untried} = this.candidates(service, tried, nowMs);
    if (members.length === 0) return undefined;
    return {member: this.selector.choose(service, members, nowMs), untried};
  }

  /** Chooses among the alternatives that a full gate named, undefined if none is usable. */
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
      if (!fleetView.canReceiveRequests(this.options.view, m)) return [];
      const lastResortReason = candidateList.lastResortReasonOf(
        m,
        tried,
        this.failures,
        nowMs,
      );
      return lastResortReason === undefined ? [m.member] : [];
    });
    return minBy(usable, m => this.selector.scoreOf(m, nowMs));
  }

  /** Whether a usable member is left at which the request has not been tried. */
  hasUntried(
    service: string,
    tried: ReadonlySet<string>,
    nowMs: units.MonotonicMs,
  ): boolean {
    const {members, untried} = this.candidates(service, tried, nowMs);
    return untried && members.length > 0;
  }

  /** Handles a load report that a gate sent itself. */
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

  /** Handles a load report relayed by another node; only the redirect selector uses these. */
  onRelayedReport(
    nodeId: string,
    report: peer.LoadReport | undefined,
    nowMs: units.MonotonicMs,
  ): void {
    if (this.options.settings.kind === 'redirect') {
      this.onReport(nodeId, report, nowMs);
    }
  }

  /** Explains the choice among the members of a service, best member first. */
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
      exclusion: candidateList.exclusionReasonOf(view, m),
      reservation: candidateList.lastResortReasonOf(
        m,
        NONE_TRIED,
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

/** Returns the item with the lowest value, the first if equal, undefined without items. */
function minBy<T>(
  items: readonly T[],
  valueOf: (item: T) => number,
): T | undefined {
  let best: T | undefined;
  let bestValue = Infinity;
  for (const item of items) {
    const value = valueOf(item);
    if (value < bestValue) [best, bestValue] = [item, value];
  }
  return best;
}
