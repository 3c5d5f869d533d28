/** What datagrams carry besides their body, within the bound of their size. */
import * as peer from '../../generated/peer.js';
import * as livenessTable from '../membership/liveness_table.js';
import * as provisionalMembers from '../membership/provisional_members.js';
import * as rumours from '../membership/rumours.js';
import * as units from '../units.js';

/** Largest datagram, in bytes. */
export const MAX_DATAGRAM_BYTES = 1_200;

/** Bytes of a datagram's other fields, with the sender as a member and its longest names. */
const FIXED_BYTES = 480;

/** Bytes of a field's tag and length. */
const FIELD_BYTES = 4;

/** Most suspect reports and members by gossip in one datagram. */
const MAX_SUSPECTS = 4;
const MAX_MEMBERS = 2;

/** Fields of a datagram that spread by gossip. */
export type Gossip = Pick<peer.Datagram, 'updates' | 'suspects' | 'members'>;

/** Picks what to send next. */
export class DatagramContents {
  constructor(
    private readonly table: livenessTable.LivenessTable,
    private readonly suspects: rumours.Rumours<peer.SuspectReport>,
    private readonly provisional: provisionalMembers.ProvisionalMembers,
  ) {}

  /** Returns the gossip for one datagram. */
  take(members: number, nowMs: units.MonotonicMs): Gossip {
    const budget = new ByteBudget(MAX_DATAGRAM_BYTES - FIXED_BYTES);
    const suspects = this.suspects
      .take(MAX_SUSPECTS, nowMs)
      .map(r => ({...r.item, expiresInMs: Math.floor(r.leftMs)}))
      .filter(s => budget.fits(peer.SuspectReport.encode(s).finish()));
    const told = this.provisional
      .takeUpdates(MAX_MEMBERS, nowMs)
      .filter(m => budget.fits(peer.ProvisionalMember.encode(m).finish()));
    const updates = this.table
      .takeUpdates(members)
      .filter(u => budget.fits(peer.LivenessUpdate.encode(u).finish()));
    return {updates, suspects, members: told};
  }
}

/** Bytes left in a datagram. */
class ByteBudget {
  constructor(private left: number) {}

  /** Takes the bytes of a field off the budget if they fit. */
  fits(bytes: Uint8Array): boolean {
    const size = bytes.length + FIELD_BYTES;
    if (size > this.left) return false;
    this.left -= size;
    return true;
  }
}
