/** Connections of an HTTP server, and which of them wait for a request. */
import type * as http from 'node:http';
import type * as net from 'node:net';

/** Time from a connection's opening, or from its last response, to its next request. */
export interface IdlePeriod {
  readonly socket: net.Socket;
  /** Bytes that were read on the connection before. */
  readonly startBytes: number;
}

/** The events of an HTTP server that tell when a connection is idle. */
export interface ConnectionEvents {
  on(event: 'connection', listener: (socket: net.Socket) => void): unknown;
  on(
    event: 'request',
    listener: (
      req: Pick<http.IncomingMessage, 'socket'>,
      res: Pick<http.ServerResponse, 'once'>,
    ) => void,
  ): unknown;
}

/** Tracks the connections of an HTTP server; iterates over those without a request under way. */
export class IdleConnections implements Iterable<IdlePeriod> {
  /** In the order in which the connections became idle. */
  private readonly idle = new Map<net.Socket, IdlePeriod>();
  /** Number of requests that wait for their response. */
  private readonly busy = new Map<net.Socket, number>();

  constructor(server: ConnectionEvents) {
    server.on('connection', socket => {
      this.idle.set(socket, {socket, startBytes: 0});
      socket.once('close', () => this.delete(socket));
    });
    server.on('request', ({socket}, res) => {
      this.onRequest(socket);
      res.once('close', () => this.onResponded(socket));
    });
  }

  /** Number of all connections. */
  get connectionCount(): number {
    return this.idle.size + this.busy.size;
  }

  /** Whether a connection has had no request since the start of a period. */
  has(period: IdlePeriod): boolean {
    return this.idle.get(period.socket) === period;
  }

  /** Closes the connection that has been idle for longest; returns false if none is idle. */
  closeLongest(): boolean {
    for (const {socket} of this) {
      this.delete(socket);
      socket.destroy();
      return true;
    }
    return false;
  }

  /** Idle connections, the one that has been idle for longest first. */
  [Symbol.iterator](): Iterator<IdlePeriod> {
    return this.idle.values();
  }

  private onRequest(socket: net.Socket): void {
    const waiting = this.busy.get(socket);
    if (waiting === undefined && !this.idle.delete(socket)) return;
    this.busy.set(socket, (waiting ?? 0) + 1);
  }

  private onResponded(socket: net.Socket): void {
    const waiting = this.busy.get(socket);
    if (waiting === undefined) return;
    if (waiting > 1) {
      this.busy.set(socket, waiting - 1);
      return;
    }
    this.busy.delete(socket);
    this.idle.set(socket, {socket, startBytes: socket.bytesRead});
  }

  private delete(socket: net.Socket): void {
    this.idle.delete(socket);
    this.busy.delete(socket);
  }
}
