/** What is known of each member's liveness, and the updates that spread it. */
import * as peer from '../../generated/peer.js';
import * as units from '../units.js';

/** Suspicion of a member in a fleet of up to four members; grows with the logarithm beyond. */
const SUSPICION_MIN_MS: units.Millis = 500;

/** Times an update is sent, for each doubling of the number of members. */
const SENDS_PER_DOUBLING = 3;

/** Most updates in one datagram. */
export const MAX_UPDATES = 12;

/** A change of a member's state. */
export interface LivenessChange {
  readonly nodeId: string;
  readonly state: peer.LivenessState;
}

interface Liveness {
  readonly incarnation: number;
  readonly refutation: number;
  readonly state: peer.LivenessState;
  readonly sinceMs: units.MonotonicMs;
}

/** Liveness by node id; newer incarnations, then refutations, then worse states win. */
export class LivenessTable {
  private readonly states = new Map<string, Liveness>();
  private readonly sends = new Map<string, number>();
  private readonly suspected = new Set<string>();
  private changeCount = 0;
  private changes: LivenessChange[] = [];
  private ownRefutation = 0;

  constructor(private readonly self: peer.Member) {}

  /** Number of changes so far. */
  get version(): number {
    return this.changeCount;
  }

  /** State of a node; one never heard of counts as alive. */
  stateOf(nodeId: string): peer.LivenessState {
    return this.states.get(nodeId)?.state ?? peer.LivenessState.ALIVE;
  }

  /** Whether the node has been heard of and is neither suspected nor dead. */
  isAlive(nodeId: string): boolean {
    return this.states.get(nodeId)?.state === peer.LivenessState.ALIVE;
  }

  /** Time for which a node has been dead, undefined if it is not. */
  deadForMs(
    nodeId: string,
    nowMs: units.MonotonicMs,
  ): units.Millis | undefined {
    const found = this.states.get(nodeId);
    return found?.state === peer.LivenessState.DEAD
      ? nowMs - found.sinceMs
      : undefined;
  }

  /** Returns the changes since the last call. */
  takeChanges(): readonly LivenessChange[] {
    const changes = this.changes;
    this.changes = [];
    return changes;
  }

  /** Notes that a member answered this node itself. */
  noteAlive(member: peer.Member, nowMs: units.MonotonicMs): void {
    const {nodeId, incarnation} = member;
    const found = this.states.get(nodeId);
    if (found && found.incarnation > incarnation) return;
    if (
      found?.incarnation === incarnation &&
      found.state === peer.LivenessState.ALIVE
    ) {
      return;
    }
    const refutation =
      found?.incarnation === incarnation ? found.refutation + 1 : 0;
    this.set(nodeId, incarnation, refutation, peer.LivenessState.ALIVE, nowMs);
  }

  /** Suspects a member that did not answer. */
  suspect(member: peer.Member, nowMs: units.MonotonicMs): void {
    const found = this.states.get(member.nodeId);
    if (found && found.incarnation > member.incarnation) return;
    const known = found?.incarnation === member.incarnation;
    if (known && found.state !== peer.LivenessState.ALIVE) return;
    this.set(
      member.nodeId,
      member.incarnation,
      known ? found.refutation : 0,
      peer.LivenessState.SUSPECT,
      nowMs,
    );
  }

  /** Declares dead what has been suspected for long enough in a fleet of this size. */
  expireSuspicions(nowMs: units.MonotonicMs, members: number): void {
    const timeoutMs = suspicionMs(members);
    for (const nodeId of this.suspected) {
      const found = this.states.get(nodeId);
      if (found === undefined || nowMs - found.sinceMs < timeoutMs) continue;
      const {incarnation, refutation} = found;
      this.set(nodeId, incarnation, refutation, peer.LivenessState.DEAD, nowMs);
    }
  }

  /** Gives suspicions their full time anew, after a pause of this node. */
  restartSuspicions(nowMs: units.MonotonicMs): void {
    for (const nodeId of this.suspected) {
      const found = this.states.get(nodeId);
      if (found) this.states.set(nodeId, {...found, sinceMs: nowMs});
    }
  }

