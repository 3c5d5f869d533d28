/** Membership and configuration logic of one node. */
import * as peer from '../../generated/peer.js';
import * as configurationInForce from '../configuration/configuration_in_force.js';
import * as core from '../core.js';
import * as counters from '../counters.js';
import * as invariants from '../invariants.js';
import * as failureDetector from '../membership/failure_detector.js';
import * as randomSource from '../random_source.js';
import * as units from '../units.js';
import * as controlContract from './control_contract.js';
import * as confirmationRefresher from './confirmation_refresher.js';
import * as fleetView from './fleet_view.js';
import * as gossip from './gossip.js';
import * as logFollower from './log_follower.js';
import * as logState from './log_state.js';
import * as memberViews from './member_views.js';
import * as outbox from './outbox.js';
import * as recordAppender from './record_appender.js';
import * as readerSelection from './reader_selection.js';
import * as requiredRecords from './required_records.js';
import * as stateExchange from './state_exchange.js';
import * as pauseDetector from './pause_detector.js';

/** Interval of the timer that runs due work. */
const TICK_MS: units.Millis = 100;

/** Interval of announcements by gossip until this node's JOIN record is in the log. */
const ANNOUNCE_INTERVAL_MS: units.Millis = 5_000;

/** Random members notified immediately of a suspect request or of this node leaving. */
const URGENT_FANOUT = 8;

/** Random members to which new gossip items are forwarded immediately. */
const GOSSIP_FANOUT = 4;

/** Dependencies of the control core. */
export interface ControlOptions {
  /** This node with its current incarnation. */
  readonly self: peer.Member;
  readonly random: randomSource.RandomSource;
  readonly counters: counters.Counters;
  readonly invariants: invariants.Invariants;
  /** Peers to pull state from while the log lists no other members. */
  readonly bootstrapPeers?: readonly peer.Member[];
}

