/** Gossip of one node: liveness, suspect requests and provisional members. */
import * as peer from '../../generated/peer.js';
import * as counters from '../counters.js';
import * as invariants from '../invariants.js';
import * as failureDetector from '../membership/failure_detector.js';
import * as livenessTable from '../membership/liveness_table.js';
import * as probeSchedule from '../membership/probe_schedule.js';
import * as provisionalMembers from '../membership/provisional_members.js';
import * as gossipBuffer from '../membership/gossip_buffer.js';
import * as randomSource from '../random_source.js';
import * as units from '../units.js';
import * as controlContract from './control_contract.js';
import * as datagramContents from './datagram_contents.js';
import * as logState from './log_state.js';

/** Maximum number of items of each kind processed per datagram. */
const MAX_ITEMS = 64;

/** Minimum time between updates of the member list. */
const MEMBERS_INTERVAL_MS: units.Millis = 1_000;

/** Result of handling a datagram. */
export interface DatagramResult {
  /** Whether it carried a new suspect report or provisional member. */
  readonly hasNewItems: boolean;
  readonly from?: peer.Member;
  readonly messages: readonly failureDetector.Message[];
  readonly notices: readonly controlContract.ControlNotice[];
  readonly answered?: failureDetector.AnsweredProbe;
}

const EMPTY_RESULT: DatagramResult = {
  hasNewItems: false,
  messages: [],
  notices: [],
};

