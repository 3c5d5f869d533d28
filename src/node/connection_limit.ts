/** Limits the number of connections to an HTTP server. */
import type * as net from 'node:net';

import type * as idleConnections from './idle_connections.js';

/** The event of a server that a limit needs. */
export interface ConnectionEvent {
  on(event: 'connection', listener: (socket: net.Socket) => void): unknown;
}

/**
 * Makes room for a new connection beyond a limit: closes the one that has been idle for longest,
 * which is the new one if requests are under way on all others.
 *
 * @param idle the connections of the same server.
 * @param onClosed called for each connection that is closed.
 */
export function limitConnections(
  server: ConnectionEvent,
  idle: Pick<
    idleConnections.IdleConnections,
    'connectionCount' | 'closeLongest'
  >,
  maxConnections: number,
  onClosed: () => void,
): void {
  server.on('connection', () => {
    if (idle.connectionCount <= maxConnections) return;
    if (idle.closeLongest()) onClosed();
  });
}