  /** Takes an update; one about this node is refuted. */
  takeUpdate(update: peer.LivenessUpdate, nowMs: units.MonotonicMs): void {
    if (update.nodeId === this.self.nodeId) {
      this.refute(update, nowMs);
      return;
    }
    if (severity(update.state) < 1) return;
    const found = this.states.get(update.nodeId);
    if (found && !isNewer(update, found)) return;
    const {nodeId, incarnation, refutation, state} = update;
    this.set(nodeId, incarnation, refutation, state, nowMs);
  }

  /** Returns the updates to send next, those sent least often first. */
  takeUpdates(members: number): readonly peer.LivenessUpdate[] {
    const limit = SENDS_PER_DOUBLING * doublings(members);
    const chosen = [...this.sends]
      .sort((a, b) => a[1] - b[1])
      .slice(0, MAX_UPDATES);
    return chosen.flatMap(([nodeId, sent]) => {
      if (sent + 1 >= limit) this.sends.delete(nodeId);
      else this.sends.set(nodeId, sent + 1);
      const found = this.states.get(nodeId);
      if (found === undefined) return [];
      const {incarnation, state, refutation} = found;
      return [{nodeId, incarnation, state, refutation}];
    });
  }

  /** Sends what is known of a node next, so that it can refute it. */
  sendNext(nodeId: string): void {
    this.sends.delete(nodeId);
    this.sends.set(nodeId, -1);
  }

  /** Forgets nodes that are no longer members. */
  retain(isMember: (nodeId: string) => boolean): void {
    for (const nodeId of this.states.keys()) {
      if (isMember(nodeId)) continue;
      this.states.delete(nodeId);
      this.sends.delete(nodeId);
      this.suspected.delete(nodeId);
    }
  }

  private refute(update: peer.LivenessUpdate, nowMs: units.MonotonicMs): void {
    const {nodeId, incarnation} = this.self;
    if (update.incarnation !== incarnation) return;
    if (update.state === peer.LivenessState.ALIVE) {
      this.ownRefutation = Math.max(this.ownRefutation, update.refutation);
      return;
    }
    if (update.refutation < this.ownRefutation) return;
    this.ownRefutation = update.refutation + 1;
    const state = peer.LivenessState.ALIVE;
    this.set(nodeId, incarnation, this.ownRefutation, state, nowMs);
  }

  private set(
    nodeId: string,
    incarnation: number,
    refutation: number,
    state: peer.LivenessState,
    nowMs: units.MonotonicMs,
  ): void {
    const before = this.states.get(nodeId);
    this.states.set(nodeId, {incarnation, refutation, state, sinceMs: nowMs});
    const isFirstSight =
      before === undefined && state === peer.LivenessState.ALIVE;
    if (!isFirstSight || nodeId === this.self.nodeId) {
      this.sends.set(nodeId, 0);
    }
    if (state === peer.LivenessState.SUSPECT) this.suspected.add(nodeId);
    else this.suspected.delete(nodeId);
    if (nodeId === this.self.nodeId || before?.state === state) return;
    this.changeCount++;
    this.changes.push({nodeId, state});
  }
}

/** Time for which a member is suspected before it is declared dead. */
export function suspicionMs(members: number): units.Millis {
  return (SUSPICION_MIN_MS * Math.max(2, doublings(members))) / 2;
}

function doublings(members: number): number {
  return Math.max(1, Math.ceil(Math.log2(members + 1)));
}

function isNewer(update: peer.LivenessUpdate, known: Liveness): boolean {
  if (update.incarnation !== known.incarnation) {
    return update.incarnation > known.incarnation;
  }
  if (update.refutation !== known.refutation) {
    return update.refutation > known.refutation;
  }
  return severity(update.state) > severity(known.state);
}

function severity(state: peer.LivenessState): number {
  return peer.livenessStateToNumber(state);
}
