/** Membership and configuration of one node, composed of its parts. */
import * as peer from '../../generated/peer.js';
import * as inForce from '../configuration/configuration_in_force.js';
import * as core from '../core.js';
import * as counters from '../counters.js';
import * as invariants from '../invariants.js';
import * as failureDetector from '../membership/failure_detector.js';
import * as randomSource from '../random_source.js';
import * as units from '../units.js';
import * as control from './control_contract.js';
import * as confirmationUpkeep from './confirmation_upkeep.js';
import * as fleetView from './fleet_view.js';
import * as gossip from './gossip.js';
import * as logFollower from './log_follower.js';
import * as logState from './log_state.js';
import * as memberViews from './member_views.js';
import * as outbox from './outbox.js';
import * as ownRecords from './own_records.js';
import * as readerChoice from './reader_choice.js';
import * as recordNeeds from './record_needs.js';
import * as stateExchange from './state_exchange.js';
import * as wakeUp from './wake_up.js';

/** Time between two looks at what is due. */
const TICK_MS: units.Millis = 100;

/** Time between announcements of this node by gossip while the log does not hold its join. */
const ANNOUNCE_INTERVAL_MS: units.Millis = 5_000;

/** Random members told at once of a suspect request, or that this node leaves. */
const URGENT_FANOUT = 8;

/** Random members to which news by gossip is passed on at once. */
const NEWS_FANOUT = 4;

/** What the core is made of. */
export interface ControlOptions {
  /** This node, with the incarnation of this start. */
  readonly self: peer.Member;
  readonly random: randomSource.RandomSource;
  readonly counters: counters.Counters;
  readonly invariants: invariants.Invariants;
  /** Peers asked for their state while the log does not name any. */
  readonly bootstrapPeers?: readonly peer.Member[];
}

