/** HTTP for callers on the instance, and for the backend server's own calls. */
import * as http from 'node:http';
import type * as net from 'node:net';

import * as configuration from '../../common/serving/configuration.js';
import * as entryCall from '../../common/serving/entry_call.js';
import * as units from '../../common/units.js';
import * as serving from '../../generated/serving.js';
import * as bodyReader from '../body_reader.js';
import * as httpHeaders from '../http_headers.js';
import * as requestFingerprint from '../request_fingerprint.js';
import * as tcpListener from '../tcp_listener.js';
import * as dialect from './dialect.js';

/** Longest headers that the parser takes; the configuration's bound is checked below it. */
const MAX_PARSED_HEADER_BYTES = 64 * 1024;

/** Limits until the first configuration is known. */
const DEFAULT_LIMITS: configuration.CallerLimits = {
  maxHeaderBytes: 16 * 1024,
  maxBodyBytes: 64 * 1024 * 1024,
  headerTimeoutMs: 10_000,
  idleTimeoutMs: 60_000,
};

/** Time beyond the idle limit for which a connection is kept, so that no reuse in time is cut. */
const IDLE_SLACK_MS: units.Millis = 1_000;

/** Interval at which slow senders of headers are looked for. */
const HEADER_CHECK_MS: units.Millis = 500;

/** Time that a caller waits if it does not tell. */
const DEFAULT_TIME_LEFT_MS: units.Millis = 30_000;

/** Length of a header line beside its name and value. */
const HEADER_LINE_BYTES = 4;

const STATUS = {
  badRequest: 400,
  notFound: 404,
  requestTimeout: 408,
  tooLarge: 413,
  headersTooLarge: 431,
  badGateway: 502,
  unavailable: 503,
  timeout: 504,
} as const;

const NO_CONTENT = 204;
const NOT_MODIFIED = 304;

/** What a port asks of its owner. */
export interface CallerPortListener {
  /** Returns the configuration in force, undefined before the first. */
  configuration(): configuration.ConfigurationInForce | undefined;
  onRequest(request: entryCall.CallerRequest, route: configuration.Route): void;
  onCallerGone(requestId: number): void;
  /** A request was refused before it reached the entry. */
  onRefused(requestId: string | undefined, reason: string): void;
}

/** What a port is made with. */
export interface CallerPortOptions {
  readonly http: dialect.HttpDialect;
  readonly service: () => string;
  readonly fingerprint: requestFingerprint.RequestFingerprint;
  readonly listener: CallerPortListener;
}

interface Exchange {
  readonly res: http.ServerResponse;
  readonly requestId: string;
}

/** The port that callers connect to. */
export class CallerPort implements AsyncDisposable {
  private readonly server: http.Server;
  private readonly exchanges = new Map<number, Exchange>();
  private lastId = 0;
  private reading = 0;
  private phase: 'open' | 'closing' | 'closed' = 'open';

  constructor(private readonly options: CallerPortOptions) {
    this.server = http.createServer(
      {
        maxHeaderSize: MAX_PARSED_HEADER_BYTES,
        requestTimeout: 0,
        connectionsCheckingInterval: HEADER_CHECK_MS,
        noDelay: true,
      },
      (req, res) => this.accept(req, res),
    );
    this.server.on('clientError', (err, socket) =>
      this.rejectMalformed(err, socket as net.Socket),
    );
    this.applyLimits();
  }

  /** Starts to accept connections. */
  listen(address: tcpListener.ListenAddress): Promise<void> {
    return tcpListener.listen(this.server, address);
  }

  /** Requests that have not been answered. */
  get inProgress(): number {
    return this.exchanges.size + this.reading;
  }

  /** Puts the limits of the configuration in force. */
  applyLimits(): void {
    const {headerTimeoutMs, idleTimeoutMs} = this.limits;
    this.server.headersTimeout = headerTimeoutMs;
    this.server.keepAliveTimeout = idleTimeoutMs + IDLE_SLACK_MS;
  }

  /** Asks callers to connect elsewhere after their next answer. */
  announceClosing(): void {
    if (this.phase === 'open') this.phase = 'closing';
  }

  /** Refuses new requests, as their answers could come after the end of the process. */
  refuseNew(): void {
    this.phase = 'closed';
  }

  /** Gives a caller the answer to its request. */
  respond(id: number, answer: serving.Answer): void {
    const exchange = this.take(id);
    if (exchange === undefined) return;
    const {status, headers, body} = answer;
    const lines = [...headers];
    if (status !== NO_CONTENT && status !== NOT_MODIFIED) {
      lines.push('Content-Length', String(body.length));
    }
    try {
      this.write(exchange.res, status, lines, body);
    } catch {
      // Headers that are not valid HTTP cannot be passed on.
      this.options.listener.onRefused(exchange.requestId, 'unwritable answer');
      this.writeText(exchange.res, STATUS.badGateway, 'server-failed', []);
    }
  }

  /** Tells a caller that its request has been given up. */
  giveUp(id: number, giveUp: entryCall.GiveUp): void {
    const exchange = this.take(id);
    if (exchange !== undefined) this.refuse(exchange.res, giveUp);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    const closed = new Promise<void>(resolve =>
      this.server.close(() => resolve()),
    );
    this.server.closeAllConnections();
    await closed;
  }

  private get limits(): configuration.CallerLimits {
    const cfg = this.options.listener.configuration();
    return cfg?.document.limits ?? DEFAULT_LIMITS;
  }

