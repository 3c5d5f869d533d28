/** Which records this node owes the log, by its folds and by what it sees. */
import * as peer from '../../generated/peer.js';
import * as randomSource from '../random_source.js';
import * as rendezvous from '../membership/rendezvous.js';
import * as units from '../units.js';
import * as control from './control_contract.js';
import * as logState from './log_state.js';
import * as ownRecords from './own_records.js';

/** Time between a member's records of its presence. */
export const REFRESH_INTERVAL_MS: units.Millis = 180_000;

/** Time between snapshots of the configuration, for the fleet as a whole. */
export const SNAPSHOT_INTERVAL_MS: units.Millis = 600_000;

/** Time for which a member must have been dead before it is declared gone. */
export const GONE_AFTER_MS: units.Millis = 10_000;

/** Wait for a sibling of better rank before the next one appends the same record. */
const RANK_STEP_MS: units.Millis = 2_000;

/** Wait for a node of better rank before the next one appends a snapshot. */
const SNAPSHOT_RANK_STEP_MS: units.Millis = 10_000;

/** Jitter of a join: a base, and a part for each member, which spreads the fleet's start. */
const JOIN_JITTER_MS: units.Millis = 250;
const JOIN_JITTER_PER_MEMBER_MS: units.Millis = 3;

/** Longest time by which a node refreshes earlier; spreads the refreshes of a fleet. */
const REFRESH_JITTER_MS: units.Millis = 90_000;

/** Longest wait at a stop for the record of leaving. */
export const LEAVE_TIMEOUT_MS: units.Millis = 5_000;

/** Liveness as the needs ask for it. */
export interface LivenessView {
  /** Time for which a node has been dead, undefined if it is not. */
  deadForMs(nodeId: string, nowMs: units.MonotonicMs): units.Millis | undefined;
}

/** Derives the needs. */
export class RecordNeeds {
  private wanted: 'nothing' | 'joined' | 'left' = 'nothing';
  private stopMs: units.MonotonicMs | undefined;
  private leftTaken = false;
  private snapshotSeenMs: units.MonotonicMs | undefined;
  private snapshots = 0;
  private readonly refreshJitterMs: units.Millis;

  constructor(
    private readonly self: peer.Member,
    private readonly log: logState.LogState,
    private readonly random: randomSource.RandomSource,
    private readonly liveness: LivenessView,
  ) {
    this.refreshJitterMs = random.nextInt(REFRESH_JITTER_MS);
  }

  /** Whether this node is stopping. */
  get stopping(): boolean {
    return this.stopMs !== undefined;
  }

  /** Whether this node's backend server announced itself and does not leave. */
  get wantsToServe(): boolean {
    return this.wanted === 'joined';
  }

  /** Whether this node or its backend server leaves. */
  get wantsToLeave(): boolean {
    return this.wanted === 'left';
  }

  /** Whether the log holds this start of the node as a member, leaving or not. */
  get isInLog(): boolean {
    const entry = this.ownEntry();
    return entry !== undefined && entry.roster !== 'gone';
  }

  /** Whether the log holds this start of the node as joined. */
  get isJoined(): boolean {
    return this.ownEntry()?.roster === 'joined';
  }

  /** Follows the state of the backend server. */
  noteServerState(state: control.ServerState): void {
    if (this.stopMs !== undefined) return;
    if (state === 'starting' || state === 'ready') this.wanted = 'joined';
    if (state === 'leaving') this.wanted = 'left';
  }

  /** Begins the planned stop. */
  noteStop(nowMs: units.MonotonicMs): void {
    this.stopMs ??= nowMs;
    this.wanted = 'left';
  }

  /** Follows the log. */
  noteFolded(record: peer.LogRecord, nowMs: units.MonotonicMs): void {
    if (record.body?.$case !== 'snapshot') return;
    this.snapshotSeenMs = nowMs;
    this.snapshots++;
  }

  /** Whether the record of leaving is in, or has been waited for long enough; true once. */
  takeLeft(nowMs: units.MonotonicMs): boolean {
    if (this.stopMs === undefined || this.leftTaken) return false;
    const waited = nowMs - this.stopMs >= LEAVE_TIMEOUT_MS;
    this.leftTaken = waited || !this.isJoined;
    return this.leftTaken;
  }

