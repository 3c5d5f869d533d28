/** Keeps the roster lease of this node confirmed, and judges it. */
import * as peer from '../../generated/peer.js';
import * as roster from '../membership/roster.js';
import * as rosterLease from '../membership/roster_lease.js';
import * as units from '../units.js';
import * as control from './control_contract.js';
import * as logState from './log_state.js';

/** Age of the newest confirmation at which a reader of the service is asked. */
const ASK_AGE_MS: units.Millis = 600;

/** Time between questions to readers. */
const ASK_SPACING_MS: units.Millis = 400;

/** Time between questions to all siblings while the log is out of reach. */
const ASK_ALL_SPACING_MS: units.Millis = 900;

/** Lease on the roster, with whom to ask to renew it. */
export class LeaseUpkeep {
  readonly lease = new rosterLease.RosterLease();
  private lastAskMs = Number.NEGATIVE_INFINITY;
  private asked = 0;
  /** Latest time at which this node's newest record can have been written. */
  private ownRecordMs = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly self: peer.Member,
    private readonly log: logState.LogState,
  ) {}

  /** Whether this start of the node is a key holder whose roster is recent enough to act on. */
  isValid(nowMs: units.MonotonicMs): boolean {
    if (!this.log.complete) return false;
    const own = this.ownEntry();
    if (own === undefined || !roster.isHolder(own)) return false;
    if (this.lease.ageMs(nowMs) <= rosterLease.LEASE_MS) return true;
    return this.isConfirmedByPeers(nowMs);
  }

  /** Follows this node's own records, by which others count it as present. */
  noteOwnRecord(timeMs: units.EpochMs, now: units.Instant): void {
    const ageMs = Math.max(0, now.epochMs - timeMs);
    this.ownRecordMs = Math.max(this.ownRecordMs, now.monotonicMs - ageMs);
  }

  /** Returns whom to probe now so that the lease stays valid. */
  membersToAsk(
    readers: readonly string[],
    logFailing: boolean,
    nowMs: units.MonotonicMs,
  ): readonly peer.Member[] {
    if (this.ownEntry()?.roster !== 'joined') return [];
    if (this.lease.ageMs(nowMs) < ASK_AGE_MS) return [];
    const spacingMs = logFailing ? ASK_ALL_SPACING_MS : ASK_SPACING_MS;
    if (nowMs - this.lastAskMs < spacingMs) return [];
    this.lastAskMs = nowMs;
    if (logFailing) return this.siblings().map(e => e.member);
    const others = readers.filter(nodeId => nodeId !== this.self.nodeId);
    if (others.length === 0) return [];
    const reader = this.log.roster.entry(others[this.asked++ % others.length]);
    return reader ? [reader.member] : [];
  }

  /**
   * Without the log, no member of the service may know a newer record. Whoever could make another
   * node the home of this node's keys is among them, or has this node's long silence to go by.
   */
  private isConfirmedByPeers(nowMs: units.MonotonicMs): boolean {
    const ownAgeMs = nowMs - this.ownRecordMs;
    if (ownAgeMs > rosterLease.OWN_RECORD_AGE_MAX_MS) return false;
    const siblings = this.siblings().map(e => e.member.nodeId);
    return this.lease.agreedBy(siblings, this.log.nextOffset, nowMs);
  }

  private ownEntry(): control.RosterEntryState | undefined {
    const entry = this.log.roster.entry(this.self.nodeId);
    return entry?.member.incarnation === this.self.incarnation
      ? entry
      : undefined;
  }

  private siblings(): readonly control.RosterEntryState[] {
    return this.log.roster
      .entriesOf(this.self.service)
      .filter(e => e.roster === 'joined')
      .filter(e => e.member.nodeId !== this.self.nodeId);
  }
}
