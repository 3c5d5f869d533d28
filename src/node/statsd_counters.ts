/** Counters sent to a StatsD server and kept in memory for the operator API. */
import * as hotShots from 'hot-shots';

import * as counters from '../common/counters.js';

/** Address of the StatsD server, and the prefix of counter names. */
export interface StatsdAddress {
  readonly ip: string;
  readonly port: number;
  readonly prefix: string;
}

/** Longest packet of batched counters, in bytes; below the usual path MTU. */
const MAX_PACKET_BYTES = 1_200;

const FLUSH_INTERVAL_MS = 1_000;

/** Counters sent to StatsD; the increments of a second are summed into one line. */
export class StatsdCounters implements counters.Counters, AsyncDisposable {
  private readonly totals = new counters.MemoryCounters();
  private readonly unsent = new Map<string, number>();
  private readonly client: hotShots.StatsD;
  private readonly timer: NodeJS.Timeout;

  constructor(address: StatsdAddress, onError: (err: Error) => void) {
    this.client = new hotShots.StatsD({
      host: address.ip,
      port: address.port,
      prefix: address.prefix,
      maxBufferSize: MAX_PACKET_BYTES,
      errorHandler: onError,
    });
    this.timer = setInterval(() => this.flush(), FLUSH_INTERVAL_MS);
    this.timer.unref();
  }

  increment(name: string, by = 1): void {
    this.totals.increment(name, by);
    this.unsent.set(name, (this.unsent.get(name) ?? 0) + by);
  }

  gauge(name: string, value: number): void {
    this.totals.gauge(name, value);
    this.client.gauge(name, value);
  }

  /** Returns all counters by name. */
  snapshot(): Readonly<Record<string, number>> {
    return this.totals.snapshot();
  }

  private flush(): void {
    for (const [name, sum] of this.unsent) this.client.increment(name, sum);
    this.unsent.clear();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    clearInterval(this.timer);
    this.flush();
    await new Promise<void>(resolve => this.client.close(() => resolve()));
  }
}
