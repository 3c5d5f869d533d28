/** Lease on the roster: how recently it was confirmed that no record is missing. */
import * as units from '../units.js';

/** Time after a confirmation for which keyed requests may run. */
export const LEASE_MS: units.Millis = 2_000;

/** Wait of a new home after it learnt of a change of holders; longer than any lease before it. */
export const TAKEOVER_MS: units.Millis = 3_000;

/** Silence of this node in the log after which peers alone no longer confirm the roster. */
export const OWN_RECORD_AGE_MAX_MS: units.Millis = 540_000;

/** Upper bound of an age on the wire, which stands for never. */
export const AGE_NEVER_MS: units.Millis = 0xffff_ffff;

/** What a peer said of its roster. */
interface Statement {
  /** When the request was sent that the statement answers. */
  readonly sentMs: units.MonotonicMs;
  readonly rosterOffset: number;
}

/** Keeps confirmations; each counts from when the question was sent, not from the answer. */
export class RosterLease {
  private confirmedMs = Number.NEGATIVE_INFINITY;
  private readonly statements = new Map<string, Statement>();

  /** Notes that the folded roster held every record appended before `atMs`. */
  confirm(atMs: units.MonotonicMs): void {
    this.confirmedMs = Math.max(this.confirmedMs, atMs);
  }

  /** Notes what a peer said in answer to a question sent at `sentMs`. */
  noteStatement(
    nodeId: string,
    sentMs: units.MonotonicMs,
    rosterOffset: number,
  ): void {
    this.statements.set(nodeId, {sentMs, rosterOffset});
  }

  /** Forgets statements of nodes that are no longer members. */
  retain(isMember: (nodeId: string) => boolean): void {
    for (const nodeId of this.statements.keys()) {
      if (!isMember(nodeId)) this.statements.delete(nodeId);
    }
  }

  /** Age of the newest confirmation. */
  ageMs(nowMs: units.MonotonicMs): units.Millis {
    return nowMs - this.confirmedMs;
  }

  /** Age of the newest confirmation as datagrams carry it. */
  wireAgeMs(nowMs: units.MonotonicMs): units.Millis {
    return Math.min(Math.ceil(this.ageMs(nowMs)), AGE_NEVER_MS);
  }

  /** Whether all of `nodeIds` said within the lease that they know nothing above `offset`. */
  agreedBy(
    nodeIds: readonly string[],
    offset: number,
    nowMs: units.MonotonicMs,
  ): boolean {
    return nodeIds.every(nodeId => {
      const said = this.statements.get(nodeId);
      return (
        said !== undefined &&
        nowMs - said.sentMs <= LEASE_MS &&
        said.rosterOffset <= offset
      );
    });
  }
}
