/** Ends connections whose other end may neither read nor close. */
import type * as net from 'node:net';

import * as units from '../common/units.js';

/**
 * Time for which an ended connection is still read: bytes that are unread when it closes discard
 * the response on its way.
 */
export const MAX_READ_ON_MS: units.Millis = 1_000;

/** Bytes that are read on an ended connection. */
const MAX_READ_ON_BYTES = 256 * 1024;

/** Bytes that had been read on connections when they were ended. */
const bytesAtEnd = new WeakMap<net.Socket, number>();

/**
 * Writes a last response and ends the connection; closes it at the latest after `MAX_READ_ON_MS`,
 * as an HTTP server leaves it open until the other end has closed its side. Without effect on a
 * connection that is ending like this.
 */
export function endLingering(socket: net.Socket, response = ''): void {
  if (socket.destroyed || bytesAtEnd.has(socket)) return;
  bytesAtEnd.set(socket, socket.bytesRead);
  const timer = setTimeout(() => socket.destroy(), MAX_READ_ON_MS).unref();
  socket.once('close', () => clearTimeout(timer));
  socket.end(response);
}

/**
 * Returns whether `endLingering` has ended the connection; closes it if too many bytes have come
 * since.
 */
export function limitLingering(socket: net.Socket): boolean {
  const bytes = bytesAtEnd.get(socket);
  if (bytes === undefined) return false;
  if (socket.bytesRead - bytes > MAX_READ_ON_BYTES) socket.destroy();
  return true;
}
