/** The steps of a planned stop. */
import * as timers from 'node:timers/promises';

import * as units from '../../common/units.js';

/** Time until callers have been sent elsewhere: two readiness checks fail, a second apart. */
const CALLERS_MOVED_MS: units.Millis = 2_300;

/** Part of the allowed time after which new requests are refused, as they could not be finished. */
const REFUSE_SHARE = 0.48;

/** Part of the allowed time after which the process ends whatever is unfinished. */
const END_SHARE = 0.88;

/** Interval at which the end of the work is looked for. */
const POLL_MS: units.Millis = 50;

/** What a stop does. */
export interface NodeStopSteps {
  /** Time until the process is killed. */
  readonly stopMs: units.Millis;
  /** Refuses new work of other nodes and fails readiness checks. */
  begin(): void;
  /** Asks callers to connect elsewhere. */
  announceClosing(): void;
  /** Refuses new requests of callers. */
  refuseNew(): void;
  /** Requests that have not been answered. */
  unfinished(): number;
}

/** Carries out a planned stop. */
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
    await timers.setTimeout(CALLERS_MOVED_MS);
    this.steps.announceClosing();
    const refuseMs = REFUSE_SHARE * stopMs;
    let refuses = false;
    while (elapsedMs() < END_SHARE * stopMs) {
      if (!refuses && elapsedMs() >= refuseMs) {
        refuses = true;
        this.steps.refuseNew();
      }
      if (refuses && this.steps.unfinished() === 0) return;
      await timers.setTimeout(POLL_MS);
    }
  }
}