  /** Returns the needs of the moment. */
  current(now: units.Instant): readonly ownRecords.Need[] {
    return [
      ...this.presenceNeeds(now),
      ...this.siblingNeeds(now.monotonicMs),
      ...this.snapshotNeeds(now),
    ];
  }

  private ownEntry(): control.RosterEntryState | undefined {
    const entry = this.log.roster.entry(this.self.nodeId);
    return entry?.member.incarnation === this.self.incarnation
      ? entry
      : undefined;
  }

  private presenceNeeds(now: units.Instant): readonly ownRecords.Need[] {
    const entry = this.ownEntry();
    if (this.wanted === 'left') {
      return entry?.roster === 'joined'
        ? [this.need('leaving', peer.RosterEvent.LEAVING, this.self, () => 0)]
        : [];
    }
    if (this.wanted === 'nothing') return [];
    if (entry?.roster !== 'joined') {
      return [
        this.need(
          `join.${entry?.offset}`,
          peer.RosterEvent.JOIN,
          this.self,
          () => this.joinDelayMs(),
        ),
      ];
    }
    const ageMs = now.epochMs - entry.selfTimeMs;
    if (ageMs < REFRESH_INTERVAL_MS - this.refreshJitterMs) return [];
    return [
      this.need(
        `refresh.${entry.selfTimeMs}`,
        peer.RosterEvent.REFRESH,
        this.self,
        () => 0,
      ),
    ];
  }

  private joinDelayMs(): units.Millis {
    const perMember = JOIN_JITTER_PER_MEMBER_MS * this.log.roster.size;
    return this.random.nextInt(JOIN_JITTER_MS + perMember);
  }

  /** Dead siblings to declare gone. */
  private siblingNeeds(nowMs: units.MonotonicMs): readonly ownRecords.Need[] {
    if (!this.isJoined) return [];
    return this.log.roster
      .entriesOf(this.self.service)
      .filter(e => e.member.nodeId !== this.self.nodeId)
      .flatMap(sibling => this.goneNeed(sibling, nowMs));
  }

  private goneNeed(
    sibling: control.RosterEntryState,
    nowMs: units.MonotonicMs,
  ): readonly ownRecords.Need[] {
    const {member} = sibling;
    const deadForMs = this.liveness.deadForMs(member.nodeId, nowMs);
    if (deadForMs === undefined || deadForMs < GONE_AFTER_MS) return [];
    const key = `gone.${member.nodeId}.${sibling.offset}`;
    return [
      this.need(key, peer.RosterEvent.GONE, member, () => this.rankMs(member)),
    ];
  }

  /** Wait by this node's rank in its service for a record about `about`. */
  private rankMs(about: peer.Member): units.Millis {
    const members = this.log.roster
      .entriesOf(this.self.service)
      .map(e => e.member.nodeId)
      .filter(id => id !== about.nodeId && !this.isDead(id));
    const ranked = rendezvous.rank(this.self.service, members);
    const rank = ranked.indexOf(this.self.nodeId);
    return (rank < 0 ? ranked.length : rank) * RANK_STEP_MS;
  }

  private isDead(nodeId: string): boolean {
    return this.liveness.deadForMs(nodeId, Infinity) !== undefined;
  }

  private snapshotNeeds(now: units.Instant): readonly ownRecords.Need[] {
    if (!this.log.complete || !this.isJoined) return [];
    this.snapshotSeenMs ??= now.monotonicMs;
    const ageMs = now.monotonicMs - this.snapshotSeenMs;
    if (ageMs < SNAPSHOT_INTERVAL_MS) return [];
    return [
      {
        key: `snapshot.${this.snapshots}`,
        delayMs: () => this.snapshotDelayMs(),
        body: () => ({
          $case: 'snapshot',
          value: this.log.configuration.snapshot(this.log.nextOffset - 1),
        }),
      },
    ];
  }

  private snapshotDelayMs(): units.Millis {
    const members = this.log.roster.all().map(e => e.member.nodeId);
    const ranked = rendezvous.rank(`snapshot.${this.snapshots}`, members);
    return ranked.indexOf(this.self.nodeId) * SNAPSHOT_RANK_STEP_MS;
  }

  private need(
    key: string,
    event: peer.RosterEvent,
    member: peer.Member,
    delayMs: () => units.Millis,
  ): ownRecords.Need {
    return {
      key,
      delayMs,
      body: () => ({
        $case: 'roster',
        value: {event, member, authorNodeId: this.self.nodeId},
      }),
    };
  }
}
