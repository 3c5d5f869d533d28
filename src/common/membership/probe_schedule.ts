/** Probe order: all members in shuffled rounds, and siblings of a small service more often. */
import * as peer from '../../generated/peer.js';
import * as randomSource from '../random_source.js';
import * as units from '../units.js';

/** Time between probes of the round over all members. */
export const PROBE_INTERVAL_MS: units.Millis = 1_000;

/** Time between probes of the round over the siblings. */
export const SIBLING_INTERVAL_MS: units.Millis = 500;

/** Maximum number of siblings (other members of this service) probed in a separate round. */
const MAX_SIBLINGS = 30;

/** Schedules probes in shuffled rounds over the members. */
export class ProbeSchedule {
  private members: readonly peer.Member[] = [];
  private siblings: readonly peer.Member[] = [];
  private byId: ReadonlyMap<string, peer.Member> = new Map();
  private round: string[] = [];
  private siblingRound: string[] = [];
  private nextProbeMs: units.MonotonicMs | undefined;
  private nextSiblingProbeMs: units.MonotonicMs | undefined;

  constructor(
    private readonly self: peer.Member,
    private readonly random: randomSource.RandomSource,
  ) {}

  /** Number of members, this node included. */
  get memberCount(): number {
    return this.members.length + 1;
  }

  /** Sets the members; a round in progress skips those that were removed. */
  setMembers(members: readonly peer.Member[]): void {
    this.members = members.filter(m => m.nodeId !== this.self.nodeId);
    const siblings = this.members.filter(m => m.service === this.self.service);
    this.siblings = siblings.length <= MAX_SIBLINGS ? siblings : [];
    this.byId = new Map(this.members.map(m => [m.nodeId, m]));
  }

  /** Returns the members to probe now. */
  due(nowMs: units.MonotonicMs): readonly peer.Member[] {
    const due: peer.Member[] = [];
    this.nextProbeMs ??= nowMs + this.random.nextInt(PROBE_INTERVAL_MS);
    this.nextSiblingProbeMs ??=
      nowMs + this.random.nextInt(SIBLING_INTERVAL_MS);
    if (nowMs >= this.nextProbeMs) {
      this.nextProbeMs = nowMs + PROBE_INTERVAL_MS;
      if (this.round.length === 0) this.round = this.newRound(this.members);
      due.push(...this.takeNext(this.round));
    }
    if (nowMs >= this.nextSiblingProbeMs) {
      this.nextSiblingProbeMs = nowMs + SIBLING_INTERVAL_MS;
      if (this.siblingRound.length === 0) {
        this.siblingRound = this.newRound(this.siblings);
      }
      due.push(...this.takeNext(this.siblingRound));
    }
    return due;
  }

  /** Returns up to `count` distinct random members that `accepts` accepts. */
  pick(
    count: number,
    random: randomSource.RandomSource,
    accepts: (member: peer.Member) => boolean,
  ): readonly peer.Member[] {
    const picked = new Set<peer.Member>();
    const maxTries = 4 * count;
    for (let i = 0; i < maxTries && picked.size < count; i++) {
      if (this.members.length === 0) break;
      const member = this.members[random.nextInt(this.members.length)];
      if (accepts(member)) picked.add(member);
    }
    return [...picked];
  }

  private newRound(members: readonly peer.Member[]): string[] {
    const nodeIds = members.map(m => m.nodeId);
    return [...randomSource.shuffle(nodeIds, this.random)];
  }

  /** Removes and returns the next node of a round that is still a member, if any. */
  private takeNext(round: string[]): readonly peer.Member[] {
    for (let nodeId = round.pop(); nodeId !== undefined; nodeId = round.pop()) {
      const member = this.byId.get(nodeId);
      if (member !== undefined) return [member];
    }
    return [];
  }
}
