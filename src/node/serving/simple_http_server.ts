/** HTTP server for short requests: readiness, announcements and metrics. */
import * as http from 'node:http';

import * as units from '../../common/units.js';
import * as bodyReader from '../body_reader.js';
import * as connectionLimit from '../connection_limit.js';
import * as headWatch from '../head_watch.js';
import * as idleConnections from '../idle_connections.js';
import * as tcpListener from '../tcp_listener.js';

/** Largest request body accepted, in bytes. */
const MAX_BODY_BYTES = 16 * 1024;

/** Time within which a request must be complete. */
const REQUEST_TIMEOUT_MS: units.Millis = 5_000;

const INTERNAL_ERROR = 500;
const TOO_LARGE = 413;

/** A request with its complete body. */
export interface SimpleRequest {
  readonly method: string;
  readonly target: string;
  readonly body: Buffer;
}

/** A response; `contentType` defaults to JSON. */
export interface SimpleResponse {
  readonly status: number;
  readonly contentType?: string;
  readonly text: string;
}

/** Handles a request; an error that it throws becomes status 500 with the message. */
export type SimpleHandler = (
  req: SimpleRequest,
) => SimpleResponse | Promise<SimpleResponse>;

/** Limits of a server, and what to do when one is applied. */
export interface SimpleServerOptions {
  /** Most connections at a time. */
  readonly maxConnections: number;
  /** A connection was closed, for the reason given. */
  onClosed(reason: string): void;
}

/** Serves requests from one handler, with bodies of up to 16 KiB. */
export class SimpleHttpServer implements AsyncDisposable {
  private readonly server: http.Server;

  constructor(
    private readonly handler: SimpleHandler,
    options: SimpleServerOptions,
  ) {
    this.server = http.createServer(
      {
        headersTimeout: REQUEST_TIMEOUT_MS,
        requestTimeout: REQUEST_TIMEOUT_MS,
        connectionsCheckingInterval: REQUEST_TIMEOUT_MS / 2,
      },
      (req, res) => this.accept(req, res),
    );
    this.limitConnections(options);
  }

  /** Starts accepting connections. */
  listen(address: tcpListener.ListenAddress): Promise<void> {
    return tcpListener.listen(this.server, address);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    const closed = new Promise<void>(resolve =>
      this.server.close(() => resolve()),
    );
    this.server.closeAllConnections();
    await closed;
  }

  private limitConnections({
    maxConnections,
    onClosed,
  }: SimpleServerOptions): void {
    const idle = new idleConnections.IdleConnections(this.server);
    headWatch.watchHeads(
      this.server,
      idle,
      () => REQUEST_TIMEOUT_MS,
      socket => {
        onClosed('head not complete');
        socket.destroy();
      },
    );
    connectionLimit.limitConnections(this.server, idle, maxConnections, () =>
      onClosed('too many connections'),
    );
  }

  private accept(req: http.IncomingMessage, res: http.ServerResponse): void {
    bodyReader.readBody(req, MAX_BODY_BYTES, read => {
      if (read.kind === 'cut-short') return;
      if (read.kind === 'too-long') {
        // Otherwise the rest of the body, which may have no end, would be read.
        res.shouldKeepAlive = false;
        return writeResponse(res, {status: TOO_LARGE, text: 'body too long'});
      }
      const {method = '', url: target = ''} = req;
      void this.answer({method, target, body: read.body}, res);
    });
  }

  private async answer(
    req: SimpleRequest,
    res: http.ServerResponse,
  ): Promise<void> {
    try {
      writeResponse(res, await this.handler(req));
    } catch (err) {
      const text = err instanceof Error ? err.message : String(err);
      writeResponse(res, {status: INTERNAL_ERROR, text});
    }
  }
}

function writeResponse(
  res: http.ServerResponse,
  response: SimpleResponse,
): void {
  const {status, contentType = 'application/json', text} = response;
  const body = Buffer.from(text);
  res.writeHead(status, [
    'Content-Type',
    contentType,
    'Content-Length',
    String(body.length),
  ]);
  res.end(body);
}
