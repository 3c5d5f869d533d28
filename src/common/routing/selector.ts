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

/** Added to the score of a member for its distance. */
const DISTANCE_SCORES: Readonly<Record<locality.Locality, number>> = {
  'data-centre': 0,
  region: 0.15,
  elsewhere: 0.75,
};

/** Most that chance adds to the score of a member of which nothing recent is known. */
const JITTER_SCORE = 0.1;

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
      case 'redirect':
        return this.bestOfSample(members, nowMs);
      default:
        return invariants.assertNever(settings);
    }
  }

  /** Returns the score of a member, its distance included; the least is the best. */
  scoreOf(m: peer.Member, nowMs: units.MonotonicMs): number {
    const {here, loads} = this.options;
    const {score} = loads.estimate(m, nowMs);
    if (m.nodeId === here.nodeId) return score - OWN_GATE_SCORE;
    return score + DISTANCE_SCORES[locality.localityOf(here, m)];
  }

  /**
   * Takes the best of two members of the nearest group and one of a farther group, which is
   * better only when its room makes up for the way.
   */
  private bestOfSample(
    members: readonly peer.Member[],
    nowMs: units.MonotonicMs,
  ): peer.Member {
    const groups = locality.byLocality(this.options.here, members);
    const sample = [...this.two(groups[0])];
    const farther = groups.slice(1).flat();
    if (farther.length > 0) sample.push(this.any(farther));
    let best = sample[0];
    let bestScore = this.jitteredScore(best, nowMs);
    for (const m of sample.slice(1)) {
      const score = this.jitteredScore(m, nowMs);
      if (score < bestScore) [best, bestScore] = [m, score];
    }
    return best;
  }

  /** Scores that rest on little knowledge vary, lest all entries choose alike. */
  private jitteredScore(m: peer.Member, nowMs: units.MonotonicMs): number {
    const {weight} = this.options.loads.estimate(m, nowMs);
    const jitter = this.options.random.next() * JITTER_SCORE * (1 - weight);
    return this.scoreOf(m, nowMs) + jitter;
  }

  private two(members: readonly peer.Member[]): readonly peer.Member[] {
    const {random} = this.options;
    if (members.length === 1) return members;
    const i = random.nextInt(members.length);
    const j = (i + 1 + random.nextInt(members.length - 1)) % members.length;
    return [members[i], members[j]];
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
