/** Repeats a store operation until it is disposed, with backoff after failures. */
import * as units from '../../common/units.js';
import * as abortablePause from '../abortable_pause.js';
import * as clock from '../clock.js';

/** Largest random part added to a wait, so that nodes do not call the store simultaneously. */
export const JITTER_SHARE = 0.5;

/** Settings and callbacks of `StoreLoop`. */
export interface StoreLoopOptions {
  /** Backoff after the first failure; doubled after each further one. */
  readonly firstBackoffMs: units.Millis;
  readonly maxBackoffMs: units.Millis;
  /** Longest time between the starts of two runs of which the first fails; unlimited by default. */
  readonly maxRetryPeriodMs?: units.Millis;
  /** Runs the operation once, including any wait before the next run. */
  step(): Promise<void>;
  /** Called after a failed step, before the backoff. */
  onFailed(err: unknown): void;
  /** Called after a successful step. */
  onSucceeded(): void;
  random(): number;
}

/** Runs `step` repeatedly until it is disposed. */
export class StoreLoop implements AsyncDisposable {
  private readonly abortController = new AbortController();
  private failureCount = 0;
  private finished: Promise<void> | undefined;

  constructor(private readonly options: StoreLoopOptions) {}

  /** Aborted when the loop is disposed. */
  get signal(): AbortSignal {
    return this.abortController.signal;
  }

  /** Number of consecutive failures; reset after `onSucceeded`. */
  get failures(): number {
    return this.failureCount;
  }

  /** Starts the loop. */
  start(): void {
    this.finished = this.run();
  }

  /** Resolves after `ms`, or at once when the loop is disposed. */
  pause(ms: units.Millis): Promise<void> {
    return abortablePause.pause(ms, this.signal);
  }

  /** Returns `ms` with up to half of it added at random. */
  jittered(ms: units.Millis): units.Millis {
    return ms * (1 + JITTER_SHARE * this.options.random());
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.abortController.abort();
    await this.finished;
  }

  private async run(): Promise<void> {
    while (!this.signal.aborted) {
      const startedMs = clock.monotonicMs();
      try {
        await this.options.step();
        this.options.onSucceeded();
        this.failureCount = 0;
      } catch (err) {
        if (this.signal.aborted) return;
        this.failureCount++;
        this.options.onFailed(err);
        const elapsedMs = clock.monotonicMs() - startedMs;
        await this.pause(this.retryPauseMs(elapsedMs));
      }
    }
  }

  /** Returns the pause after a failed step that took `elapsedMs`. */
  private retryPauseMs(elapsedMs: units.Millis): units.Millis {
    const {firstBackoffMs, maxRetryPeriodMs = Infinity} = this.options;
    const leftMs = maxRetryPeriodMs - elapsedMs;
    const maxMs = Math.max(this.jittered(firstBackoffMs), leftMs);
    return Math.min(this.jittered(this.backoffMs()), maxMs);
  }

  private backoffMs(): units.Millis {
    const {firstBackoffMs, maxBackoffMs} = this.options;
    return Math.min(
      maxBackoffMs,
      firstBackoffMs * 2 ** (this.failureCount - 1),
    );
  }
}
