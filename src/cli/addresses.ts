/** Parses `ip:port` addresses given on the command line. */
import * as net from 'node:net';

import * as cliErrors from './cli_errors.js';

const MAX_PORT = 65_535;

/** An IP address and a port. */
export interface Address {
  readonly ip: string;
  readonly port: number;
}

/**
 * Parses `127.0.0.1:9000` or `[::1]:9000`.
 *
 * @throws cliErrors.CommandError naming `option`, the option that `text` was given for.
 */
export function parseAddress(text: string, option: string): Address {
  const colonIndex = text.lastIndexOf(':');
  const ip = text.slice(0, Math.max(colonIndex, 0)).replace(/^\[(.*)\]$/, '$1');
  const port = Number(text.slice(colonIndex + 1));
  const isPort = Number.isInteger(port) && port >= 1 && port <= MAX_PORT;
  if (net.isIP(ip) !== 0 && isPort) return {ip, port};
  throw cliErrors.invalid(`${option}: expected IP:PORT, got ${text}`);
}
