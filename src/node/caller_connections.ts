/** Connections of callers to an HTTP server, with the responses that each of them waits for. */
import type * as http from 'node:http';
import type * as net from 'node:net';

import * as lingeringClose from './lingering_close.js';

/**
 * Requests of one connection that wait for their responses. A caller may send requests behind one
 * another; Node.js passes each on at once, writes the responses in order, and emits the events of a
 * response only once its turn has come.
 */
class CallerConnection {
  private readonly open = new Map<http.ServerResponse, () => void>();
  private newest: http.ServerResponse | undefined;
  /** Whether the connection ends with the response to the newest request. */
  isEnding = false;

  constructor(private readonly socket: net.Socket) {
    socket.once('close', () => this.endAll(() => true));
    // Node.js then writes no further response.
    socket.once('end', () => this.endAll(res => !res.headersSent));
  }

  add(res: http.ServerResponse, onEnd: () => void): void {
    this.newest = res;
    this.open.set(res, onEnd);
    res.once('close', () => this.end(res));
  }

  isNewest(res: http.ServerResponse): boolean {
    return this.newest === res;
  }

  /** The response to a request that has not been read whole, undefined without one. */
  get incomplete(): http.ServerResponse | undefined {
    const {newest} = this;
    if (newest === undefined || !this.open.has(newest)) return undefined;
    return newest.req.complete || newest.headersSent ? undefined : newest;
  }

  isOpen(res: http.ServerResponse): boolean {
    return this.open.has(res);
  }

  /** Ends the connection once all its requests are answered; false if none waits. */
  endAfterResponses(): boolean {
    this.isEnding = true;
    return this.open.size > 0;
  }

  private endAll(isEnded: (res: http.ServerResponse) => boolean): void {
    for (const res of [...this.open.keys()]) if (isEnded(res)) this.end(res);
  }

  private end(res: http.ServerResponse): void {
    const onEnd = this.open.get(res);
    if (onEnd === undefined) return;
    this.open.delete(res);
    if (this.isEnding && this.open.size === 0) {
      lingeringClose.endLingering(this.socket);
    }
    onEnd();
  }
}

/** Tracks the responses of all connections to a server. */
export class CallerConnections {
  private readonly connections = new WeakMap<net.Socket, CallerConnection>();

  /**
   * Adds a response; returns false if its request must not be handled, as its connection ends with
   * the response to an earlier one.
   *
   * @param onEnd called once: the response was written whole, or the connection has closed.
   */
  add(res: http.ServerResponse, onEnd: () => void): boolean {
    const connection = this.of(res.req.socket);
    if (connection.isEnding) return false;
    connection.add(res, onEnd);
    return true;
  }

  /** Whether the caller still waits for a response. */
  isOpen(res: http.ServerResponse): boolean {
    return this.of(res.req.socket).isOpen(res);
  }

  /**
   * Ends a connection with a response; returns false if requests that came after it wait too, since
   * the connection ends with the first response that says so.
   */
  endWith(res: http.ServerResponse): boolean {
    const connection = this.of(res.req.socket);
    if (!connection.isNewest(res)) return false;
    connection.isEnding = true;
    return true;
  }

  /** Returns the response to a request that has not been read whole, undefined without one. */
  incompleteOn(socket: net.Socket): http.ServerResponse | undefined {
    return this.of(socket).incomplete;
  }

  /** Ends a connection once all its requests are answered; returns false if none waits. */
  endAfterResponses(socket: net.Socket): boolean {
    return this.of(socket).endAfterResponses();
  }

  private of(socket: net.Socket): CallerConnection {
    const known = this.connections.get(socket);
    if (known) return known;
    const connection = new CallerConnection(socket);
    this.connections.set(socket, connection);
    return connection;
  }
}
