/** Selection strategies among the candidate members of an attempt. */
import * as generated from '../../generated/settings.js';
import * as peer from '../../generated/peer.js';
import * as invariants from '../invariants.js';
import * as randomSource from '../random_source.js';
import * as units from '../units.js';
import * as loadView from './load_view.js';
import * as locality from './locality.js';
import * as outstandingAttempts from './outstanding_attempts.js';

/** Selector configuration from the settings file. */
export type SelectorSettings = generated.Settings['selector'];

/** Half-life of load reports, unless set in the settings. */
const DEFAULT_HALF_LIFE_MS = 100;

/** Added to the score of a member by distance class, in units of utilisation. */
const DISTANCE_PENALTIES: Readonly<Record<locality.Locality, number>> = {
  'data-centre': 0,
  region: 0.15,
  elsewhere: 0.75,
};

/** Upper bound of the random addition to the score of a member without a recent report. */
const MAX_JITTER = 0.1;

/** Subtracted from the score of this node's own gate, which needs no link. */
const OWN_GATE_BONUS = 0.1;

/** Maximum number of round-robin positions, one per service; all are cleared at this number. */
const MAX_SERVICES = 1_000;

/** Returns the half-life of load reports for a selector. */
export function halfLifeOf(settings: SelectorSettings): units.Millis {
  const halfLifeMs =
    settings.kind === 'in-band' || settings.kind === 'redirect'
      ? settings.halfLifeMs
      : undefined;
  return halfLifeMs ?? DEFAULT_HALF_LIFE_MS;
}

/** Dependencies of `Selector`. */
export interface SelectorOptions {
  readonly settings: SelectorSettings;
  readonly here: locality.NodeLocation;
  readonly loads: loadView.LoadView;
  readonly ownAttempts: outstandingAttempts.OutstandingAttempts;
  readonly random: randomSource.RandomSource;
}

/** Chooses a member with the strategy in the settings. */
export class Selector {
  private readonly nextIndices = new Map<string, number>();

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
        return this.pickRandom(members);
      case 'round-robin':
        return this.nextRoundRobin(service, members);
      case 'least-in-flight':
        return this.leastInFlight(members);
      case 'in-band':
      case 'redirect':
        return this.bestOfSample(members, nowMs);
      default:
        return invariants.assertNever(settings);
    }
  }

  /** Returns the score of a member including distance; the lowest is best. */
  scoreOf(m: peer.Member, nowMs: units.MonotonicMs): number {
    const {here, loads} = this.options;
    const {score} = loads.estimate(m, nowMs);
    if (m.nodeId === here.nodeId) return score - OWN_GATE_BONUS;
    return score + DISTANCE_PENALTIES[locality.localityOf(here, m)];
  }

  /**
   * Returns the best of two random members of the nearest group and one of the farther groups,
   * which wins only if its lower load outweighs the distance penalty.
   */
  private bestOfSample(
    members: readonly peer.Member[],
    nowMs: units.MonotonicMs,
  ): peer.Member {
    const groups = locality.byLocality(this.options.here, members);
    const sample = [...this.pickTwoRandom(groups[0])];
    const farther = groups.slice(1).flat();
    if (farther.length > 0) sample.push(this.pickRandom(farther));
    let best = sample[0];
    let bestScore = this.jitteredScore(best, nowMs);
    for (const m of sample.slice(1)) {
      const score = this.jitteredScore(m, nowMs);
      if (score < bestScore) [best, bestScore] = [m, score];
    }
    return best;
  }

  /** Adds jitter to scores based on old reports, so that entries do not all choose alike. */
  private jitteredScore(m: peer.Member, nowMs: units.MonotonicMs): number {
    const {weight} = this.options.loads.estimate(m, nowMs);
    const jitter = this.options.random.next() * MAX_JITTER * (1 - weight);
    return this.scoreOf(m, nowMs) + jitter;
  }

  private pickTwoRandom(
    members: readonly peer.Member[],
  ): readonly peer.Member[] {
    const {random} = this.options;
    if (members.length === 1) return members;
    const i = random.nextInt(members.length);
    const j = (i + 1 + random.nextInt(members.length - 1)) % members.length;
    return [members[i], members[j]];
  }

  private pickRandom(members: readonly peer.Member[]): peer.Member {
    return members[this.options.random.nextInt(members.length)];
  }

  private nextRoundRobin(
    service: string,
    members: readonly peer.Member[],
  ): peer.Member {
    const index =
      this.nextIndices.get(service) ??
      this.options.random.nextInt(members.length);
    if (this.nextIndices.size >= MAX_SERVICES) this.nextIndices.clear();
    this.nextIndices.set(service, index + 1);
    return members[index % members.length];
  }

  private leastInFlight(members: readonly peer.Member[]): peer.Member {
    const {ownAttempts, random} = this.options;
    const min = Math.min(...members.map(m => ownAttempts.countAt(m.nodeId)));
    const best = members.filter(m => ownAttempts.countAt(m.nodeId) === min);
    return best[random.nextInt(best.length)];
  }
}
