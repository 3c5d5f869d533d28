/** Connections of callers to an HTTP server, with the responses that each of them waits for. */
import type * as http from 'node:http';
import type * as net from 'node:net';

import type * as callerMemory from './caller_memory.js';

/** Why a connection was reset. */
export type ResetReason = 'caller memory used up';

/** Counters of the connections that were reset, by reason. */
export const RESET_COUNTERS = {
  'caller memory used up': 'callers.reset-memory',
} as const satisfies Readonly<Record<ResetReason, string>>;

/** Dependencies of `CallerConnections`. */
export interface CallerConnectionsOptions {
  /** Memory that all connections share. */
  readonly memory: callerMemory.CallerMemory;
  /** A connection was reset; its requests end when it has closed. */
  onReset(reason: ResetReason): void;
}

/** A request without a response that was passed to the operating system whole. */
interface OpenRequest {
  readonly onEnd: () => void;
  readonly heldBytes: number;
}

/**
 * Requests of one connection that wait for their responses. A caller may send requests behind one
 * another; Node.js passes each on at once, writes the responses in order, and emits the events of a
 * response only once its turn has come.
 */
class CallerConnection {
  private readonly open = new Map<http.ServerResponse, OpenRequest>();
  private readonly allocation: callerMemory.CallerAllocation;
  private newest: http.ServerResponse | undefined;
  /** Whether the connection ends with the response to the newest request. */
  isEnding = false;

  constructor(
    private readonly socket: net.Socket,
    private readonly options: CallerConnectionsOptions,
  ) {
    this.allocation = options.memory.allocate(() =>
      this.reset('caller memory used up'),
    );
    socket.once('close', () => {
      this.endAll(() => true);
      this.allocation[Symbol.dispose]();
    });
    // Node.js then writes no further response.
    socket.once('end', () => this.endAll(res => !res.headersSent));
  }

  add(res: http.ServerResponse, onEnd: () => void): void {
    this.newest = res;
    this.open.set(res, {onEnd, heldBytes: 0});
    res.once('close', () => this.end(res));
  }

  hold(res: http.ServerResponse, bytes: number): void {
    const request = this.open.get(res);
    if (request === undefined) return;
    this.open.set(res, {...request, heldBytes: request.heldBytes + bytes});
    this.allocation.add(bytes);
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

  /** A reset also frees what the operating system holds for the caller. */
  private reset(reason: ResetReason): void {
    this.options.onReset(reason);
    this.socket.resetAndDestroy();
  }

  private endAll(isEnded: (res: http.ServerResponse) => boolean): void {
    for (const res of [...this.open.keys()]) if (isEnded(res)) this.end(res);
  }

  private end(res: http.ServerResponse): void {
    const request = this.open.get(res);
    if (request === undefined) return;
    this.open.delete(res);
    this.allocation.remove(request.heldBytes);
    if (this.isEnding && this.open.size === 0) this.socket.end();
    request.onEnd();
  }
}

/** Tracks the responses of all connections to a server. */
export class CallerConnections {
  private readonly connections = new WeakMap<net.Socket, CallerConnection>();

  constructor(private readonly options: CallerConnectionsOptions) {}

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

  /**
   * Counts bytes that a response holds until it has been written whole. Connections are reset, the
   * one that holds most first, when all together hold too much.
   */
  hold(res: http.ServerResponse, bytes: number): void {
    this.of(res.req.socket).hold(res, bytes);
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
    const connection = new CallerConnection(socket, this.options);
    this.connections.set(socket, connection);
    return connection;
  }
}