  private accept(req: http.IncomingMessage, res: http.ServerResponse): void {
    const {maxHeaderBytes, maxBodyBytes} = this.limits;
    if (headerBytes(req) > maxHeaderBytes) {
      return this.refuseUnread(res, STATUS.headersTooLarge, 'headers too long');
    }
    this.reading++;
    bodyReader.readBody(req, maxBodyBytes, read => {
      this.reading--;
      switch (read.kind) {
        case 'cut-short':
          return;
        case 'too-long':
          return this.refuseUnread(res, STATUS.tooLarge, 'body too long');
        case 'whole':
          return this.admit(req, res, read.body);
      }
    });
  }

  private admit(
    req: http.IncomingMessage,
    res: http.ServerResponse,
    body: Buffer,
  ): void {
    const {http: dialectOf, listener} = this.options;
    const fields = dialectOf.readCaller(req.headers);
    const {requestId} = fields;
    if (requestId === undefined) {
      return this.refuseUnread(res, STATUS.badRequest, 'request without id');
    }
    const cfg = listener.configuration();
    if (cfg === undefined || this.phase === 'closed') {
      const reason = cfg === undefined ? 'unconfigured' : 'no-server';
      listener.onRefused(requestId, reason);
      return this.refuse(res, {reason, mayHaveRun: false, retryAfterMs: 300});
    }
    const target = req.url ?? '';
    const route = cfg.matchRoute(req.headers.host ?? '', target);
    if (route === undefined) {
      listener.onRefused(requestId, 'no-route');
      return this.writeText(res, STATUS.notFound, 'no route', []);
    }
    const id = ++this.lastId;
    this.exchanges.set(id, {res, requestId});
    res.once('close', () => this.closed(id));
    const method = req.method ?? '';
    const request: entryCall.CallerRequest = {
      id,
      requestId,
      method,
      target,
      headers: this.forwarded(req),
      body,
      timeLeftMs: fields.timeLeftMs ?? DEFAULT_TIME_LEFT_MS,
      fingerprint: this.options.fingerprint.of(
        this.options.service(),
        method,
        target,
        body,
      ),
    };
    listener.onRequest(request, route);
  }

  private forwarded(req: http.IncomingMessage): readonly string[] {
    const {http: dialectOf, service} = this.options;
    const kept = httpHeaders.endToEndHeaders(
      req.rawHeaders,
      req.headers.connection,
      name => dialectOf.isReserved(name),
    );
    return [...kept, ...dialectOf.originHeaders(service())];
  }

  private closed(id: number): void {
    if (this.take(id) !== undefined) this.options.listener.onCallerGone(id);
  }

  private take(id: number): Exchange | undefined {
    const exchange = this.exchanges.get(id);
    this.exchanges.delete(id);
    return exchange;
  }

  private refuse(res: http.ServerResponse, giveUp: entryCall.GiveUp): void {
    const {reason, mayHaveRun, retryAfterMs} = giveUp;
    if (mayHaveRun) {
      const status = reason === 'timeout' ? STATUS.timeout : STATUS.badGateway;
      return this.writeText(res, status, reason, []);
    }
    const seconds = (retryAfterMs / units.MS_PER_SECOND).toFixed(2);
    const retry = ['Retry-After', seconds];
    this.writeText(res, STATUS.unavailable, reason, retry);
  }

  /** Refuses a request that may not have been read to its end, and closes the connection. */
  private refuseUnread(
    res: http.ServerResponse,
    status: number,
    reason: string,
  ): void {
    this.options.listener.onRefused(undefined, reason);
    this.writeText(res, status, reason, ['Connection', 'close']);
  }

  private rejectMalformed(
    err: NodeJS.ErrnoException,
    socket: net.Socket,
  ): void {
    if (!socket.writable || err.code === 'ECONNRESET') {
      socket.destroy();
      return;
    }
    this.options.listener.onRefused(undefined, err.code ?? 'malformed');
    const status = statusOf(err);
    socket.end(
      `HTTP/1.1 ${status} ${http.STATUS_CODES[status]}\r\n` +
        'Content-Length: 0\r\nConnection: close\r\n\r\n',
    );
  }

  private writeText(
    res: http.ServerResponse,
    status: number,
    reason: string,
    headers: readonly string[],
  ): void {
    const body = Buffer.from(reason);
    const length = ['Content-Length', String(body.length)];
    this.write(res, status, [...headers, ...length], body);
  }

  private write(
    res: http.ServerResponse,
    status: number,
    headers: readonly string[],
    body: Uint8Array,
  ): void {
    const closing =
      this.phase === 'open' || headers.includes('Connection')
        ? []
        : ['Connection', 'close'];
    res.writeHead(status, [...headers, ...closing]);
    res.end(body);
  }
}

function headerBytes(req: http.IncomingMessage): number {
  let bytes = (req.url ?? '').length;
  for (let i = 0; i + 1 < req.rawHeaders.length; i += 2) {
    bytes += req.rawHeaders[i].length + req.rawHeaders[i + 1].length;
    bytes += HEADER_LINE_BYTES;
  }
  return bytes;
}

function statusOf(err: NodeJS.ErrnoException): number {
  switch (err.code) {
    case 'HPE_HEADER_OVERFLOW':
      return STATUS.headersTooLarge;
    case 'ERR_HTTP_REQUEST_TIMEOUT':
      return STATUS.requestTimeout;
    default:
      return STATUS.badRequest;
  }
}