/** Maintains membership and configuration, and provides the other cores' view of the fleet. */
export class ControlCore
  implements
    core.Core<controlContract.ControlEvent, controlContract.ControlAction>,
    fleetView.FleetView
{
  private readonly self: peer.Member;
  private readonly log: logState.LogState;
  private readonly confirmationRefresher: confirmationRefresher.ConfirmationRefresher;
  private readonly logFollower: logFollower.LogFollower;
  private readonly readers: readerSelection.ReaderSelection;
  private readonly recordAppender: recordAppender.RecordAppender;
  private readonly required: requiredRecords.RequiredRecords;
  private readonly gossip: gossip.Gossip;
  private readonly stateExchange = new stateExchange.StateExchange();
  private readonly memberViews: memberViews.MemberViews;
  private readonly pauseDetector = new pauseDetector.PauseDetector();
  private readonly outbox: outbox.Outbox;
  private notifiedRevision = 0;
  private notifiedStale = false;
  private logReachable = true;
  private lastAnnouncedMs = Number.NEGATIVE_INFINITY;
  private leavingAnnounced = false;
  private nextTickMs: units.MonotonicMs | undefined;

  constructor(options: ControlOptions) {
    const {self, random} = options;
    this.self = self;
    this.log = new logState.LogState(options.invariants, options.counters);
    this.confirmationRefresher =
      new confirmationRefresher.ConfirmationRefresher(self, this.log);
    this.logFollower = new logFollower.LogFollower(random);
    this.recordAppender = new recordAppender.RecordAppender(
      self,
      random,
      options.counters,
    );
    this.gossip = new gossip.Gossip(
      self,
      this.log,
      random,
      options.counters,
      options.bootstrapPeers ?? [],
    );
    this.required = new requiredRecords.RequiredRecords(
      self,
      this.log,
      random,
      this.gossip.table,
    );
    this.readers = new readerSelection.ReaderSelection(
      self,
      this.log,
      this.gossip.table,
    );
    this.memberViews = new memberViews.MemberViews(self, this.log, this.gossip);
    this.outbox = new outbox.Outbox(
      self,
      this.log,
      this.gossip,
      this.confirmationRefresher,
      this.required,
    );
  }

  get configuration(): configurationInForce.ConfigurationInForce | undefined {
    return this.log.configuration.configuration;
  }

  get rosterOffset(): number {
    return this.log.nextOffset;
  }

  get stale(): boolean {
    return this.pauseDetector.stale;
  }

  membersOf(service: string): readonly fleetView.MemberView[] {
    return this.memberViews.membersOf(service);
  }

  member(nodeId: string): fleetView.MemberView | undefined {
    return this.memberViews.member(nodeId);
  }

  rosterConfirmedAgeMs(nowMs: units.MonotonicMs): units.Millis {
    return this.confirmationRefresher.newest.ageMs(nowMs);
  }

  /** Returns the outcome of a configuration change, if it is recent. */
  outcomeOf(changeId: string): peer.ChangeOutcome | undefined {
    return this.log.configuration.outcomeOf(changeId);
  }

  /** Returns the state for a peer at `fromOffset`, the whole state if that is undefined. */
  peerState(
    fromOffset: number | undefined,
    now: units.Instant,
  ): controlContract.PeerState {
    const ageMs = this.confirmationRefresher.newest.wireAgeMs(now.monotonicMs);
    const provisional = this.gossip.provisional.all(now.monotonicMs);
    const suspects = this.gossip.suspectReports(now.monotonicMs);
    const state = this.log.peerState(
      this.self.nodeId,
      fromOffset,
      ageMs,
      provisional,
    );
    return {...state, suspects};
  }

  nextWakeMs(): units.MonotonicMs | undefined {
    return this.nextTickMs;
  }

  handle(
    event: controlContract.ControlEvent,
    now: units.Instant,
  ): readonly controlContract.ControlAction[] {
    this.memberViews.setTime(now.monotonicMs);
    if (this.pauseDetector.noteEvent(this.nextTickMs, now.monotonicMs)) {
      this.gossip.noteResumed(now.monotonicMs);
    }
    this.handleEvent(event, now);
    this.addDueActions(event, now);
    return this.outbox.drain();
  }

  private handleEvent(
    event: controlContract.ControlEvent,
    now: units.Instant,
  ): void {
    const nowMs = now.monotonicMs;
    switch (event.kind) {
      case 'datagram':
        this.handleDatagram(event.datagram, nowMs);
        return;
      case 'log-read':
        this.handleLogRead(event.page, now);
        return;
      case 'log-read-failed':
        this.logFollower.noteFailed(nowMs);
        this.notifyLogReachable(false);
        return;
      case 'appended':
        this.recordAppender.noteAppended(event.recordId, nowMs);
        return;
      case 'append-failed':
        this.recordAppender.noteFailed(event.recordId, nowMs);
        return;
      case 'server-state':
        this.required.noteServerState(event.state);
        return;
      case 'peer-state':
        this.handlePeerState(event.state, now);
        return;
      case 'peer-state-failed':
        this.stateExchange.notePullFailed();
        return;
      case 'versions-seen':
        this.noteVersions(this.gossip.find(event.nodeId, nowMs), {
          revision: event.configurationRevision,
          offset: event.rosterOffset,
        });
        return;
      case 'suspect-found':
        this.handleSuspect(event.report, nowMs);
        return;
      case 'tick':
        return;
      case 'stop':
        this.required.noteStop(nowMs);
        return;
      default:
        invariants.assertNever(event);
    }
  }

  private handleDatagram(
    datagram: peer.Datagram,
    nowMs: units.MonotonicMs,
  ): void {
    const result = this.gossip.handleDatagram(datagram, nowMs);
    for (const notice of result.notices) this.outbox.addNotice(notice);
    this.noteVersions(result.from, {
      revision: datagram.configurationRevision,
      offset: datagram.rosterOffset,
    });
    if (result.answered) this.confirmByProbe(result.answered, datagram);
    this.outbox.send(result.messages, nowMs);
    if (result.hasNewItems) this.outbox.spreadGossip(GOSSIP_FANOUT, nowMs);
  }

  /** A probe's answer confirms the sender's versions as of the time the probe was sent. */
  private confirmByProbe(
    answered: failureDetector.AnsweredProbe,
    datagram: peer.Datagram,
  ): void {
    const {sentMs} = answered;
    if (datagram.rosterOffset > this.log.nextOffset) return;
    this.confirm(sentMs - datagram.logAgeMs);
    if (datagram.configurationRevision > this.revision) return;
    this.pauseDetector.noteConfirmed(sentMs);
  }

  private handleLogRead(
    page: controlContract.LogPage,
    now: units.Instant,
  ): void {
    const confirmedMs = this.logFollower.noteRead(page, this.log.nextOffset);
    this.noteFolded(this.log.foldPage(page), now);
    if (confirmedMs !== undefined) this.confirm(confirmedMs);
    this.notifyLogReachable(true);
  }

  private handlePeerState(
    state: controlContract.PeerState,
    now: units.Instant,
  ): void {
    const sentMs = this.stateExchange.notePullAnswered();
    const before = this.log.nextOffset;
    const folded = this.log.adopt(state);
    this.noteFolded(folded, now);
    if (folded.length === 0 && this.log.nextOffset > before) {
      this.logFollower.notePeerStateAdopted();
    }
    for (const provisional of state.provisional) {
      this.gossip.provisional.applyUpdate(provisional, now.monotonicMs);
    }
    for (const report of state.suspects) {
      if (!this.gossip.addSuspect(report, now.monotonicMs)) continue;
      this.outbox.addNotice({kind: 'suspect', report});
    }
    if (sentMs === undefined || state.rosterOffset > this.log.nextOffset) {
      return;
    }
    this.confirm(sentMs - state.logAgeMs);
    this.pauseDetector.noteConfirmed(sentMs);
  }

  private handleSuspect(
    report: peer.SuspectReport,
    nowMs: units.MonotonicMs,
  ): void {
    if (!this.gossip.addSuspect(report, nowMs)) return;
    this.outbox.spreadGossip(URGENT_FANOUT, nowMs);
  }

  private noteFolded(
    folded: readonly logState.FoldedRecord[],
    now: units.Instant,
  ): void {
    for (const {record} of folded) {
      this.required.noteFolded(record, now.monotonicMs);
      this.noteRosterRecord(record);
    }
  }

  private noteRosterRecord(record: peer.LogRecord): void {
    if (record.body?.$case !== 'roster') return;
    const {event, member} = record.body.value;
    if (member === undefined) return;
    if (event === peer.RosterEvent.REFRESH) return;
    this.outbox.addNotice({kind: 'roster', nodeId: member.nodeId, event});
  }

  private noteVersions(
    from: peer.Member | undefined,
    versions: stateExchange.Versions,
  ): void {
    if (from) this.stateExchange.noteVersions(from, versions, this.versions);
  }

  private confirm(atMs: units.MonotonicMs): void {
    this.confirmationRefresher.newest.confirm(atMs);
    this.pauseDetector.noteConfirmed(atMs);
  }

  private addDueActions(
    event: controlContract.ControlEvent,
    now: units.Instant,
  ): void {
    const nowMs = now.monotonicMs;
    if (event.kind !== 'datagram') this.addTimedActions(now);
    this.exchangeState(nowMs);
    this.notifyChanges();
    this.nextTickMs ??= nowMs + TICK_MS;
    if (nowMs >= this.nextTickMs) this.nextTickMs = nowMs + TICK_MS;
  }

  private addTimedActions(now: units.Instant): void {
    const nowMs = now.monotonicMs;
    const ageMs = this.confirmationRefresher.newest.ageMs(nowMs);
    const waitMs = this.readers.readWaitMs(ageMs, nowMs);
    if (waitMs !== undefined) {
      this.outbox.add(
        this.logFollower.nextRead(
          this.log.nextOffset,
          waitMs,
          this.gossip.memberCount,
          nowMs,
        ),
      );
    }
    for (const record of this.recordAppender.dueRecords(
      this.required.required(now),
      now,
    )) {
      this.outbox.add({kind: 'append', record});
    }
    this.announce(nowMs);
    this.outbox.send(this.gossip.dueProbes(nowMs, this.stale), nowMs);
    this.probeReader(nowMs);
    if (this.required.leaveDone(nowMs)) this.outbox.addNotice({kind: 'left'});
  }

  private probeReader(nowMs: units.MonotonicMs): void {
    if (this.logFollower.failing) return;
    const readers = this.readers.readersOfService(nowMs);
    const reader = this.confirmationRefresher.readerToProbe(readers, nowMs);
    if (reader === undefined) return;
    this.outbox.send([this.gossip.detector.probe(reader, nowMs)], nowMs);
  }

  /** Announces joining or leaving by gossip until the log has the record. */
  private announce(nowMs: units.MonotonicMs): void {
    if (this.required.shouldLeave) {
      if (this.leavingAnnounced) return;
      this.leavingAnnounced = true;
      this.gossip.provisional.announce(true, nowMs);
      this.outbox.sendGossip(this.memberViews.siblings(), nowMs);
      this.outbox.spreadGossip(URGENT_FANOUT, nowMs);
      return;
    }
    this.leavingAnnounced = false;
    if (!this.required.shouldJoin || this.required.isJoined) return;
    if (nowMs - this.lastAnnouncedMs < ANNOUNCE_INTERVAL_MS) return;
    this.lastAnnouncedMs = nowMs;
    this.gossip.provisional.announce(false, nowMs);
  }

  private exchangeState(nowMs: units.MonotonicMs): void {
    const fanout = this.stateExchange.pushFanout(this.versions, nowMs);
    this.outbox.spreadGossip(fanout, nowMs);
    const pull = this.stateExchange.nextPull(
      this.versions,
      this.log.complete,
      this.gossip.memberCount,
      () => (this.needsPeerState() ? this.gossip.pickStatePeer() : undefined),
      nowMs,
    );
    this.outbox.add(pull);
  }

  /** Whether this node needs state that reading the log cannot provide now. */
  private needsPeerState(): boolean {
    if (!this.log.complete || this.stale) return true;
    return this.log.nextOffset === 0
      ? this.logFollower.failing
      : this.logFollower.catchingUp;
  }

  private get revision(): number {
    return this.log.configuration.revision;
  }

  private get versions(): stateExchange.Versions {
    return {revision: this.revision, offset: this.log.nextOffset};
  }

  private notifyChanges(): void {
    if (this.revision > this.notifiedRevision) {
      this.notifiedRevision = this.revision;
      this.outbox.addNotice({
        kind: 'configuration-in-force',
        revision: this.revision,
      });
    }
    if (this.stale !== this.notifiedStale) {
      this.notifiedStale = this.stale;
      this.outbox.addNotice({kind: 'stale', stale: this.stale});
    }
    for (const change of this.gossip.table.takeChanges()) {
      this.outbox.addNotice({kind: 'liveness', ...change});
    }
  }

  private notifyLogReachable(reachable: boolean): void {
    if (this.logReachable === reachable) return;
    this.logReachable = reachable;
    this.outbox.addNotice({kind: 'log', reachable});
  }
}