/** Combines failure detection with the gossip of suspect requests and provisional members. */
export class Gossip {
  readonly table: livenessTable.LivenessTable;
  readonly detector: failureDetector.FailureDetector;
  readonly provisional: provisionalMembers.ProvisionalMembers;
  private readonly schedule: probeSchedule.ProbeSchedule;
  private readonly suspects =
    new gossipBuffer.GossipBuffer<peer.SuspectReport>();
  private readonly contents: datagramContents.DatagramContents;
  private appliedMemberChanges = -1;
  private membersUpdatedMs = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly self: peer.Member,
    private readonly log: logState.LogState,
    private readonly random: randomSource.RandomSource,
    private readonly counters: counters.Counters,
    private readonly bootstrapPeers: readonly peer.Member[],
  ) {
    this.table = new livenessTable.LivenessTable(self);
    this.schedule = new probeSchedule.ProbeSchedule(self, random);
    this.detector = new failureDetector.FailureDetector(
      this.table,
      this.schedule,
      random,
    );
    this.provisional = new provisionalMembers.ProvisionalMembers(
      self,
      log.roster,
    );
    this.contents = new datagramContents.DatagramContents(
      this.table,
      this.suspects,
      this.provisional,
    );
  }

  /** Number of known members, including this node. */
  get memberCount(): number {
    return this.schedule.memberCount;
  }

  /** Whether a node is known to be dead. */
  isDead(nodeId: string): boolean {
    return this.table.stateOf(nodeId) === peer.LivenessState.DEAD;
  }

  /** Returns the gossip fields of the next datagram. */
  nextFields(nowMs: units.MonotonicMs): datagramContents.GossipFields {
    return this.contents.nextFields(this.memberCount, nowMs);
  }

  /** Updates the member list and returns the probes that are due. */
  dueProbes(
    nowMs: units.MonotonicMs,
    stale: boolean,
  ): readonly failureDetector.Message[] {
    this.updateMembers(nowMs);
    return this.detector.step(nowMs, stale);
  }

  /** Returns up to `count` random members that are not dead. */
  pickAlive(count: number): readonly peer.Member[] {
    return this.schedule.pick(count, this.random, m => !this.isDead(m.nodeId));
  }

  /** Returns a peer to pull state from; falls back to the bootstrap peers in the settings. */
  pickStatePeer(): peer.Member | undefined {
    const [alive] = this.pickAlive(1);
    if (alive !== undefined) return alive;
    const {length} = this.bootstrapPeers;
    return length > 0
      ? this.bootstrapPeers[this.random.nextInt(length)]
      : undefined;
  }

  /** Starts spreading a suspect report; returns false if it adds nothing to the known one. */
  addSuspect(report: peer.SuspectReport, nowMs: units.MonotonicMs): boolean {
    const known = this.suspects.get(report.fingerprint, nowMs);
    if (known !== undefined && known.deaths >= report.deaths) return false;
    const expiresMs = nowMs + report.expiresInMs;
    this.suspects.put(report.fingerprint, report, expiresMs);
    return true;
  }

  /** Returns the unexpired suspect reports, each with its remaining time. */
  suspectReports(nowMs: units.MonotonicMs): readonly peer.SuspectReport[] {
    return this.suspects.live(nowMs).map(({item, leftMs}) => ({
      ...item,
      expiresInMs: Math.ceil(leftMs),
    }));
  }

  /** Resets outstanding probes and suspicions after a pause of this process. */
  noteResumed(nowMs: units.MonotonicMs): void {
    this.detector.clearOutstanding();
    this.table.restartSuspicions(nowMs);
  }

  /** Handles a datagram from another node. */
  handleDatagram(
    datagram: peer.Datagram,
    nowMs: units.MonotonicMs,
  ): DatagramResult {
    if (datagram.nodeId === this.self.nodeId) return EMPTY_RESULT;
    const {hasNewItems, notices} = this.handleItems(datagram, nowMs);
    const from = datagram.sender ?? this.find(datagram.nodeId, nowMs);
    if (from === undefined || from.incarnation > datagram.incarnation) {
      this.counters.increment('gossip.unknown-sender');
      return {hasNewItems, messages: [], notices};
    }
    if (from.incarnation < datagram.incarnation) {
      return {hasNewItems, from, messages: [], notices};
    }
    this.noteContact(from, nowMs);
    return {
      hasNewItems,
      from,
      ...this.handleBody(datagram, from, notices, nowMs),
    };
  }

  /** Finds a member known by gossip or by the log. */
  find(nodeId: string, nowMs: units.MonotonicMs): peer.Member | undefined {
    return (
      this.provisional.get(nodeId, nowMs)?.member ??
      this.log.roster.entry(nodeId)?.member
    );
  }

  private noteContact(from: peer.Member, nowMs: units.MonotonicMs): void {
    const state = this.table.stateOf(from.nodeId);
    if (state === peer.LivenessState.ALIVE) {
      if (!this.table.isAlive(from.nodeId)) this.table.noteAlive(from, nowMs);
      return;
    }
    this.table.sendNext(from.nodeId);
  }

  private handleBody(
    datagram: peer.Datagram,
    from: peer.Member,
    notices: readonly controlContract.ControlNotice[],
    nowMs: units.MonotonicMs,
  ): Omit<DatagramResult, 'hasNewItems'> {
    const {body} = datagram;
    switch (body?.$case) {
      case undefined:
        return {messages: [], notices};
      case 'probe':
        return {
          messages: [this.detector.handleProbe(from, body.value)],
          notices,
        };
      case 'ack':
        return {
          ...this.handleAck(from, body.value, nowMs),
          notices,
        };
      case 'indirect':
        return {
          messages: this.handleIndirectProbe(from, body.value, nowMs),
          notices,
        };
      case 'load':
        return {
          messages: [],
          notices: [...notices, ...loadNotice(from.nodeId, body.value)],
        };
      default:
        return invariants.assertNever(body);
    }
  }

  private handleAck(
    from: peer.Member,
    ack: peer.ProbeAck,
    nowMs: units.MonotonicMs,
  ): Pick<DatagramResult, 'messages' | 'answered'> {
    const result = this.detector.handleAck(from.nodeId, ack, nowMs);
    if (result === undefined) return {messages: []};
    if ('to' in result) return {messages: [result]};
    return {messages: [], answered: result};
  }

  private handleIndirectProbe(
    from: peer.Member,
    request: peer.IndirectProbe,
    nowMs: units.MonotonicMs,
  ): readonly failureDetector.Message[] {
    const target = this.find(request.targetNodeId, nowMs);
    if (target === undefined) return [];
    return [this.detector.handleIndirectProbe(from, target, request, nowMs)];
  }

  private handleItems(
    datagram: peer.Datagram,
    nowMs: units.MonotonicMs,
  ): Pick<DatagramResult, 'hasNewItems' | 'notices'> {
    for (const update of datagram.updates.slice(0, MAX_ITEMS)) {
      this.table.applyUpdate(update, nowMs);
    }
    const members = datagram.members
      .slice(0, MAX_ITEMS)
      .filter(item => this.provisional.applyUpdate(item, nowMs));
    if (members.length > 0) this.appliedMemberChanges = -1;
    const notices = datagram.suspects
      .slice(0, MAX_ITEMS)
      .filter(report => this.addSuspect(report, nowMs))
      .map(report => ({kind: 'suspect', report}) as const);
    return {hasNewItems: members.length + notices.length > 0, notices};
  }

  private updateMembers(nowMs: units.MonotonicMs): void {
    if (this.appliedMemberChanges === this.log.roster.memberChanges) return;
    const isRecent = nowMs - this.membersUpdatedMs < MEMBERS_INTERVAL_MS;
    if (isRecent && this.memberCount > 1) return;
    this.membersUpdatedMs = nowMs;
    this.appliedMemberChanges = this.log.roster.memberChanges;
    const members = new Map(
      this.log.roster.all().map(e => [e.member.nodeId, e.member]),
    );
    for (const {member} of this.provisional.all(nowMs)) {
      members.set(member.nodeId, member);
    }
    this.schedule.setMembers([...members.values()]);
    this.table.retain(nodeId => members.has(nodeId));
  }
}

function loadNotice(
  nodeId: string,
  notice: peer.LoadNotice,
): readonly controlContract.ControlNotice[] {
  return notice.load ? [{kind: 'load', nodeId, load: notice.load}] : [];
}
