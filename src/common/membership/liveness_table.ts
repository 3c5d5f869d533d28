/** Liveness state by member, and the updates that spread it by gossip. */
import * as peer from '../../generated/peer.js';
import * as units from '../units.js';

/** Suspicion timeout in a fleet of up to three members; grows logarithmically with more. */
const MIN_SUSPICION_MS: units.Millis = 500;

/** Number of times an update is sent, per doubling of the number of members. */
const SENDS_PER_DOUBLING = 3;

/** Maximum number of updates in one datagram. */
export const MAX_UPDATES = 12;

/** A change of a member's liveness state. */
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

/**
 * Liveness by node id. Of two updates, the one with the higher incarnation wins, then the higher
 * refutation, then the more severe state.
 */
export class LivenessTable {
  private readonly states = new Map<string, Liveness>();
  private readonly sendCounts = new Map<string, number>();
  private readonly suspected = new Set<string>();
  private changeCount = 0;
  private changes: LivenessChange[] = [];
  private ownRefutation = 0;

  constructor(private readonly self: peer.Member) {}

  /** Number of changes so far; increases with every change. */
  get version(): number {
    return this.changeCount;
  }

  /** Returns the state of a node; an unknown node counts as alive. */
  stateOf(nodeId: string): peer.LivenessState {
    return this.states.get(nodeId)?.state ?? peer.LivenessState.ALIVE;
  }

  /** Whether the node is known and neither suspected nor dead. */
  isAlive(nodeId: string): boolean {
    return this.states.get(nodeId)?.state === peer.LivenessState.ALIVE;
  }

  /** Returns the time for which a node has been dead, undefined if it is not. */
  deadForMs(
    nodeId: string,
    nowMs: units.MonotonicMs,
  ): units.Millis | undefined {
    const found = this.states.get(nodeId);
    return found?.state === peer.LivenessState.DEAD
      ? nowMs - found.sinceMs
      : undefined;
  }

  /** Returns and clears the changes since the last call. */
  takeChanges(): readonly LivenessChange[] {
    const changes = this.changes;
    this.changes = [];
    return changes;
  }

  /** Marks a member alive after an ack or a datagram from it. */
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

  /** Marks a member that did not answer as suspect. */
  suspect(member: peer.Member, nowMs: units.MonotonicMs): void {
    const found = this.states.get(member.nodeId);
    if (found && found.incarnation > member.incarnation) return;
    const isKnown = found?.incarnation === member.incarnation;
    if (isKnown && found.state !== peer.LivenessState.ALIVE) return;
    this.set(
      member.nodeId,
      member.incarnation,
      isKnown ? found.refutation : 0,
      peer.LivenessState.SUSPECT,
      nowMs,
    );
  }

  /** Declares members dead whose suspicion timeout, which depends on `members`, has passed. */
  expireSuspicions(nowMs: units.MonotonicMs, members: number): void {
    const timeoutMs = suspicionTimeoutMs(members);
    for (const nodeId of this.suspected) {
      const found = this.states.get(nodeId);
      if (found === undefined || nowMs - found.sinceMs < timeoutMs) continue;
      const {incarnation, refutation} = found;
      this.set(nodeId, incarnation, refutation, peer.LivenessState.DEAD, nowMs);
    }
  }

  /** Restarts the timeouts of all suspicions, after a pause of this node. */
  restartSuspicions(nowMs: units.MonotonicMs): void {
    for (const nodeId of this.suspected) {
      const found = this.states.get(nodeId);
      if (found) this.states.set(nodeId, {...found, sinceMs: nowMs});
    }
  }

  /** Applies an update if it is newer; refutes one that suspects this node. */
  applyUpdate(update: peer.LivenessUpdate, nowMs: units.MonotonicMs): void {
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

  /** Returns the updates to send next, least often sent first, and counts them as sent. */
  takeUpdates(members: number): readonly peer.LivenessUpdate[] {
    const maxSends = SENDS_PER_DOUBLING * doublingsOf(members);
    const chosen = [...this.sendCounts]
      .sort((a, b) => a[1] - b[1])
      .slice(0, MAX_UPDATES);
    return chosen.flatMap(([nodeId, sendCount]) => {
      if (sendCount + 1 >= maxSends) this.sendCounts.delete(nodeId);
      else this.sendCounts.set(nodeId, sendCount + 1);
      const found = this.states.get(nodeId);
      if (found === undefined) return [];
      const {incarnation, state, refutation} = found;
      return [{nodeId, incarnation, state, refutation}];
    });
  }

  /** Moves the update about a node to the front, so that the node soon gets and can refute it. */
  sendNext(nodeId: string): void {
    this.sendCounts.delete(nodeId);
    this.sendCounts.set(nodeId, -1);
  }

  /** Removes nodes that are no longer members. */
  retain(isMember: (nodeId: string) => boolean): void {
    for (const nodeId of this.states.keys()) {
      if (isMember(nodeId)) continue;
      this.states.delete(nodeId);
      this.sendCounts.delete(nodeId);
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
    const previous = this.states.get(nodeId);
    this.states.set(nodeId, {incarnation, refutation, state, sinceMs: nowMs});
    const isFirstContact =
      previous === undefined && state === peer.LivenessState.ALIVE;
    if (!isFirstContact || nodeId === this.self.nodeId) {
      this.sendCounts.set(nodeId, 0);
    }
    if (state === peer.LivenessState.SUSPECT) this.suspected.add(nodeId);
    else this.suspected.delete(nodeId);
    if (nodeId === this.self.nodeId || previous?.state === state) return;
    this.changeCount++;
    this.changes.push({nodeId, state});
  }
}

/** Returns the time for which a member is suspected before it is declared dead. */
export function suspicionTimeoutMs(members: number): units.Millis {
  return (MIN_SUSPICION_MS * Math.max(2, doublingsOf(members))) / 2;
}

function doublingsOf(members: number): number {
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
