/** Starts servers that listen on TCP. */
import type * as net from 'node:net';

/** Address to listen on; port 0 chooses a free one. */
export interface ListenAddress {
  readonly ip: string;
  readonly port: number;
}

/** Resolves once the server listens; rejects if it cannot. */
export function listen(
  server: net.Server,
  address: ListenAddress,
): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(address.port, address.ip, () => {
      server.off('error', reject);
      resolve();
    });
  });
}
