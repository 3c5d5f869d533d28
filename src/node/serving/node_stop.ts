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

/** Settings and steps of a stop, in their order. */
export interface NodeStopSteps {
  /** Time from the start of the stop until the process is killed. */
  readonly stopMs: units.Millis;
  /** Refuses new requests from other nodes and fails readiness checks. */
  begin(): void;
  /** Closes connections of callers after their next response. */
  announceClosing(): void;
  /** Refuses new requests from callers. */
  refuseNew(): void;
  /** Returns the number of requests without an answer, or whose answer is known to be lost. */
  unfinished(): number;
  /** Ends links to entries that may have unread answers and returns their number. */
  endUnconfirmedLinks(): number;
}

/** Runs a planned stop from its creation on. */
export class NodeStop {
  /** Resolves when the process may end. */
  readonly finished: Promise<void>;

  constructor(private readonly steps: NodeStopSteps) {
    this.finished = this.run();
  }

  private async run(): Promise<void> {
    const {stopMs} = this.steps;
    const startedMs = performance.now();
    const elapsedMs = (): units.Millis => performance.now() - startedMs;
    this.steps.begin();
    await timers.setTimeout(DRAIN_DELAY_MS);
    this.steps.announceClosing();
    const refuseMs = REFUSE_AT_SHARE * stopMs;
    let refusing = false;
    while (elapsedMs() < END_AT_SHARE * stopMs) {
      if (!refusing && elapsedMs() >= refuseMs) {
        refusing = true;
        this.steps.refuseNew();
      }
      if (refusing && this.steps.unfinished() === 0) {
        if (this.steps.endUnconfirmedLinks() === 0) return;
      }
      await timers.setTimeout(POLL_MS);
    }
  }
}
