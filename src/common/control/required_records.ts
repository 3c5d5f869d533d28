/** Determines the records this node must append, from the log state and its own observations. */
import * as peer from '../../generated/peer.js';
import * as randomSource from '../random_source.js';
import * as rendezvous from '../membership/rendezvous.js';
import * as units from '../units.js';
import * as controlContract from './control_contract.js';
import * as logState from './log_state.js';
import * as recordAppender from './record_appender.js';

/** Interval of a member's REFRESH records. */
export const REFRESH_INTERVAL_MS: units.Millis = 180_000;

/** Interval of configuration snapshots, one per interval in the whole fleet. */
export const SNAPSHOT_INTERVAL_MS: units.Millis = 600_000;

/** Time a member must have been dead before it is declared gone. */
export const GONE_AFTER_MS: units.Millis = 10_000;

/** Delay per rank before a sibling appends the same record, to avoid duplicates. */
const RANK_STEP_MS: units.Millis = 2_000;

/** Delay per rank before a node appends a snapshot, to avoid duplicates. */
const SNAPSHOT_RANK_STEP_MS: units.Millis = 10_000;

/** Jitter of a JOIN record: a base plus a part per member, to spread a start of the whole fleet. */
const JOIN_JITTER_MS: units.Millis = 250;
const JOIN_JITTER_PER_MEMBER_MS: units.Millis = 3;

/** Maximum time by which a REFRESH is sent early, to spread the refreshes of a fleet. */
const REFRESH_JITTER_MS: units.Millis = 90_000;

/** Maximum time a stopping node waits for its LEAVING record. */
export const LEAVE_TIMEOUT_MS: units.Millis = 5_000;

/** Liveness information used to declare members gone. */
export interface LivenessView {
  /** Returns how long a node has been dead, undefined if it is not dead. */
  deadForMs(nodeId: string, nowMs: units.MonotonicMs): units.Millis | undefined;
}

/** Derives the records that must be in the log. */
export class RequiredRecords {
  private target: 'nothing' | 'joined' | 'left' = 'nothing';
  private stopMs: units.MonotonicMs | undefined;
  private leaveReported = false;
  private lastSnapshotMs: units.MonotonicMs | undefined;
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

  /** Whether the backend server has announced itself and is not leaving. */
  get shouldJoin(): boolean {
    return this.target === 'joined';
  }

  /** Whether this node or its backend server is leaving. */
  get shouldLeave(): boolean {
    return this.target === 'left';
  }

  /** Whether the log lists this incarnation of the node as a member, joined or leaving. */
  get isInLog(): boolean {
    const entry = this.ownEntry();
    return entry !== undefined && entry.roster !== 'gone';
  }

  /** Whether the log lists this incarnation of the node as joined. */
  get isJoined(): boolean {
    return this.ownEntry()?.roster === 'joined';
  }

  /** Records the state of the backend server. */
  noteServerState(state: controlContract.ServerState): void {
    if (this.stopMs !== undefined) return;
    if (state === 'starting' || state === 'ready') this.target = 'joined';
    if (state === 'leaving') this.target = 'left';
  }

  /** Starts the planned stop of this node. */
  noteStop(nowMs: units.MonotonicMs): void {
    this.stopMs ??= nowMs;
    this.target = 'left';
  }

  /** Records a folded log record. */
  noteFolded(record: peer.LogRecord, nowMs: units.MonotonicMs): void {
    if (record.body?.$case !== 'snapshot') return;
    this.lastSnapshotMs = nowMs;
    this.snapshots++;
  }

  /** Returns true once, when the LEAVING record is in the log or its wait has timed out. */
  leaveDone(nowMs: units.MonotonicMs): boolean {
    if (this.stopMs === undefined || this.leaveReported) return false;
    const timedOut = nowMs - this.stopMs >= LEAVE_TIMEOUT_MS;
    this.leaveReported = timedOut || !this.isJoined;
    return this.leaveReported;
  }

  /** Returns the records that are currently required. */
  required(now: units.Instant): readonly recordAppender.RequiredRecord[] {
    return [
      ...this.presenceRecords(now),
      ...this.siblingRecords(now.monotonicMs),
      ...this.snapshotRecords(now),
    ];
  }

  private ownEntry(): controlContract.RosterEntryState | undefined {
    const entry = this.log.roster.entry(this.self.nodeId);
    return entry?.member.incarnation === this.self.incarnation
      ? entry
      : undefined;
  }

  private presenceRecords(
    now: units.Instant,
  ): readonly recordAppender.RequiredRecord[] {
    const entry = this.ownEntry();
    if (this.target === 'left') {
      return entry?.roster === 'joined'
        ? [
            this.rosterRecord(
              'leaving',
              peer.RosterEvent.LEAVING,
              this.self,
              () => 0,
            ),
          ]
        : [];
    }
    if (this.target === 'nothing') return [];
    if (entry?.roster !== 'joined') {
      return [
        this.rosterRecord(
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
      this.rosterRecord(
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

  /** Returns GONE records for dead siblings. */
  private siblingRecords(
    nowMs: units.MonotonicMs,
  ): readonly recordAppender.RequiredRecord[] {
    if (!this.isJoined) return [];
    return this.log.roster
      .entriesOf(this.self.service)
      .filter(e => e.member.nodeId !== this.self.nodeId)
      .flatMap(sibling => this.goneRecord(sibling, nowMs));
  }

  private goneRecord(
    sibling: controlContract.RosterEntryState,
    nowMs: units.MonotonicMs,
  ): readonly recordAppender.RequiredRecord[] {
    const {member} = sibling;
    const deadForMs = this.liveness.deadForMs(member.nodeId, nowMs);
    if (deadForMs === undefined || deadForMs < GONE_AFTER_MS) return [];
    const key = `gone.${member.nodeId}.${sibling.offset}`;
    return [
      this.rosterRecord(key, peer.RosterEvent.GONE, member, () =>
        this.rankDelayMs(member),
      ),
    ];
  }

  /** Returns the delay of a record about `subject`, by this node's rank in its service. */
  private rankDelayMs(subject: peer.Member): units.Millis {
    const members = this.log.roster
      .entriesOf(this.self.service)
      .map(e => e.member.nodeId)
      .filter(id => id !== subject.nodeId && !this.isDead(id));
    const ranked = rendezvous.rank(this.self.service, members);
    const rank = ranked.indexOf(this.self.nodeId);
    return (rank < 0 ? ranked.length : rank) * RANK_STEP_MS;
  }

  private isDead(nodeId: string): boolean {
    return this.liveness.deadForMs(nodeId, Infinity) !== undefined;
  }

  private snapshotRecords(
    now: units.Instant,
  ): readonly recordAppender.RequiredRecord[] {
    if (!this.log.complete || !this.isJoined) return [];
    this.lastSnapshotMs ??= now.monotonicMs;
    const ageMs = now.monotonicMs - this.lastSnapshotMs;
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

  private rosterRecord(
    key: string,
    event: peer.RosterEvent,
    member: peer.Member,
    delayMs: () => units.Millis,
  ): recordAppender.RequiredRecord {
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
