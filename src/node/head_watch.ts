/** Finds connections that send bytes but no request. */
import type * as http from 'node:http';
import type * as net from 'node:net';

import * as clock from './clock.js';
import * as units from '../common/units.js';
import * as idleConnections from './idle_connections.js';

/** Interval of looks at idle connections. */
const CHECK_INTERVAL_MS: units.Millis = 500;

/** Longest head that a server lets the parser of Node.js read, in bytes. */
export const MAX_PARSED_HEADER_BYTES = 64 * 1024;

/** Bytes before a request: its head, and as many again that the parser does not count. */
const MAX_BYTES_BEFORE_REQUEST = 2 * MAX_PARSED_HEADER_BYTES;

/** Empty lines of two bytes each that a client may send behind a body. */
const IGNORED_BYTES = 4;

/** Settings and dependencies of `HeadWatch`. */
export interface HeadWatchOptions {
  readonly idle: Pick<idleConnections.IdleConnections, 'has'> &
    Iterable<idleConnections.IdlePeriod>;
  /** Returns the time within which the head of a request must be complete. */
  headTimeoutMs(): units.Millis;
  nowMs(): units.MonotonicMs;
  /** Calls back after the next poll of the sockets. */
  afterPoll(callback: () => void): void;
  /** A connection has sent too many bytes, or bytes for too long, without a request. */
  onOverdue(period: idleConnections.IdlePeriod): void;
}

/**
 * Limits the bytes and the time before a request, whatever they are: the parser of Node.js counts
 * neither empty lines nor the time for them.
 */
export class HeadWatch {
  /** Times at which the first bytes were noticed. */
  private readonly begun = new WeakMap<
    idleConnections.IdlePeriod,
    units.MonotonicMs
  >();

  constructor(private readonly options: HeadWatchOptions) {}

  /** Looks at all idle connections. */
  check(): void {
    const {idle, afterPoll, onOverdue} = this.options;
    const overdue = [...idle].filter(period => this.isOverdue(period));
    if (overdue.length === 0) return;
    // After a pause of the process the rest of a head may wait to be read.
    afterPoll(() => {
      for (const period of overdue) if (idle.has(period)) onOverdue(period);
    });
  }

  private isOverdue(period: idleConnections.IdlePeriod): boolean {
    const {headTimeoutMs, nowMs} = this.options;
    const bytes = period.socket.bytesRead - period.startBytes;
    if (bytes <= IGNORED_BYTES) return false;
    const now = nowMs();
    const begunMs = this.begun.get(period) ?? now;
    this.begun.set(period, begunMs);
    const isLate = now - begunMs >= headTimeoutMs();
    return isLate || bytes > MAX_BYTES_BEFORE_REQUEST;
  }
}

/** Watches the connections of a server until it has closed. */
export function watchHeads(
  server: http.Server,
  idle: idleConnections.IdleConnections,
  headTimeoutMs: () => units.Millis,
  onOverdue: (socket: net.Socket) => void,
): void {
  const watch = new HeadWatch({
    idle,
    headTimeoutMs,
    nowMs: clock.monotonicMs,
    afterPoll: callback => void setImmediate(callback),
    onOverdue: ({socket}) => onOverdue(socket),
  });
  const timer = setInterval(() => watch.check(), CHECK_INTERVAL_MS).unref();
  server.once('close', () => clearInterval(timer));
}
