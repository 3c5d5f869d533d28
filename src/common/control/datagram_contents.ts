/** Selects the gossip piggybacked on datagrams, within their size limit. */
import * as peer from '../../generated/peer.js';
import * as livenessTable from '../membership/liveness_table.js';
import * as provisionalMembers from '../membership/provisional_members.js';
import * as gossipBuffer from '../membership/gossip_buffer.js';
import * as units from '../units.js';

/** Maximum size of a datagram, in bytes. */
export const MAX_DATAGRAM_BYTES = 1_200;

/** Bytes reserved for the other fields, including the sender as a member with maximal names. */
const FIXED_BYTES = 480;

/** Bytes of a field's tag and length prefix. */
const FIELD_BYTES = 4;

/** Maximum number of suspect reports and provisional members per datagram. */
const MAX_SUSPECTS = 4;
const MAX_MEMBERS = 2;

/** Datagram fields that are spread by gossip. */
export type GossipFields = Pick<
  peer.Datagram,
  'updates' | 'suspects' | 'members'
>;

/** Selects the gossip to send next. */
export class DatagramContents {
  constructor(
    private readonly table: livenessTable.LivenessTable,
    private readonly suspects: gossipBuffer.GossipBuffer<peer.SuspectReport>,
    private readonly provisional: provisionalMembers.ProvisionalMembers,
  ) {}

  /** Returns the gossip for the next datagram; `members` is the number of known members. */
  nextFields(members: number, nowMs: units.MonotonicMs): GossipFields {
    const budget = new ByteBudget(MAX_DATAGRAM_BYTES - FIXED_BYTES);
    const suspects = this.suspects
      .take(MAX_SUSPECTS, nowMs)
      .map(r => ({...r.item, expiresInMs: Math.floor(r.leftMs)}))
      .filter(s => budget.reserve(peer.SuspectReport.encode(s).finish()));
    const provisional = this.provisional
      .takeUpdates(MAX_MEMBERS, nowMs)
      .filter(m => budget.reserve(peer.ProvisionalMember.encode(m).finish()));
    const updates = this.table
      .takeUpdates(members)
      .filter(u => budget.reserve(peer.LivenessUpdate.encode(u).finish()));
    return {updates, suspects, members: provisional};
  }
}

/** Remaining bytes of a datagram. */
class ByteBudget {
  constructor(private left: number) {}

  /** Reserves space for an encoded field; returns false if it does not fit. */
  reserve(bytes: Uint8Array): boolean {
    const size = bytes.length + FIELD_BYTES;
    if (size > this.left) return false;
    this.left -= size;
    return true;
  }
}
