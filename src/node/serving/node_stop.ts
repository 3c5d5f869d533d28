/** Sequence of a planned stop. */
import * as timers from 'node:timers/promises';

import * as stopLimit from '../../common/serving/stop_limit.js';
import * as units from '../../common/units.js';
import * as clock from '../clock.js';

/**
 * Time until callers use other nodes, but at most until they count as having noticed the stop: two
 * readiness checks, a second apart, must fail.
 */
const DRAIN_DELAY_MS: units.Millis = 2_300;

/** Share of `stopMs` by which callers have noticed the stop, and an idle process may end. */
const NOTICED_AT_SHARE = 0.48;

/** Time before the kill at which callers that still wait are answered, or its share of `stopMs`. */
const END_MARGIN_MS: units.Millis = 500;
const MAX_END_MARGIN_SHARE = 0.12;

/** Time before that at which the port is closed, in which callers read refusals. */
const CLOSE_PORT_MS: units.Millis = 300;

/** Interval of checks for unfinished requests. */
const POLL_MS: units.Millis = 50;

/** Time for passing the last responses to the operating system. */
const FLUSH_MS: units.Millis = 200;

/** The entry of a node that stops. */
export interface StoppingEntry {
  /** Number of callers whose response has not been sent. */
  readonly unanswered: number;
  /** Closes connections of callers after their next response. */
  announceClosing(): void;
  /** Handles only requests from now on that are likely to be answered before the process ends. */
  stopAt(end: stopLimit.ProcessEnd): void;
  /** Accepts no more connections and refuses requests that are not read yet. */
  closePort(): void;
  /** Answers all callers that still wait. */
  giveUpAll(): void;
}

/** The gate of a node that stops. */
export interface StoppingGate {
  /** Number of requests without a reply that its entry has or no longer awaits. */
  readonly unfinished: number;
  /** Ends links to entries that may have unread answers and returns their number. */
  endUnconfirmedLinks(): number;
}

/** Settings and parts of a stop. */
export interface NodeStopOptions {
  /** Time from the start of the stop until the process is killed. */
  readonly stopMs: units.Millis;
  readonly entry: StoppingEntry;
  readonly gate: StoppingGate;
  /** Refuses new requests from other nodes and fails readiness checks. */
  begin(): void;
}

/** Runs a planned stop from its creation on. */
export class NodeStop {
  /** Resolves when the process may end. */
  readonly finished: Promise<void>;

  constructor(private readonly options: NodeStopOptions) {
    this.finished = this.run();
  }

  private async run(): Promise<void> {
    const {stopMs, entry, gate} = this.options;
    const startedMs = clock.monotonicMs();
    const marginMs = Math.min(END_MARGIN_MS, MAX_END_MARGIN_SHARE * stopMs);
    const endsMs = startedMs + stopMs - marginMs;
    this.options.begin();
    const noticedMs = startedMs + NOTICED_AT_SHARE * stopMs;
    entry.stopAt({endsMs, noticedMs});
    await timers.setTimeout(Math.min(DRAIN_DELAY_MS, noticedMs - startedMs));
    entry.announceClosing();
    let isPortClosed = false;
    while (clock.monotonicMs() < endsMs) {
      const now = clock.monotonicMs();
      const isIdle = entry.unanswered + gate.unfinished === 0;
      if (
        !isPortClosed &&
        (now >= endsMs - CLOSE_PORT_MS || (now >= noticedMs && isIdle))
      ) {
        isPortClosed = true;
        entry.closePort();
      } else if (isPortClosed && isIdle) {
        if (gate.endUnconfirmedLinks() === 0) return;
      }
      await timers.setTimeout(POLL_MS);
    }
    await this.answerRest();
  }

  /** Answers the callers that still wait, with what has arrived or with a failure. */
  private async answerRest(): Promise<void> {
    const {entry} = this.options;
    // After a pause of this process, answers may have arrived that are not read yet.
    for (let polls = 0; polls < 2; polls++) await timers.setImmediate();
    entry.giveUpAll();
    const endMs = clock.monotonicMs() + FLUSH_MS;
    while (entry.unanswered > 0 && clock.monotonicMs() < endMs) {
      await timers.setTimeout(1);
    }
  }
}
