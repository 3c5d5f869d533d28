/** Keeps the confirmation of this node's view recent by asking readers of the log. */
import * as peer from '../../generated/peer.js';
import * as logConfirmation from '../membership/log_confirmation.js';
import * as units from '../units.js';
import * as logState from './log_state.js';

/** Age of the newest confirmation at which a reader of the service is asked. */
const ASK_AGE_MS: units.Millis = 600;

/** Time between questions to readers. */
const ASK_SPACING_MS: units.Millis = 400;

/** The newest confirmation, with whom to ask for the next. */
export class ConfirmationUpkeep {
  readonly newest = new logConfirmation.LogConfirmation();
  private lastAskMs = Number.NEGATIVE_INFINITY;
  private asked = 0;

  constructor(
    private readonly self: peer.Member,
    private readonly log: logState.LogState,
  ) {}

  /** Returns the reader to probe now so that the view stays confirmed, if one is due. */
  readerToAsk(
    readers: readonly string[],
    nowMs: units.MonotonicMs,
  ): peer.Member | undefined {
    const {nodeId, incarnation} = this.self;
    const own = this.log.roster.entry(nodeId);
    const isJoined =
      own?.roster === 'joined' && own.member.incarnation === incarnation;
    if (!isJoined || this.newest.ageMs(nowMs) < ASK_AGE_MS) return undefined;
    if (nowMs - this.lastAskMs < ASK_SPACING_MS) return undefined;
    this.lastAskMs = nowMs;
    const others = readers.filter(reader => reader !== nodeId);
    if (others.length === 0) return undefined;
    const reader = others[this.asked++ % others.length];
    return this.log.roster.entry(reader)?.member;
  }
}
