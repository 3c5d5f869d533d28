/** Starts servers that listen on TCP. */
import type * as net from 'node:net';

import * as portOpening from './port_opening.js';

/** Address to listen on, with the options of `portOpening.openPort`. */
export type ListenAddress = portOpening.PortOptions;

/**
 * Resolves once the server listens; waits for a port that is taken. Closing the server ends the
 * wait. Errors of the server from then on, as for connections that it cannot accept, are passed to
 * the observer only.
 *
 * @throws errors.GeraniumloftError if the port cannot be opened, or the server was closed.
 */
export async function listen(
  server: net.Server,
  address: ListenAddress,
): Promise<void> {
  let isOpen = false;
  // Stays: an error without a listener would end the process.
  server.on('error', err => {
    if (isOpen) address.observer?.onError(address, portOpening.codeOf(err));
  });
  const closed = new AbortController();
  const onClose = () => closed.abort();
  server.once('close', onClose);
  try {
    await portOpening.openPort(
      address,
      () => listenOnce(server, address),
      closed.signal,
    );
    isOpen = true;
  } finally {
    server.off('close', onClose);
  }
}

/** Makes one attempt to listen; resolves too if the server is closed meanwhile. */
function listenOnce(
  server: net.Server,
  {ip, port}: ListenAddress,
): Promise<void> {
  return new Promise((resolve, reject) => {
    const settle = (err?: Error): void => {
      server.off('error', settle);
      server.off('listening', settle);
      server.off('close', settle);
      if (err === undefined) resolve();
      else reject(err);
    };
    server.once('error', settle);
    server.once('listening', settle);
    server.once('close', settle);
    server.listen(port, ip);
  });
}
