/** Serves the operator router over HTTP to allowed sources only. */
import * as http from 'node:http';

import * as standalone from '@trpc/server/adapters/standalone';

import * as counters from '../common/counters.js';
import * as operatorContract from './operator_contract.js';
import * as operatorRouter from './operator_router.js';
import * as portOpening from './port_opening.js';
import * as sourceFilter from './source_filter.js';
import * as tcpListener from './tcp_listener.js';

/** Largest request body; every procedure is a query with a short input. */
const MAX_BODY_BYTES = 64 * 1024;

const MAX_HEADER_BYTES = 16 * 1024;
const REQUEST_TIMEOUT_MS = 5_000;

/** Listening address, allowed sources and service of the operator server. */
export interface OperatorServerOptions extends portOpening.PortOptions {
  readonly peerSources: readonly string[];
  readonly service: operatorContract.OperatorService;
  readonly counters: counters.Counters;
}

/** HTTP server of the operator port. */
export class OperatorServer implements AsyncDisposable {
  private constructor(private readonly server: http.Server) {}

  /**
   * Starts to listen.
   *
   * @throws errors.GeraniumloftError if the port cannot be bound.
   */
  static async listen(options: OperatorServerOptions): Promise<OperatorServer> {
    const handler = standalone.createHTTPHandler({
      router: operatorRouter.operatorRouter,
      createContext: () => options.service,
      maxBodySize: MAX_BODY_BYTES,
    });
    const limits = {
      maxHeaderSize: MAX_HEADER_BYTES,
      requestTimeout: REQUEST_TIMEOUT_MS,
    };
    const server = http.createServer(limits, handler);
    const accepts = sourceFilter.createSourceFilter(options.peerSources);
    server.on('connection', socket => {
      if (accepts(socket.remoteAddress)) return;
      options.counters.increment('source.rejected');
      socket.destroy();
    });
    server.on('clientError', (err, socket) => {
      options.counters.increment('malformed.http');
      socket.destroy();
    });
    await tcpListener.listen(server, options);
    return new OperatorServer(server);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.server.closeAllConnections();
    await new Promise(resolve => this.server.close(resolve));
  }
}
