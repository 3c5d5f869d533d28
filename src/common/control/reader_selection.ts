/** Selects the nodes that read the log: a few per data centre and service, plus isolated nodes. */
import * as peer from '../../generated/peer.js';
import * as livenessTable from '../membership/liveness_table.js';
import * as rendezvous from '../membership/rendezvous.js';
import * as units from '../units.js';
import * as controlContract from './control_contract.js';
import * as logState from './log_state.js';

/** Number of readers per data centre and per service. */
export const READERS_PER_GROUP = 2;

/** Age of the newest confirmation from which a joined member reads the log itself. */
const MEMBER_FALLBACK_MS: units.Millis = 1_600;

/** The same for nodes that have not joined. */
const FALLBACK_MS: units.Millis = 5_000;

/** Long-poll timeout of a reader's read. */
const READ_WAIT_MS: units.Millis = 500;

/** Minimum time between two selections. */
const SELECTION_SPACING_MS: units.Millis = 500;

/** Selects the readers; nodes that agree on the live members select the same ones. */
export class ReaderSelection {
  private selectedMs = Number.NEGATIVE_INFINITY;
  /** Sum of the roster and liveness versions used for the current selection. */
  private selectedVersion = -1;
  private isReader = true;
  private serviceReaders: readonly string[] = [];

  constructor(
    private readonly self: peer.Member,
    private readonly log: logState.LogState,
    private readonly liveness: livenessTable.LivenessTable,
  ) {}

  /** Returns the long-poll timeout of this node's read, undefined if it should not read now. */
  readWaitMs(
    confirmedAgeMs: units.Millis,
    nowMs: units.MonotonicMs,
  ): units.Millis | undefined {
    this.updateSelection(nowMs);
    if (this.isReader) return READ_WAIT_MS;
    if (!this.log.complete || this.log.nextOffset === 0) return READ_WAIT_MS;
    const joined = this.log.roster.entry(this.self.nodeId)?.roster === 'joined';
    const boundMs = joined ? MEMBER_FALLBACK_MS : FALLBACK_MS;
    return confirmedAgeMs > boundMs ? 0 : undefined;
  }

  /** Returns the node ids of the readers of this node's service. */
  readersOfService(nowMs: units.MonotonicMs): readonly string[] {
    this.updateSelection(nowMs);
    return this.serviceReaders;
  }

  private updateSelection(nowMs: units.MonotonicMs): void {
    if (nowMs - this.selectedMs < SELECTION_SPACING_MS) return;
    const {roster} = this.log;
    const version = roster.memberChanges + this.liveness.version;
    if (version === this.selectedVersion) return;
    this.selectedMs = nowMs;
    this.selectedVersion = version;
    this.serviceReaders = this.topRanked(
      this.self.service,
      roster.entriesOf(this.self.service),
    );
    const near = roster
      .all()
      .filter(e => e.member.dataCentre === this.self.dataCentre);
    const dataCentreReaders = this.topRanked(this.self.dataCentre, near);
    this.isReader =
      this.serviceReaders.includes(this.self.nodeId) ||
      dataCentreReaders.includes(this.self.nodeId) ||
      !this.hasPeers();
  }

  private topRanked(
    key: string,
    entries: readonly controlContract.RosterEntryState[],
  ): readonly string[] {
    const ids = entries
      .filter(e => e.roster === 'joined')
      .map(e => e.member.nodeId)
      .filter(id => !this.isDead(id));
    return rendezvous.rank(key, ids).slice(0, READERS_PER_GROUP);
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
