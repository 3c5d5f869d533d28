/** HTTP ports that answer short requests from memory. */
import * as http from 'node:http';

import * as bodyReader from '../body_reader.js';
import * as tcpListener from '../tcp_listener.js';

/** Largest body accepted. */
const MAX_BODY_BYTES = 16 * 1024;

const INTERNAL_ERROR = 500;
const TOO_LARGE = 413;

/** A request read whole. */
export interface SmallRequest {
  readonly method: string;
  readonly target: string;
  readonly body: Buffer;
}

/** Its answer. */
export interface SmallResponse {
  readonly status: number;
  readonly contentType?: string;
  readonly text: string;
}

/** Answers a request. */
export type SmallHandler = (
  req: SmallRequest,
) => SmallResponse | Promise<SmallResponse>;

/** A port for one kind of short requests. */
export class SmallServer implements AsyncDisposable {
  private readonly server: http.Server;

  constructor(private readonly handler: SmallHandler) {
    this.server = http.createServer((req, res) => this.accept(req, res));
  }

  /** Starts to accept connections. */
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

  private accept(req: http.IncomingMessage, res: http.ServerResponse): void {
    bodyReader.readBody(req, MAX_BODY_BYTES, read => {
      if (read.kind === 'cut-short') return;
      if (read.kind === 'too-long') {
        return write(res, {status: TOO_LARGE, text: 'body too long'});
      }
      const {method = '', url: target = ''} = req;
      void this.answer({method, target, body: read.body}, res);
    });
  }

  private async answer(
    req: SmallRequest,
    res: http.ServerResponse,
  ): Promise<void> {
    try {
      write(res, await this.handler(req));
    } catch (err) {
      const text = err instanceof Error ? err.message : String(err);
      write(res, {status: INTERNAL_ERROR, text});
    }
  }
}

function write(res: http.ServerResponse, response: SmallResponse): void {
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
