/** Connections of callers to an HTTP server, with the responses that each of them waits for. */
import type * as http from 'node:http';
import type * as net from 'node:net';

import type * as units from '../common/units.js';
import type * as callerMemory from './caller_memory.js';
import * as lingeringClose from './lingering_close.js';

/** Open requests from which on a connection is not read until one of them is answered. */
const MAX_OPEN_REQUESTS = 256;

/** Memory of an open request besides its head and bodies, in all parts that handle it. */
const OPEN_REQUEST_BYTES = 4 * 1024;

/** Longest time for which a caller may take nothing of an answer; callers wait no longer. */
const MAX_UNTAKEN_MS: units.Millis = 60_000;

/** Why a connection was reset. */
export type ResetReason = 'caller memory used up' | 'answer not taken';

/** Counters of the connections that were reset, by reason. */
export const RESET_COUNTERS = {
  'caller memory used up': 'callers.reset-memory',
  'answer not taken': 'callers.reset-untaken',
} as const satisfies Readonly<Record<ResetReason, string>>;

/** Dependencies of `CallerConnections`. */
export interface CallerConnectionsOptions {
  /** Memory that all connections share. */
  readonly memory: callerMemory.CallerMemory;
  /** A connection was reset; its requests end when it has closed. */
  onReset(reason: ResetReason): void;
  /** A connection is not read for the first time, as too many of its requests are open. */
  onPaused(): void;
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
  /** Requests that came after the one with whose response the connection ends. */
  private ignored = 0;
  private hasPaused = false;
  /** Whether nothing is read, as too many requests are open. */
  isPaused = false;
  /** Whether the connection ends with the response to the newest request. */
  isEnding = false;

  constructor(
    private readonly socket: net.Socket,
    private readonly options: CallerConnectionsOptions,
  ) {
    this.allocation = options.memory.allocate(
      () => this.reset('caller memory used up'),
      'answers',
    );
    // Its 'close' event may have been emitted.
    if (socket.destroyed) this.allocation[Symbol.dispose]();
    socket.once('close', () => {
      this.endAll(() => true);
      this.allocation[Symbol.dispose]();
    });
    // Node.js resumes a socket after each request and response.
    socket.on('resume', () => {
      if (this.isPaused) socket.pause();
    });
    // Node.js then writes no further response.
    socket.once('end', () => this.endAll(res => !res.headersSent));
  }

  add(res: http.ServerResponse, onEnd: () => void): void {
    this.newest = res;
    const heldBytes = OPEN_REQUEST_BYTES + headBytes(res.req);
    this.open.set(res, {onEnd, heldBytes});
    res.once('close', () => this.end(res));
    this.allocation.add(heldBytes);
    this.pauseIfFull();
  }

  hold(res: http.ServerResponse, bytes: number): void {
    const request = this.open.get(res);
    if (request === undefined) return;
    this.open.set(res, {...request, heldBytes: request.heldBytes + bytes});
    this.allocation.add(bytes);
  }

  /** Counts a request that is not handled, as the connection is ending. */
  ignore(): void {
    this.ignored++;
    this.allocation.add(OPEN_REQUEST_BYTES);
    this.pauseIfFull();
    if (this.open.size === 0) this.endSocket();
  }

  /** Handles that nothing was read or written for `idleMs`. */
  onIdle(idleMs: units.Millis): void {
    const [oldest] = this.open.keys();
    if (oldest === undefined) this.socket.destroy();
    else if (oldest.headersSent) this.reset('answer not taken');
    // The answer is still to come.
    else this.socket.setTimeout(idleMs);
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

  /**
   * Reads nothing while too many requests are open. Those that have been read before, up to 64 KiB
   * of them, are handled all the same; they count in the memory.
   */
  private pauseIfFull(): void {
    const isFull = this.open.size + this.ignored >= MAX_OPEN_REQUESTS;
    if (isFull === this.isPaused) return;
    this.isPaused = isFull;
    if (isFull) this.pause();
    else this.socket.resume();
  }

  private pause(): void {
    this.socket.pause();
    if (!this.hasPaused) this.options.onPaused();
    this.hasPaused = true;
  }

  /** A reset also frees what the operating system holds for the caller. */
  private reset(reason: ResetReason): void {
    this.isEnding = true;
    this.options.onReset(reason);
    this.socket.resetAndDestroy();
  }

  /** A paused socket would not notice that its caller closes it too. */
  private endSocket(): void {
    if (this.isPaused) this.socket.destroySoon();
    else lingeringClose.endLingering(this.socket);
  }

  private endAll(isEnded: (res: http.ServerResponse) => boolean): void {
    for (const res of [...this.open.keys()]) if (isEnded(res)) this.end(res);
  }

  private end(res: http.ServerResponse): void {
    const request = this.open.get(res);
    if (request === undefined) return;
    this.open.delete(res);
    this.allocation.remove(request.heldBytes);
    this.pauseIfFull();
    if (this.isEnding && this.open.size === 0) this.endSocket();
    request.onEnd();
  }
}

function headBytes({url = '', rawHeaders}: http.IncomingMessage): number {
  return rawHeaders.reduce((bytes, text) => bytes + text.length, url.length);
}

/** Tracks the responses of all connections to a server. */
export class CallerConnections {
  private readonly connections = new WeakMap<net.Socket, CallerConnection>();

  constructor(private readonly options: CallerConnectionsOptions) {}

  /** Resets connections to `server` whose callers take nothing of an answer for `untakenMs`. */
  watch(server: http.Server, untakenMs: units.Millis = MAX_UNTAKEN_MS): void {
    server.setTimeout(untakenMs, socket =>
      this.of(socket as net.Socket).onIdle(untakenMs),
    );
  }

  /**
   * Adds a response; returns false if its request must not be handled, as its connection ends with
   * the response to an earlier one.
   *
   * @param onEnd called once: the response was written whole, or the connection has closed.
   */
  add(res: http.ServerResponse, onEnd: () => void): boolean {
    const connection = this.of(res.req.socket);
    if (connection.isEnding) {
      connection.ignore();
      return false;
    }
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

  /** Whether a connection is not read, as too many of its requests are open. */
  isPaused(socket: net.Socket): boolean {
    return this.of(socket).isPaused;
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
