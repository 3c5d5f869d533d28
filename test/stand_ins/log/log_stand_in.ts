/** Stand-in for the platform's log service, with faults on demand. */
import * as http from 'node:http';
import type * as net from 'node:net';

import * as storedLog from './stored_log.js';

/** Behaviour of the stand-in; set by `POST /.stand-in/mode`. */
export interface LogMode {
  /** Every request fails with 503. */
  readonly outage: boolean;
  /** Requests are never answered. */
  readonly silent: boolean;
  /** Delay of every answer, in milliseconds. */
  readonly slowMs: number;
  /** Number of next appends that take effect but whose answer is lost. */
  readonly loseAppendAnswers: number;
  /** Number of next appends that are lost before they take effect. */
  readonly dropAppends: number;
  /** Number of records kept; older ones are dropped. */
  readonly retention: number;
}

const DEFAULT_MODE: LogMode = {
  outage: false,
  silent: false,
  slowMs: 0,
  loseAppendAnswers: 0,
  dropAppends: 0,
  retention: 100_000,
};

const MAX_RECORD_BYTES = 8 * 1024 * 1024;

/** The log service as an HTTP server. */
export class LogStandIn implements AsyncDisposable {
  private mode = DEFAULT_MODE;
  private readonly log = new storedLog.StoredLog(DEFAULT_MODE.retention);
  private readonly server = http.createServer(
    (req, res) => void this.handle(req, res),
  );
  private appends = 0;
  private reads = 0;

  /** Listens on 127.0.0.1 and returns the port; 0 selects a free port. */
  async listen(port: number): Promise<number> {
    await new Promise<void>(resolve =>
      this.server.listen(port, '127.0.0.1', resolve),
    );
    return (this.server.address() as net.AddressInfo).port;
  }

  setMode(change: Partial<LogMode>): void {
    this.mode = {...this.mode, ...change};
    this.log.setRetention(this.mode.retention);
  }

  private async handle(
    req: http.IncomingMessage,
    res: http.ServerResponse,
  ): Promise<void> {
    try {
      await this.route(req, res);
    } catch {
      res.destroy();
    }
  }

  private async route(
    req: http.IncomingMessage,
    res: http.ServerResponse,
  ): Promise<void> {
    const url = new URL(req.url ?? '/', 'http://log');
    const body = await readBody(req);
    if (url.pathname === '/.stand-in/mode') {
      this.setMode(JSON.parse(body.toString('utf8')) as Partial<LogMode>);
      return respond(res, 200, this.mode);
    }
    if (url.pathname === '/.stand-in/stats') {
      return respond(res, 200, {
        appends: this.appends,
        reads: this.reads,
        nextOffset: this.log.nextOffset,
      });
    }
    if (this.mode.silent) return;
    if (this.mode.slowMs > 0) {
      await new Promise(resolve => setTimeout(resolve, this.mode.slowMs));
    }
    if (this.mode.outage) return respond(res, 503, {error: 'outage'});
    if (url.pathname === '/append') return this.append(body, res);
    if (url.pathname === '/read') return this.read(url.searchParams, res);
    respond(res, 404, {error: 'unknown path'});
  }

  private append(body: Buffer, res: http.ServerResponse): void {
    this.appends += 1;
    if (this.mode.dropAppends > 0) {
      this.setMode({dropAppends: this.mode.dropAppends - 1});
      res.destroy();
      return;
    }
    const offset = this.log.append(body);
    if (this.mode.loseAppendAnswers > 0) {
      this.setMode({loseAppendAnswers: this.mode.loseAppendAnswers - 1});
      res.destroy();
      return;
    }
    respond(res, 200, {offset});
  }

  private async read(
    query: URLSearchParams,
    res: http.ServerResponse,
  ): Promise<void> {
    this.reads += 1;
    const numberParam = (name: string) =>
      Math.max(0, Number(query.get(name) ?? 0) || 0);
    const page = await this.log.read(
      numberParam('from'),
      numberParam('limit'),
      numberParam('waitMs'),
    );
    if (this.mode.silent) return;
    if (this.mode.outage) return respond(res, 503, {error: 'outage'});
    respond(res, 200, page);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.server.closeAllConnections();
    await new Promise(resolve => this.server.close(resolve));
  }
}

async function readBody(req: http.IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let length = 0;
  for await (const chunk of req as AsyncIterable<Buffer>) {
    length += chunk.length;
    if (length > MAX_RECORD_BYTES) throw new RangeError('record too long');
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}

function respond(res: http.ServerResponse, status: number, body: object): void {
  res.writeHead(status, {'content-type': 'application/json'});
  res.end(JSON.stringify(body));
}
