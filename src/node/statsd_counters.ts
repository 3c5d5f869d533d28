/** Counters sent to a StatsD server and kept in memory for the operator API. */
import * as hotShots from 'hot-shots';

import * as counters from '../common/counters.js';

/** Where counters are sent. */
export interface StatsdAddress {
  readonly ip: string;
  readonly port: number;
  readonly prefix: string;
}

/** Longest packet of batched counters, in bytes; below the usual path MTU. */
const MAX_PACKET_BYTES = 1_200;

const FLUSH_INTERVAL_MS = 1_000;

/** Counters on StatsD; sums of a second are sent as one line. */
export class StatsdCounters implements counters.Counters, AsyncDisposable {
  private readonly kept = new counters.MemoryCounters();
  private readonly pending = new Map<string, number>();
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
    this.kept.increment(name, by);
    this.pending.set(name, (this.pending.get(name) ?? 0) + by);
  }

  gauge(name: string, value: number): void {
    this.kept.gauge(name, value);
    this.client.gauge(name, value);
  }

  /** Returns all counters by name. */
  snapshot(): Readonly<Record<string, number>> {
    return this.kept.snapshot();
  }

  private flush(): void {
    for (const [name, sum] of this.pending) this.client.increment(name, sum);
    this.pending.clear();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    clearInterval(this.timer);
    this.flush();
    await new Promise<void>(resolve => this.client.close(() => resolve()));
  }
}
