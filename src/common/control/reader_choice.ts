/** Which nodes read the log: a few of each data centre and service, and those cut off from them. */
import * as peer from '../../generated/peer.js';
import * as livenessTable from '../membership/liveness_table.js';
import * as rendezvous from '../membership/rendezvous.js';
import * as units from '../units.js';
import * as control from './control_contract.js';
import * as logState from './log_state.js';

/** Readers of each data centre and of each service. */
export const READERS = 2;

/** Age of the newest confirmation at which a member reads the log itself. */
const MEMBER_FALLBACK_MS: units.Millis = 1_600;

/** Age at which any other node does. */
const FALLBACK_MS: units.Millis = 5_000;

/** Time for which the log may hold a reader's read that finds nothing. */
const READ_WAIT_MS: units.Millis = 500;

/** Shortest time between two choices of readers. */
const CHOICE_SPACING_MS: units.Millis = 500;

/** Chooses the readers, alike on nodes that agree on who is alive. */
export class ReaderChoice {
  private chosenMs = Number.NEGATIVE_INFINITY;
  /** Sum of the counts of changes that the choice rests on. */
  private chosenBasis = -1;
  private chosen = true;
  private serviceReaders: readonly string[] = [];

  constructor(
    private readonly self: peer.Member,
    private readonly log: logState.LogState,
    private readonly liveness: livenessTable.LivenessTable,
  ) {}

  /** Returns how long the log may hold this node's read, undefined if it is not to read now. */
  readWaitMs(
    confirmedAgeMs: units.Millis,
    nowMs: units.MonotonicMs,
  ): units.Millis | undefined {
    this.choose(nowMs);
    if (this.chosen) return READ_WAIT_MS;
    if (!this.log.complete || this.log.nextOffset === 0) return READ_WAIT_MS;
    const joined = this.log.roster.entry(this.self.nodeId)?.roster === 'joined';
    const boundMs = joined ? MEMBER_FALLBACK_MS : FALLBACK_MS;
    return confirmedAgeMs > boundMs ? 0 : undefined;
  }

  /** Node ids of the readers of this node's service. */
  readersOfService(nowMs: units.MonotonicMs): readonly string[] {
    this.choose(nowMs);
    return this.serviceReaders;
  }

  private choose(nowMs: units.MonotonicMs): void {
    if (nowMs - this.chosenMs < CHOICE_SPACING_MS) return;
    const {roster} = this.log;
    const basis = roster.memberChanges + this.liveness.version;
    if (basis === this.chosenBasis) return;
    this.chosenMs = nowMs;
    this.chosenBasis = basis;
    this.serviceReaders = this.firstOf(
      this.self.service,
      roster.entriesOf(this.self.service),
    );
    const near = roster
      .all()
      .filter(e => e.member.dataCentre === this.self.dataCentre);
    const dataCentreReaders = this.firstOf(this.self.dataCentre, near);
    this.chosen =
      this.serviceReaders.includes(this.self.nodeId) ||
      dataCentreReaders.includes(this.self.nodeId) ||
      !this.hasPeers();
  }

  private firstOf(
    key: string,
    entries: readonly control.RosterEntryState[],
  ): readonly string[] {
    const ids = entries
      .filter(e => e.roster === 'joined')
      .map(e => e.member.nodeId)
      .filter(id => !this.isDead(id));
    return rendezvous.rank(key, ids).slice(0, READERS);
  }

  private isDead(nodeId: string): boolean {
    return this.liveness.stateOf(nodeId) === peer.LivenessState.DEAD;
  }

  private hasPeers(): boolean {
    return this.log.roster
      .all()
      .some(
        e =>
          e.member.nodeId !== this.self.nodeId && !this.isDead(e.member.nodeId),
      );
  }
}
