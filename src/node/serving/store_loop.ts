/** Repeats a piece of work with the store until it is disposed, and backs off while it fails. */
import * as units from '../../common/units.js';
import * as abortablePause from './abortable_pause.js';

/** Part of a wait that is random, so that nodes do not come at once. */
const JITTER = 0.5;

/** What is repeated, and how. */
export interface StoreLoopOptions {
  /** Wait after a first failure; doubled after each further one. */
  readonly firstBackoffMs: units.Millis;
  readonly maxBackoffMs: units.Millis;
  /** Does the work once; waits as long as it is to be repeated after. */
  step(): Promise<void>;
  /** Called after a step that failed, before the wait. */
  onFailed(err: unknown): void;
  /** Called after a step that did not. */
  onDone(): void;
  random(): number;
}

/** Runs until it is disposed. */
export class StoreLoop implements AsyncDisposable {
  private readonly stop = new AbortController();
  private failed = 0;
  private done: Promise<void> | undefined;

  constructor(private readonly options: StoreLoopOptions) {}

  /** Raised when the loop is disposed. */
  get signal(): AbortSignal {
    return this.stop.signal;
  }

  /** Steps that have failed in a row. */
  get failures(): number {
    return this.failed;
  }

  /** Starts to work. */
  start(): void {
    this.done = this.run();
  }

  /** Resolves after a time, or at once when the loop is disposed. */
  pause(ms: units.Millis): Promise<void> {
    return abortablePause.pause(ms, this.signal);
  }

  /** Returns a wait with its random part. */
  jittered(ms: units.Millis): units.Millis {
    return ms * (1 + JITTER * this.options.random());
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.stop.abort();
    await this.done;
  }

  private async run(): Promise<void> {
    while (!this.signal.aborted) {
      try {
        await this.options.step();
        this.options.onDone();
        this.failed = 0;
      } catch (err) {
        if (this.signal.aborted) return;
        this.failed++;
        this.options.onFailed(err);
        await this.pause(this.jittered(this.backoffMs()));
      }
    }
  }

  private backoffMs(): units.Millis {
    const {firstBackoffMs, maxBackoffMs} = this.options;
    return Math.min(maxBackoffMs, firstBackoffMs * 2 ** (this.failed - 1));
  }
}
