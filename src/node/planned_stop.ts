/** The planned stop of a node: what has to happen before the process may go. */
import * as units from '../common/units.js';
import * as logger from './logger.js';

/** Time that callers' connections are served after the last answer, to be closed by callers. */
const CLOSING_GRACE_MS: units.Millis = 300;

/** What the stop waits for and acts on. */
export interface StopSteps {
  /** Tells the cores to leave. */
  begin(): void;
  /** Resolves once the gate has drained and the leaving is known. */
  left(): Promise<void>;
  /** Asks callers to connect elsewhere. */
  announceClosing(): void;
  /** Resolves once no caller waits for an answer. */
  callersServed(): Promise<void>;
  /** Says what would be cut off now. */
  describeInFlight(): string;
}

/** Runs a planned stop once; asked again, it says what would be cut and waits less. */
export class PlannedStop {
  private running: Promise<void> | undefined;
  private cut: (() => void) | undefined;

  constructor(
    private readonly steps: StopSteps,
    private readonly timeoutMs: units.Millis,
    private readonly shortenedTimeoutMs: units.Millis,
    private readonly log: logger.Logger,
  ) {}

  /** Resolves when the process may go. */
  request(): Promise<void> {
    if (this.running === undefined) {
      this.running = this.run();
    } else {
      this.log.warn(`stop asked again: ${this.steps.describeInFlight()}`);
      setTimeout(() => this.cut?.(), this.shortenedTimeoutMs).unref();
    }
    return this.running;
  }

  private async run(): Promise<void> {
    this.log.info('leaving');
    const cut = new Promise<'cut'>(resolve => {
      this.cut = () => resolve('cut');
    });
    const timer = setTimeout(() => this.cut?.(), this.timeoutMs);
    const ended = await Promise.race([cut, this.finish()]);
    clearTimeout(timer);
    if (ended === 'cut') {
      this.log.warn(`stopped early: ${this.steps.describeInFlight()}`);
    }
  }

  private async finish(): Promise<'finished'> {
    this.steps.begin();
    await this.steps.left();
    this.steps.announceClosing();
    await this.steps.callersServed();
    await new Promise(resolve => setTimeout(resolve, CLOSING_GRACE_MS));
    await this.steps.callersServed();
    return 'finished';
  }
}
