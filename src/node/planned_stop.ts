/** Planned stop of a node: the steps before the process may exit. */
import * as units from '../common/units.js';
import * as logger from './logger.js';

/** Time that connections are served after the last answer, so that callers can close them. */
const CLOSING_GRACE_MS: units.Millis = 300;

/** Operations that a planned stop calls and waits for. */
export interface StopSteps {
  /** Tells the cores to start leaving. */
  begin(): void;
  /** Resolves once the gate has drained and the control core has reported `left`. */
  untilLeft(): Promise<void>;
  /** Asks callers to connect elsewhere. */
  announceClosing(): void;
  /** Resolves once no caller waits for an answer. */
  untilCallersServed(): Promise<void>;
  /** Describes the requests that an immediate exit would cut off. */
  describeInFlight(): string;
}

/** Runs a planned stop once; a second request logs what would be cut off and shortens the wait. */
export class PlannedStop {
  private stopped: Promise<void> | undefined;
  private endEarly: (() => void) | undefined;

  constructor(
    private readonly steps: StopSteps,
    private readonly timeoutMs: units.Millis,
    private readonly shortenedTimeoutMs: units.Millis,
    private readonly log: logger.Logger,
  ) {}

  /** Starts the stop, or shortens a running one; resolves when the process may exit. */
  request(): Promise<void> {
    if (this.stopped === undefined) {
      this.stopped = this.run();
    } else {
      this.log.warn(`stop asked again: ${this.steps.describeInFlight()}`);
      setTimeout(() => this.endEarly?.(), this.shortenedTimeoutMs).unref();
    }
    return this.stopped;
  }

  private async run(): Promise<void> {
    this.log.info('leaving');
    const cutOff = new Promise<'cut'>(resolve => {
      this.endEarly = () => resolve('cut');
    });
    const timer = setTimeout(() => this.endEarly?.(), this.timeoutMs);
    const ended = await Promise.race([cutOff, this.runSteps()]);
    clearTimeout(timer);
    if (ended === 'cut') {
      this.log.warn(`stopped early: ${this.steps.describeInFlight()}`);
    }
  }

  private async runSteps(): Promise<'finished'> {
    this.steps.begin();
    await this.steps.untilLeft();
    this.steps.announceClosing();
    await this.steps.untilCallersServed();
    await new Promise(resolve => setTimeout(resolve, CLOSING_GRACE_MS));
    await this.steps.untilCallersServed();
    return 'finished';
  }
}
