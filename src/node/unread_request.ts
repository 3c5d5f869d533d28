/** Responses to requests that have not been read whole. */
import type * as http from 'node:http';

import * as lingeringClose from './lingering_close.js';

/**
 * Writes a response whose request has not been read whole, and reads the rest of it for a while:
 * bytes that are unread when a connection closes discard the answer on its way.
 */
export function endOnceRead(
  res: http.ServerResponse,
  body: Uint8Array | string,
): void {
  const {req} = res;
  res.write(body);
  const end = (): void => {
    clearTimeout(timer);
    res.end();
  };
  const timer = setTimeout(end, lingeringClose.MAX_READ_ON_MS);
  req.once('end', end);
  req.once('close', end);
  req.resume();
}
