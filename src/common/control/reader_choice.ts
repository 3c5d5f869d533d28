/** Which nodes read the log: a few of each data centre and service, and those cut off from them. */
import * as peer from '../../generated/peer.js';
import * as rendezvous from '../membership/rendezvous.js';
import * as units from '../units.js';
import * as control from './control_contract.js';
import * as logState from './log_state.js';

/** Readers of each data centre and of each service. */
export const READERS = 2;

/** Age of the newest confirmation at which a member reads the log itself to keep its lease. */
const MEMBER_FALLBACK_MS: units.Millis = 1_200;

/** Age at which any other node does. */
const FALLBACK_MS: units.Millis = 5_000;

/** Time for which a choice of readers holds. */
const CHOICE_MS: units.Millis = 500;

/** Chooses the readers, alike on nodes that agree on who is alive. */
export class ReaderChoice {
  private chosenMs = Number.NEGATIVE_INFINITY;
  private chosen = true;
  private serviceReaders: readonly string[] = [];

  constructor(
    private readonly self: peer.Member,
    private readonly log: logState.LogState,
    private readonly isDead: (nodeId: string) => boolean,
  ) {}

  /** Whether this node is to read the log now. */
  shouldRead(confirmedAgeMs: units.Millis, nowMs: units.MonotonicMs): boolean {
    if (!this.log.complete || this.log.nextOffset === 0) return true;
    this.choose(nowMs);
    if (this.chosen) return true;
    const joined = this.log.roster.entry(this.self.nodeId)?.roster === 'joined';
    return confirmedAgeMs > (joined ? MEMBER_FALLBACK_MS : FALLBACK_MS);
  }

  /** Node ids of the readers of this node's service. */
  readersOfService(nowMs: units.MonotonicMs): readonly string[] {
    this.choose(nowMs);
    return this.serviceReaders;
  }

  private choose(nowMs: units.MonotonicMs): void {
    if (nowMs - this.chosenMs < CHOICE_MS) return;
    this.chosenMs = nowMs;
    const {roster} = this.log;
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

  private hasPeers(): boolean {
    return this.log.roster
      .all()
      .some(
        e =>
          e.member.nodeId !== this.self.nodeId && !this.isDead(e.member.nodeId),
      );
  }
}
