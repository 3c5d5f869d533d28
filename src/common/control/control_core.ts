/** Membership and configuration of one node: composes the folds, the lease and the log's reader. */
import * as peer from '../../generated/peer.js';
import * as inForce from '../configuration/configuration_in_force.js';
import * as core from '../core.js';
import * as counters from '../counters.js';
import * as invariants from '../invariants.js';
import * as keyHomes from '../membership/key_homes.js';
import * as rosterLease from '../membership/roster_lease.js';
import * as randomSource from '../random_source.js';
import * as units from '../units.js';
import * as control from './control_contract.js';
import * as fleetView from './fleet_view.js';
import * as logFollower from './log_follower.js';
import * as logState from './log_state.js';
import * as ownRecords from './own_records.js';
import * as recordNeeds from './record_needs.js';

/** Time between two looks at what is due. */
const TICK_MS: units.Millis = 100;

/** What the core is made of. */
export interface ControlOptions {
  /** This node, with the incarnation of this start. */
  readonly self: peer.Member;
  readonly random: randomSource.RandomSource;
  readonly counters: counters.Counters;
  readonly invariants: invariants.Invariants;
}

/** Decides on membership and configuration; gives the other cores their view of the fleet. */
export class ControlCore
  implements
    core.Core<control.ControlEvent, control.ControlAction>,
    fleetView.FleetView
{
  private readonly self: peer.Member;
  private readonly log: logState.LogState;
  private readonly lease = new rosterLease.RosterLease();
  private readonly homes: keyHomes.KeyHomes;
  private readonly follower: logFollower.LogFollower;
  private readonly records: ownRecords.OwnRecords;
  private readonly needs: recordNeeds.RecordNeeds;
  private actions: control.ControlAction[] = [];
  private revisionTold = 0;
  private logReachable = true;
  private nextTickMs: units.MonotonicMs | undefined;

  constructor(options: ControlOptions) {
    this.self = options.self;
    this.log = new logState.LogState(options.invariants, options.counters);
    this.homes = new keyHomes.KeyHomes(this.log.roster);
    this.follower = new logFollower.LogFollower(options.random);
    this.records = new ownRecords.OwnRecords(
      options.self,
      options.random,
      options.counters,
    );
    this.needs = new recordNeeds.RecordNeeds(
      options.self,
      this.log,
      options.random,
      {deadForMs: () => undefined, isAlive: () => true},
    );
  }

  get configuration(): inForce.ConfigurationInForce | undefined {
    return this.log.configuration.configuration;
  }

  get rosterOffset(): number {
    return this.log.nextOffset;
  }

  get stale(): boolean {
    return false;
  }

  membersOf(service: string): readonly fleetView.MemberView[] {
    return this.log.roster.entriesOf(service).map(e => this.viewOf(e));
  }

  member(nodeId: string): fleetView.MemberView | undefined {
    const entry = this.log.roster.entry(nodeId);
    return entry && entry.roster !== 'gone' ? this.viewOf(entry) : undefined;
  }

  homeOf(service: string, key: string): string | undefined {
    return this.homes.homeOf(service, key);
  }

  keyHome(service: string, key: string): fleetView.KeyHome | undefined {
    return this.homes.keyHome(service, key);
  }

  rosterConfirmedAgeMs(nowMs: units.MonotonicMs): units.Millis {
    return this.lease.ageMs(nowMs);
  }

  keyLeaseValid(nowMs: units.MonotonicMs): boolean {
    if (!this.log.complete || this.stale) return false;
    return this.lease.ageMs(nowMs) <= rosterLease.LEASE_MS;
  }

  /** Returns the outcome of a configuration change, if it is recent. */
  outcomeOf(changeId: string): peer.ChangeOutcome | undefined {
    return this.log.configuration.outcomeOf(changeId);
  }

  /** Returns what a peer that has folded the log up to `fromOffset` needs. */
  peerState(fromOffset: number, now: units.Instant): control.PeerState {
    const ageMs = this.lease.wireAgeMs(now.monotonicMs);
    return this.log.peerState(this.self.nodeId, fromOffset, ageMs, []);
  }

  nextWakeMs(): units.MonotonicMs | undefined {
    return this.nextTickMs;
  }

  handle(
    event: control.ControlEvent,
    now: units.Instant,
  ): readonly control.ControlAction[] {
    this.actions = [];
    this.take(event, now);
    this.act(now);
    return this.actions;
  }

  private take(event: control.ControlEvent, now: units.Instant): void {
    switch (event.kind) {
      case 'log-read':
        this.takeLogRead(event.page, now);
        return;
      case 'log-read-failed':
        this.follower.noteFailed(now.monotonicMs);
        this.tellLogReachable(false);
        return;
      case 'appended':
        this.records.noteAppended(event.recordId, now.monotonicMs);
        return;
      case 'append-failed':
        this.records.noteFailed(event.recordId, now.monotonicMs);
        return;
      case 'server-state':
        this.needs.noteServerState(event.state);
        return;
      case 'stop':
        this.needs.noteStop(now.monotonicMs);
        return;
      case 'datagram':
      case 'peer-state':
      case 'peer-state-failed':
      case 'versions-seen':
      case 'suspect-found':
      case 'tick':
        return;
      default:
        invariants.assertNever(event);
    }
  }

  private takeLogRead(page: control.LogPage, now: units.Instant): void {
    const confirmedMs = this.follower.noteRead(page);
    this.noteFolded(this.log.foldPage(page), now);
    if (confirmedMs !== undefined) this.lease.confirm(confirmedMs);
    this.tellLogReachable(true);
  }

  private noteFolded(
    folded: readonly logState.FoldedRecord[],
    now: units.Instant,
  ): void {
    for (const {offset, record} of folded) {
      this.homes.noteFolded(offset, now.monotonicMs);
      this.needs.noteFolded(record, now.monotonicMs);
      this.tellRosterRecord(record);
    }
  }

  private act(now: units.Instant): void {
    const nowMs = now.monotonicMs;
    const read = this.follower.step(this.log.nextOffset, true, nowMs);
    if (read) this.actions.push(read);
    for (const record of this.records.step(this.needs.current(now), now)) {
      this.actions.push({kind: 'append', record});
    }
    this.tellRevision();
    if (this.needs.takeLeft(nowMs)) this.tell({kind: 'left'});
    this.nextTickMs = nowMs + TICK_MS;
  }

  private viewOf(entry: control.RosterEntryState): fleetView.MemberView {
    return {
      member: entry.member,
      roster: entry.roster === 'joined' ? 'joined' : 'leaving',
      liveness: peer.LivenessState.ALIVE,
      provisional: false,
    };
  }

  private tell(notice: control.ControlNotice): void {
    this.actions.push({kind: 'notice', notice});
  }

  private tellRevision(): void {
    const revision = this.configuration?.revision ?? 0;
    if (revision <= this.revisionTold) return;
    this.revisionTold = revision;
    this.tell({kind: 'configuration-in-force', revision});
  }

  private tellRosterRecord(record: peer.LogRecord): void {
    if (record.body?.$case !== 'roster') return;
    const {event, member} = record.body.value;
    if (member === undefined || event === peer.RosterEvent.REFRESH) return;
    this.tell({kind: 'roster', nodeId: member.nodeId, event});
  }

  private tellLogReachable(reachable: boolean): void {
    if (this.logReachable === reachable) return;
    this.logReachable = reachable;
    this.tell({kind: 'log', reachable});
  }
}
