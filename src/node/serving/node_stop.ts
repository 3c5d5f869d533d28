/** Sequence of a planned stop. */
import * as timers from 'node:timers/promises';

import * as units from '../../common/units.js';

/** Time until callers use other nodes: two readiness checks, a second apart, must fail. */
const DRAIN_DELAY_MS: units.Millis = 2_300;

/** Share of `stopMs` after which new requests are refused, as they might not finish in time. */
const REFUSE_AT_SHARE = 0.48;

/** Share of `stopMs` after which the process ends even with unfinished requests. */
const END_AT_SHARE = 0.88;

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
  /** Refuses new requests from callers. */
  refuseNew(): void;
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
    const startedMs = performance.now();
    const elapsedMs = (): units.Millis => performance.now() - startedMs;
    this.options.begin();
    await timers.setTimeout(DRAIN_DELAY_MS);
    entry.announceClosing();
    const refuseMs = REFUSE_AT_SHARE * stopMs;
    let refusing = false;
    while (elapsedMs() < END_AT_SHARE * stopMs) {
      if (!refusing && elapsedMs() >= refuseMs) {
        refusing = true;
        entry.refuseNew();
      }
      const unfinished = entry.unanswered + gate.unfinished;
      if (refusing && unfinished === 0) {
        if (gate.endUnconfirmedLinks() === 0) return;
      }
      await timers.setTimeout(POLL_MS);
    }
    await this.answerRest(elapsedMs);
  }

  /** Answers the callers that still wait, with what has arrived or with a failure. */
  private async answerRest(elapsedMs: () => units.Millis): Promise<void> {
    const {entry} = this.options;
    // After a pause of this process, answers may have arrived that are not read yet.
    for (let polls = 0; polls < 2; polls++) await timers.setImmediate();
    entry.giveUpAll();
    const endMs = elapsedMs() + FLUSH_MS;
    while (entry.unanswered > 0 && elapsedMs() < endMs) {
      await timers.setTimeout(1);
    }
  }
}
