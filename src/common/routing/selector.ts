/** Choice among the members that may take an attempt. */
import * as generated from '../../generated/settings.js';
import * as peer from '../../generated/peer.js';
import * as invariants from '../invariants.js';
import * as randomSource from '../random_source.js';
import * as units from '../units.js';
import * as loadView from './load_view.js';
import * as locality from './locality.js';
import * as outstanding from './outstanding.js';

/** How members are chosen, as settings say it. */
export type SelectorSettings = generated.Settings['selector'];

/** Age at which a load report weighs half, unless settings say otherwise. */
const DEFAULT_HALF_LIFE_MS = 100;

/** Utilisation of the nearest members at which requests begin to go farther. */
const SPILL_FROM_UTILISATION = 0.75;

/** Taken off the score of the own gate, which needs no link. */
const OWN_GATE_SCORE = 0.1;

/** Most services with a place in the turn. */
const MAX_TURNS = 1_000;

/** Returns the half-life of load reports under `settings`. */
export function halfLifeOf(settings: SelectorSettings): units.Millis {
  const halfLifeMs =
    settings.kind === 'in-band' || settings.kind === 'redirect'
      ? settings.halfLifeMs
      : undefined;
  return halfLifeMs ?? DEFAULT_HALF_LIFE_MS;
}

/** What a selector chooses by. */
export interface SelectorOptions {
  readonly settings: SelectorSettings;
  readonly here: locality.Place;
  readonly loads: loadView.LoadView;
  readonly own: outstanding.Outstanding;
  readonly random: randomSource.RandomSource;
}

/** Chooses a member by the kind of selector in settings. */
export class Selector {
  private readonly turns = new Map<string, number>();

  constructor(private readonly options: SelectorOptions) {}

  /** Chooses one of `members`, which must not be empty. */
  choose(
    service: string,
    members: readonly peer.Member[],
    nowMs: units.MonotonicMs,
  ): peer.Member {
    const {settings} = this.options;
    switch (settings.kind) {
      case 'random':
        return this.any(members);
      case 'round-robin':
        return this.inTurn(service, members);
      case 'least-in-flight':
        return this.leastOutstanding(members);
      case 'in-band':
      case 'probe-pool':
      case 'redirect':
        return this.betterOfTwo(this.nearest(members, nowMs), nowMs);
      default:
        return invariants.assertNever(settings);
    }
  }

  /** Returns the score of a member; the least is the best. */
  scoreOf(m: peer.Member, nowMs: units.MonotonicMs): number {
    const {score} = this.options.loads.estimate(m, nowMs);
    const ownGate = m.nodeId === this.options.here.nodeId;
    return ownGate ? score - OWN_GATE_SCORE : score;
  }

  /** Returns the share of requests that pass over the group `i` of `groups` for farther ones. */
  spillShare(
    groups: readonly (readonly peer.Member[])[],
    i: number,
    nowMs: units.MonotonicMs,
  ): number {
    if (i + 1 >= groups.length) return 0;
    const near = this.options.loads.meanUtilisation(groups[i], nowMs);
    const far = this.options.loads.meanUtilisation(groups[i + 1], nowMs);
    const excess =
      (near - SPILL_FROM_UTILISATION) / (1 - SPILL_FROM_UTILISATION);
    const nearRoom = Math.max(0, 1 - near);
    const farRoom = Math.max(0, 1 - far);
    if (excess <= 0 || farRoom === 0) return 0;
    return (Math.min(1, excess) * farRoom) / (farRoom + nearRoom);
  }

  private nearest(
    members: readonly peer.Member[],
    nowMs: units.MonotonicMs,
  ): readonly peer.Member[] {
    const groups = locality.byLocality(this.options.here, members);
    let i = 0;
    while (this.options.random.next() < this.spillShare(groups, i, nowMs)) i++;
    return groups[i];
  }

  private betterOfTwo(
    members: readonly peer.Member[],
    nowMs: units.MonotonicMs,
  ): peer.Member {
    const {random} = this.options;
    if (members.length === 1) return members[0];
    const i = random.nextInt(members.length);
    const j = (i + 1 + random.nextInt(members.length - 1)) % members.length;
    const [first, second] = [members[i], members[j]];
    return this.scoreOf(second, nowMs) < this.scoreOf(first, nowMs)
      ? second
      : first;
  }

  private any(members: readonly peer.Member[]): peer.Member {
    return members[this.options.random.nextInt(members.length)];
  }

  private inTurn(
    service: string,
    members: readonly peer.Member[],
  ): peer.Member {
    const turn =
      this.turns.get(service) ?? this.options.random.nextInt(members.length);
    if (this.turns.size >= MAX_TURNS) this.turns.clear();
    this.turns.set(service, turn + 1);
    return members[turn % members.length];
  }

  private leastOutstanding(members: readonly peer.Member[]): peer.Member {
    const {own, random} = this.options;
    const least = Math.min(...members.map(m => own.at(m.nodeId)));
    const best = members.filter(m => own.at(m.nodeId) === least);
    return best[random.nextInt(best.length)];
  }
}