/** Decides on membership and configuration; gives the other cores their view of the fleet. */
export class ControlCore
  implements
    core.Core<control.ControlEvent, control.ControlAction>,
    fleetView.FleetView
{
  private readonly self: peer.Member;
  private readonly log: logState.LogState;
  private readonly upkeep: confirmationUpkeep.ConfirmationUpkeep;
  private readonly follower: logFollower.LogFollower;
  private readonly readers: readerChoice.ReaderChoice;
  private readonly records: ownRecords.OwnRecords;
  private readonly needs: recordNeeds.RecordNeeds;
  private readonly gossip: gossip.Gossip;
  private readonly exchange = new stateExchange.StateExchange();
  private readonly views: memberViews.MemberViews;
  private readonly wake = new wakeUp.WakeUp();
  private readonly outbox: outbox.Outbox;
  private revisionTold = 0;
  private staleTold = false;
  private logReachable = true;
  private announcedMs = Number.NEGATIVE_INFINITY;
  private leavingAnnounced = false;
  private nextTickMs: units.MonotonicMs | undefined;

  constructor(options: ControlOptions) {
    const {self, random} = options;
    this.self = self;
    this.log = new logState.LogState(options.invariants, options.counters);
    this.upkeep = new confirmationUpkeep.ConfirmationUpkeep(self, this.log);
    this.follower = new logFollower.LogFollower(random);
    this.records = new ownRecords.OwnRecords(self, random, options.counters);
    this.gossip = new gossip.Gossip(
      self,
      this.log,
      random,
      options.counters,
      options.bootstrapPeers ?? [],
    );
    this.needs = new recordNeeds.RecordNeeds(
      self,
      this.log,
      random,
      this.gossip.table,
    );
    this.readers = new readerChoice.ReaderChoice(
      self,
      this.log,
      this.gossip.table,
    );
    this.views = new memberViews.MemberViews(self, this.log, this.gossip);
    this.outbox = new outbox.Outbox(
      self,
      this.log,
      this.gossip,
      this.upkeep,
      this.needs,
    );
  }

  get configuration(): inForce.ConfigurationInForce | undefined {
    return this.log.configuration.configuration;
  }

  get rosterOffset(): number {
    return this.log.nextOffset;
  }

  get stale(): boolean {
    return this.wake.stale;
  }

  membersOf(service: string): readonly fleetView.MemberView[] {
    return this.views.membersOf(service);
  }

  member(nodeId: string): fleetView.MemberView | undefined {
    return this.views.member(nodeId);
  }

  rosterConfirmedAgeMs(nowMs: units.MonotonicMs): units.Millis {
    return this.upkeep.newest.ageMs(nowMs);
  }

  /** Returns the outcome of a configuration change, if it is recent. */
  outcomeOf(changeId: string): peer.ChangeOutcome | undefined {
    return this.log.configuration.outcomeOf(changeId);
  }

  /** Returns what a peer at `fromOffset` needs, the whole state if that is undefined. */
  peerState(
    fromOffset: number | undefined,
    now: units.Instant,
  ): control.PeerState {
    const ageMs = this.upkeep.newest.wireAgeMs(now.monotonicMs);
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
    event: control.ControlEvent,
    now: units.Instant,
  ): readonly control.ControlAction[] {
    this.views.noteTime(now.monotonicMs);
    if (this.wake.noteEvent(this.nextTickMs, now.monotonicMs)) {
      this.gossip.noteWoke(now.monotonicMs);
    }
    this.take(event, now);
    this.act(event, now);
    return this.outbox.take();
  }

  private take(event: control.ControlEvent, now: units.Instant): void {
    const nowMs = now.monotonicMs;
    switch (event.kind) {
      case 'datagram':
        this.takeDatagram(event.datagram, nowMs);
        return;
      case 'log-read':
        this.takeLogRead(event.page, now);
        return;
      case 'log-read-failed':
        this.follower.noteFailed(nowMs);
        this.tellLogReachable(false);
        return;
      case 'appended':
        this.records.noteAppended(event.recordId, nowMs);
        return;
      case 'append-failed':
        this.records.noteFailed(event.recordId, nowMs);
        return;
      case 'server-state':
        this.needs.noteServerState(event.state);
        return;
      case 'peer-state':
        this.takePeerState(event.state, now);
        return;
      case 'peer-state-failed':
        this.exchange.noteFailure();
        return;
      case 'versions-seen':
        this.noteVersions(this.gossip.find(event.nodeId, nowMs), {
          revision: event.configurationRevision,
          offset: event.rosterOffset,
        });
        return;
      case 'suspect-found':
        this.takeSuspect(event.report, nowMs);
        return;
      case 'tick':
        return;
      case 'stop':
        this.needs.noteStop(nowMs);
        return;
      default:
        invariants.assertNever(event);
    }
  }

  private takeDatagram(
    datagram: peer.Datagram,
    nowMs: units.MonotonicMs,
  ): void {
    const taken = this.gossip.take(datagram, nowMs);
    for (const notice of taken.notices) this.outbox.tell(notice);
    this.noteVersions(taken.from, {
      revision: datagram.configurationRevision,
      offset: datagram.rosterOffset,
    });
    if (taken.answered) this.takeAnswer(taken.answered, datagram);
    this.outbox.send(taken.messages, nowMs);
    if (taken.hasNews) this.outbox.push(NEWS_FANOUT, nowMs);
  }

  /** An answer vouches for the sender's versions as of when the question was sent. */
  private takeAnswer(
    answered: failureDetector.AnsweredProbe,
    datagram: peer.Datagram,
  ): void {
    const {sentMs} = answered;
    if (datagram.rosterOffset > this.log.nextOffset) return;
    this.confirm(sentMs - datagram.logAgeMs);
    if (datagram.configurationRevision > this.revision) return;
    this.wake.noteConfirmed(sentMs);
  }

  private takeLogRead(page: control.LogPage, now: units.Instant): void {
    const confirmedMs = this.follower.noteRead(page, this.log.nextOffset);
    this.noteFolded(this.log.foldPage(page), now);
    if (confirmedMs !== undefined) this.confirm(confirmedMs);
    this.tellLogReachable(true);
  }

  private takePeerState(state: control.PeerState, now: units.Instant): void {
    const sentMs = this.exchange.noteAnswer();
    const before = this.log.nextOffset;
    const folded = this.log.adopt(state);
    this.noteFolded(folded, now);
    if (folded.length === 0 && this.log.nextOffset > before) {
      this.follower.noteAdopted();
    }
    for (const told of state.provisional) {
      this.gossip.provisional.take(told, now.monotonicMs);
    }
    for (const report of state.suspects) {
      if (!this.gossip.spreadSuspect(report, now.monotonicMs)) continue;
      this.outbox.tell({kind: 'suspect', report});
    }
    if (sentMs === undefined || state.rosterOffset > this.log.nextOffset) {
      return;
    }
    this.confirm(sentMs - state.logAgeMs);
    this.wake.noteConfirmed(sentMs);
  }

  private takeSuspect(
    report: peer.SuspectReport,
    nowMs: units.MonotonicMs,
  ): void {
    if (!this.gossip.spreadSuspect(report, nowMs)) return;
    this.outbox.push(URGENT_FANOUT, nowMs);
  }

  private noteFolded(
    folded: readonly logState.FoldedRecord[],
    now: units.Instant,
  ): void {
    for (const {record} of folded) {
      this.needs.noteFolded(record, now.monotonicMs);
      this.noteRosterRecord(record);
    }
  }

  private noteRosterRecord(record: peer.LogRecord): void {
    if (record.body?.$case !== 'roster') return;
    const {event, member} = record.body.value;
    if (member === undefined) return;
    if (event === peer.RosterEvent.REFRESH) return;
    this.outbox.tell({kind: 'roster', nodeId: member.nodeId, event});
  }

  private noteVersions(
    from: peer.Member | undefined,
    versions: stateExchange.Versions,
  ): void {
    if (from) this.exchange.noteVersions(from, versions, this.versions);
  }

  private confirm(atMs: units.MonotonicMs): void {
    this.upkeep.newest.confirm(atMs);
    this.wake.noteConfirmed(atMs);
  }

  private act(event: control.ControlEvent, now: units.Instant): void {
    const nowMs = now.monotonicMs;
    if (event.kind !== 'datagram') this.actOnTime(now);
    this.exchangeState(nowMs);
    this.tellChanges();
    this.nextTickMs ??= nowMs + TICK_MS;
    if (nowMs >= this.nextTickMs) this.nextTickMs = nowMs + TICK_MS;
  }

  private actOnTime(now: units.Instant): void {
    const nowMs = now.monotonicMs;
    const ageMs = this.upkeep.newest.ageMs(nowMs);
    const waitMs = this.readers.readWaitMs(ageMs, nowMs);
    if (waitMs !== undefined) {
      this.outbox.add(
        this.follower.step(
          this.log.nextOffset,
          waitMs,
          this.gossip.memberCount,
          nowMs,
        ),
      );
    }
    for (const record of this.records.step(this.needs.current(now), now)) {
      this.outbox.add({kind: 'append', record});
    }
    this.announce(nowMs);
    this.outbox.send(this.gossip.step(nowMs, this.stale), nowMs);
    this.askForConfirmation(nowMs);
    if (this.needs.takeLeft(nowMs)) this.outbox.tell({kind: 'left'});
  }

  private askForConfirmation(nowMs: units.MonotonicMs): void {
    if (this.follower.failing) return;
    const readers = this.readers.readersOfService(nowMs);
    const reader = this.upkeep.readerToAsk(readers, nowMs);
    if (reader === undefined) return;
    this.outbox.send([this.gossip.detector.probe(reader, nowMs)], nowMs);
  }

  /** Tells by gossip what the log does not hold yet of this node. */
  private announce(nowMs: units.MonotonicMs): void {
    if (this.needs.wantsToLeave) {
      if (this.leavingAnnounced) return;
      this.leavingAnnounced = true;
      this.gossip.provisional.announce(true, nowMs);
      this.outbox.sendNews(this.views.siblings(), nowMs);
      this.outbox.push(URGENT_FANOUT, nowMs);
      return;
    }
    this.leavingAnnounced = false;
    if (!this.needs.wantsToServe || this.needs.isJoined) return;
    if (nowMs - this.announcedMs < ANNOUNCE_INTERVAL_MS) return;
    this.announcedMs = nowMs;
    this.gossip.provisional.announce(false, nowMs);
  }

  private exchangeState(nowMs: units.MonotonicMs): void {
    const fanout = this.exchange.fanout(this.versions, nowMs);
    this.outbox.push(fanout, nowMs);
    const pull = this.exchange.step(
      this.versions,
      this.log.complete,
      this.gossip.memberCount,
      () => (this.needsState() ? this.gossip.pickAny() : undefined),
      nowMs,
    );
    this.outbox.add(pull);
  }

  /** Whether this node lacks what the log alone cannot give it now. */
  private needsState(): boolean {
    if (!this.log.complete || this.stale) return true;
    return this.log.nextOffset === 0
      ? this.follower.failing
      : this.follower.catchingUp;
  }

  private get revision(): number {
    return this.log.configuration.revision;
  }

  private get versions(): stateExchange.Versions {
    return {revision: this.revision, offset: this.log.nextOffset};
  }

  private tellChanges(): void {
    if (this.revision > this.revisionTold) {
      this.revisionTold = this.revision;
      this.outbox.tell({
        kind: 'configuration-in-force',
        revision: this.revision,
      });
    }
    if (this.stale !== this.staleTold) {
      this.staleTold = this.stale;
      this.outbox.tell({kind: 'stale', stale: this.stale});
    }
    for (const change of this.gossip.table.takeChanges()) {
      this.outbox.tell({kind: 'liveness', ...change});
    }
  }

  private tellLogReachable(reachable: boolean): void {
    if (this.logReachable === reachable) return;
    this.logReachable = reachable;
    this.outbox.tell({kind: 'log', reachable});
  }
}
