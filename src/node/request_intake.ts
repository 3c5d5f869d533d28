/** Holds requests until the end of their connections would have been read. */
import * as units from '../common/units.js';

/** Polls of all sockets until the end of a connection is read that followed a request. */
const CLOSE_POLLS = 2;

/** Time in which requests are handled before the sockets are polled again. */
const MAX_TURN_MS: units.Millis = 1;

/** Dependencies of `RequestIntake`. */
export interface RequestIntakeOptions<T> {
  nowMs(): units.MonotonicMs;
  /** Calls back once after the event loop has polled all sockets. */
  afterPoll(callback: () => void): void;
  /** Handles a request, unless its caller has left. */
  handle(request: T): void;
}

/**
 * Passes on requests in their order, each after a poll that has read whether its caller has left.
 * Node.js accepts one connection in each turn of the event loop, so callers may have waited long
 * and have left although all turns were short. Turns are kept short for the same reason.
 */
export class RequestIntake<T> {
  private readonly items: Array<{
    readonly request: T;
    readonly readPoll: number;
  }> = [];
  private polls = 0;
  private isScheduled = false;

  constructor(private readonly options: RequestIntakeOptions<T>) {}

  /** Adds a request that has just been read. */
  add(request: T): void {
    this.items.push({request, readPoll: this.polls});
    this.schedule();
  }

  private schedule(): void {
    if (this.isScheduled) return;
    this.isScheduled = true;
    this.options.afterPoll(() => {
      this.isScheduled = false;
      this.polls++;
      this.handleDue();
      if (this.items.length > 0) this.schedule();
    });
  }

  private handleDue(): void {
    const {nowMs, handle} = this.options;
    const endMs = nowMs() + MAX_TURN_MS;
    do {
      const [next] = this.items;
      if (next === undefined) return;
      if (this.polls - next.readPoll < CLOSE_POLLS) return;
      this.items.shift();
      handle(next.request);
    } while (nowMs() < endMs);
  }
}
