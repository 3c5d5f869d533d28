/** Addresses that other nodes state of themselves. */
import * as net from 'node:net';

const MAX_PORT = 65_535;

/** IP address and port of another node. */
export interface RemoteAddress {
  readonly ip: string;
  readonly port: number;
}

/**
 * Whether something can be sent to an address. Sockets throw at a port out of range, look a name up
 * and take an empty address for this machine.
 */
export function isUsable({ip, port}: RemoteAddress): boolean {
  const isPort = Number.isInteger(port) && port > 0 && port <= MAX_PORT;
  return isPort && net.isIP(ip) !== 0;
}
