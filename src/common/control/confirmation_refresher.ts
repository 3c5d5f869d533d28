/** Keeps the confirmation of this node's view recent by probing log readers. */
import * as peer from '../../generated/peer.js';
import * as logConfirmation from '../membership/log_confirmation.js';
import * as units from '../units.js';
import * as logState from './log_state.js';

/** Age of the newest confirmation from which a reader of the service is probed. */
const PROBE_AGE_MS: units.Millis = 600;

/** Minimum time between probes of readers. */
const PROBE_SPACING_MS: units.Millis = 400;

/** Tracks the newest confirmation and selects the reader to probe for the next one. */
export class ConfirmationRefresher {
  readonly newest = new logConfirmation.LogConfirmation();
  private lastProbeMs = Number.NEGATIVE_INFINITY;
  private probesSent = 0;

  constructor(
    private readonly self: peer.Member,
    private readonly log: logState.LogState,
  ) {}

  /** Returns the reader to probe now, if a probe is due. Readers are probed in turn. */
  readerToProbe(
    readers: readonly string[],
    nowMs: units.MonotonicMs,
  ): peer.Member | undefined {
    const {nodeId, incarnation} = this.self;
    const own = this.log.roster.entry(nodeId);
    const isJoined =
      own?.roster === 'joined' && own.member.incarnation === incarnation;
    if (!isJoined || this.newest.ageMs(nowMs) < PROBE_AGE_MS) return undefined;
    if (nowMs - this.lastProbeMs < PROBE_SPACING_MS) return undefined;
    this.lastProbeMs = nowMs;
    const others = readers.filter(reader => reader !== nodeId);
    if (others.length === 0) return undefined;
    const reader = others[this.probesSent++ % others.length];
    return this.log.roster.entry(reader)?.member;
  }
}
