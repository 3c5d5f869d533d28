/** HTTP port for callers on the instance, among them the backend server. */
import * as http from 'node:http';
import type * as net from 'node:net';

import * as decision from '../../common/serving/decision.js';
import * as configuration from '../../common/serving/configuration.js';
import * as entryCall from '../../common/serving/entry_call.js';
import * as units from '../../common/units.js';
import * as workspaceDirectory from '../../common/workspaces/workspace_directory.js';
import * as workspace from '../../common/workspaces/workspace.js';
import * as serving from '../../generated/serving.js';
import * as bodyIntake from '../body_intake.js';
import * as callerConnections from '../caller_connections.js';
import * as connectionLimit from '../connection_limit.js';
import * as headWatch from '../head_watch.js';
import * as httpHeaders from '../http_headers.js';
import * as idleConnections from '../idle_connections.js';
import * as lingeringClose from '../lingering_close.js';
import * as requestFingerprint from '../request_fingerprint.js';
import * as tcpListener from '../tcp_listener.js';
import * as unreadRequest from '../unread_request.js';
import * as callerStatuses from './caller_statuses.js';
import * as platformAdapter from './platform_adapter.js';

/** Limits before the first configuration is known. */
const DEFAULT_LIMITS: configuration.CallerLimits = {
  maxHeaderBytes: 16 * 1024,
  maxBodyBytes: 64 * 1024 * 1024,
  headerTimeoutMs: 10_000,
  idleTimeoutMs: 60_000,
};

/** Added to the idle timeout, so that a reuse just within the limit is not cut off. */
const IDLE_SLACK_MS: units.Millis = 1_000;

/** Interval of checks for connections that exceed the header timeout. */
const HEADER_CHECK_INTERVAL_MS: units.Millis = 500;

/** Time limit of a request whose caller states none. */
const DEFAULT_TIME_LEFT_MS: units.Millis = 30_000;

/** Time until a retry of a request that this node cannot judge or handle now. */
const REFUSED_RETRY_AFTER_MS: units.Millis = 300;

const {STATUS, HEAD_OVERDUE} = callerStatuses;

/** Provides the configuration and receives the events of the port. */
export interface CallerPortListener {
  /** Returns the current configuration, undefined before the first one. */
  configuration(): configuration.ConfigurationInForce | undefined;
  /** Whether the configuration is recent enough to judge a key that is read now. */
  admitsKeys(): boolean;
  onRequest(request: entryCall.CallerRequest, route: configuration.Route): void;
  onCallerGone(requestId: number): void;
  /** A connection is not read for a while, as many of its requests have no answer. */
  onPaused(): void;
  /** A request was refused before it reached the entry, or its answer could not be written. */
  onRefused(
    requestId: string | undefined,
    reason: string,
    facts?: decision.Facts,
  ): void;
}

/** Dependencies of `CallerPort`. */
export interface CallerPortOptions {
  readonly http: platformAdapter.HeaderCodec;
  readonly service: () => string;
  readonly fingerprint: requestFingerprint.RequestFingerprint;
  readonly bodies: bodyIntake.BodyIntake;
  readonly listener: CallerPortListener;
  /** Most connections at a time, unlimited by default. */
  readonly maxConnections?: number;
}

interface Exchange {
  readonly res: http.ServerResponse;
  readonly requestId: string;
}

/** Reads callers' requests and writes the responses. */
export class CallerPort implements AsyncDisposable {
  private readonly server: http.Server;
  private readonly connections: callerConnections.CallerConnections;
  private readonly exchanges = new Map<number, Exchange>();
  private readonly idsByResponse = new WeakMap<http.ServerResponse, number>();
  /** Responses to requests whose body is being read. */
  private readonly unread = new Set<http.ServerResponse>();
  /** Memory of the bodies of requests without an answer. */
  private readonly bodies = new Map<http.ServerResponse, bodyIntake.HeldBody>();
  /** Responses that have not been passed to the operating system whole. */
  private readonly unflushed = new Set<http.ServerResponse>();
  private lastId = 0;
  private phase: 'open' | 'closing' | 'closed' = 'open';

  constructor(private readonly options: CallerPortOptions) {
    this.connections = new callerConnections.CallerConnections({
      memory: options.bodies.memory,
      onReset: reason => options.listener.onRefused(undefined, reason),
      onPaused: () => options.listener.onPaused(),
    });
    this.server = http.createServer(
      {
        maxHeaderSize: headWatch.MAX_PARSED_HEADER_BYTES,
        requestTimeout: 0,
        connectionsCheckingInterval: HEADER_CHECK_INTERVAL_MS,
        noDelay: true,
      },
      (req, res) => this.accept(req, res),
    );
    this.server.on('clientError', (err: NodeJS.ErrnoException, socket) =>
      this.rejectMalformed(err.code, socket as net.Socket),
    );
    this.connections.watch(this.server);
    this.limitConnections();
    this.applyLimits();
  }

  /** Starts accepting connections. */
  listen(address: tcpListener.ListenAddress): Promise<void> {
    return tcpListener.listen(this.server, address);
  }

  /**
   * Number of requests without an answer, or with one that is still being written; those included
   * whose body is still being read.
   */
  get inProgress(): number {
    const {exchanges, unflushed, unread} = this;
    return exchanges.size + unflushed.size + unread.size;
  }

  /** Applies the timeouts of the current configuration. */
  applyLimits(): void {
    const {headerTimeoutMs, idleTimeoutMs} = this.limits;
    this.server.headersTimeout = headerTimeoutMs;
    this.server.keepAliveTimeout = idleTimeoutMs + IDLE_SLACK_MS;
  }

  /** Sends `Connection: close` with each response from now on. */
  announceClosing(): void {
    if (this.phase === 'open') this.phase = 'closing';
  }

  /** Accepts no more connections, and refuses requests that are not read yet. */
  stopListening(): void {
    this.phase = 'closed';
    this.server.close();
    for (const res of [...this.unread]) {
      if (!res.headersSent) this.refuseNotRun(res, 'no-server');
    }
  }

  /** Writes the answer to a request; ignored if the caller has disconnected. */
  respond(id: number, answer: serving.Answer): void {
    const exchange = this.remove(id);
    if (exchange === undefined) return;
    const {status, headers, body} = answer;
    const headerList = [...headers];
    if (callerStatuses.mayHaveBody(status)) {
      headerList.push('Content-Length', String(body.length));
    }
    try {
      this.write(exchange.res, status, headerList, body);
    } catch {
      // Node rejects headers that are not valid HTTP.
      this.options.listener.onRefused(exchange.requestId, 'unwritable answer');
      this.writeText(exchange.res, STATUS.badGateway, 'server-failed', []);
    }
  }

  /** Responds to a request that the entry has given up; ignored if the caller has disconnected. */
  giveUp(id: number, giveUp: entryCall.GiveUp): void {
    const exchange = this.remove(id);
    if (exchange !== undefined) this.refuse(exchange.res, giveUp);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    const closed = new Promise<void>(resolve =>
      this.server.close(() => resolve()),
    );
    this.server.closeAllConnections();
    await closed;
  }

  private limitConnections(): void {
    const {listener, maxConnections = Infinity} = this.options;
    const idle = new idleConnections.IdleConnections(this.server);
    headWatch.watchHeads(
      this.server,
      idle,
      () => this.limits.headerTimeoutMs,
      socket => this.rejectMalformed(HEAD_OVERDUE, socket),
    );
    connectionLimit.limitConnections(this.server, idle, maxConnections, () =>
      listener.onRefused(undefined, 'too many connections'),
    );
  }

  private get limits(): configuration.CallerLimits {
    const cfg = this.options.listener.configuration();
    return cfg?.document.limits ?? DEFAULT_LIMITS;
  }

  private accept(req: http.IncomingMessage, res: http.ServerResponse): void {
    if (!this.connections.add(res, () => this.onEnded(res))) {
      req.resume();
      return;
    }
    const {maxHeaderBytes, maxBodyBytes} = this.limits;
    if (httpHeaders.headerBytes(req) > maxHeaderBytes) {
      return this.refuseUnread(res, STATUS.headersTooLarge, 'headers too long');
    }
    this.readBody(req, res, maxBodyBytes);
  }

  private readBody(
    req: http.IncomingMessage,
    res: http.ServerResponse,
    maxBytes: number,
  ): void {
    const {http: headerCodec, bodies, listener} = this.options;
    const {requestId, timeLeftMs = DEFAULT_TIME_LEFT_MS} =
      headerCodec.readCaller(req.headers);
    this.unread.add(res);
    const held = bodies.take(req, {
      maxBytes,
      timeLeftMs,
      onExceeded: () => {
        listener.onRefused(requestId, 'memory exceeded', {...bodies.use});
        req.socket.destroy();
      },
      onTaken: (taken, body) => {
        this.unread.delete(res);
        // The request was refused, or its caller has left.
        if (res.headersSent || !this.connections.isOpen(res)) {
          return body[Symbol.dispose]();
        }
        switch (taken.kind) {
          case 'cut-short':
            return;
          case 'too-long':
            return this.refuseUnread(res, STATUS.tooLarge, 'body too long');
          case 'late':
            return this.refuseUnread(
              res,
              STATUS.requestTimeout,
              'body not complete',
            );
          case 'no-memory':
            listener.onRefused(requestId, 'no-memory', {...bodies.use});
            return this.refuseUntaken(res);
          case 'whole':
            this.bodies.set(res, body);
            return this.handle(req, res, taken.body, body.waitedMs);
        }
      },
    });
    if (this.unread.has(res)) this.bodies.set(res, held);
  }

  private handle(
    req: http.IncomingMessage,
    res: http.ServerResponse,
    body: Buffer,
    heldMs: units.Millis,
  ): void {
    const {http: headerCodec, listener} = this.options;
    const fields = headerCodec.readCaller(req.headers);
    const {requestId} = fields;
    if (requestId === undefined) {
      return this.refuseUnread(res, STATUS.badRequest, 'request without id');
    }
    const cfg = listener.configuration();
    if (cfg === undefined || this.phase === 'closed') {
      const reason = cfg === undefined ? 'unconfigured' : 'no-server';
      listener.onRefused(requestId, reason);
      return this.refuseNotRun(res, reason);
    }
    const target = req.url ?? '';
    const route = cfg.matchRoute(req.headers.host ?? '', target);
    if (route === undefined) {
      listener.onRefused(requestId, 'no-route');
      return this.writeText(res, STATUS.notFound, 'no route', []);
    }
    if (cfg.dependsOnKeys(route, fields.key) && !listener.admitsKeys()) {
      listener.onRefused(requestId, 'no-freshness-proof');
      return this.refuseNotRun(res, 'no-freshness-proof');
    }
    const identity = cfg.identify(route, fields.key);
    if (identity.kind === 'unknown') {
      const key = keyNameOf(fields.key);
      listener.onRefused(requestId, 'unknown-key', {key});
      return this.writeText(res, STATUS.unauthorized, 'unknown key', []);
    }
    const caller =
      identity.kind === 'workspace' ? identity.workspace : undefined;
    const id = ++this.lastId;
    this.exchanges.set(id, {res, requestId});
    this.idsByResponse.set(res, id);
    const method = req.method ?? '';
    const request: entryCall.CallerRequest = {
      id,
      requestId,
      method,
      target,
      headers: this.forwardedHeaders(req, caller),
      body,
      workspace: caller,
      timeLeftMs: fields.timeLeftMs ?? DEFAULT_TIME_LEFT_MS,
      heldMs,
      fingerprint: this.options.fingerprint.of(
        this.options.service(),
        method,
        target,
        body,
      ),
    };
    listener.onRequest(request, route);
  }

  private forwardedHeaders(
    req: http.IncomingMessage,
    caller: workspace.Workspace | undefined,
  ): readonly string[] {
    const {http: headerCodec, service} = this.options;
    const kept = httpHeaders.endToEndHeaders(
      req.rawHeaders,
      req.headers.connection,
      name => headerCodec.isReserved(name),
    );
    return [...kept, ...headerCodec.originHeaders(service(), caller?.name)];
  }

  /** Handles the end of a response; without an answer before, its caller has left. */
  private onEnded(res: http.ServerResponse): void {
    this.releaseBody(res);
    this.unread.delete(res);
    this.unflushed.delete(res);
    const id = this.idsByResponse.get(res);
    if (id === undefined || this.remove(id) === undefined) return;
    this.options.listener.onCallerGone(id);
  }

  private remove(id: number): Exchange | undefined {
    const exchange = this.exchanges.get(id);
    this.exchanges.delete(id);
    return exchange;
  }

  private releaseBody(res: http.ServerResponse): void {
    this.bodies.get(res)?.[Symbol.dispose]();
    this.bodies.delete(res);
  }

  /** Refuses a request whose body there is no memory for, and closes the connection. */
  private refuseUntaken(res: http.ServerResponse): void {
    const retry = retryAfterHeader(REFUSED_RETRY_AFTER_MS);
    this.writeText(res, STATUS.unavailable, 'no-room', retry, true);
  }

  private refuse(res: http.ServerResponse, giveUp: entryCall.GiveUp): void {
    const {reason, mayHaveRun, retryAfterMs} = giveUp;
    if (mayHaveRun) {
      const status =
        reason === 'timeout' ? STATUS.gatewayTimeout : STATUS.badGateway;
      return this.writeText(res, status, reason, []);
    }
    const retry = retryAfterHeader(retryAfterMs);
    const status =
      reason === 'over-quota' ? STATUS.tooManyRequests : STATUS.unavailable;
    this.writeText(res, status, reason, retry);
  }

  /** Refuses a request that the entry has not seen. */
  private refuseNotRun(
    res: http.ServerResponse,
    reason: entryCall.GiveUpReason,
  ): void {
    const retryAfterMs = REFUSED_RETRY_AFTER_MS;
    this.refuse(res, {reason, mayHaveRun: false, retryAfterMs});
  }

  /** Refuses a request and closes the connection, as its body may not have been read fully. */
  private refuseUnread(
    res: http.ServerResponse,
    status: number,
    reason: string,
  ): void {
    this.options.listener.onRefused(undefined, reason);
    const body = Buffer.from(reason);
    const headers = ['Content-Length', String(body.length)];
    this.write(res, status, headers, body, true);
  }

  private rejectMalformed(code: string | undefined, socket: net.Socket): void {
    if (lingeringClose.limitLingering(socket)) return;
    if (!socket.writable || code === 'ECONNRESET') {
      socket.destroy();
      return;
    }
    // The rest of a request on a connection that is not read cannot arrive.
    if (code === HEAD_OVERDUE && this.connections.isPaused(socket)) return;
    this.options.listener.onRefused(undefined, code ?? 'malformed');
    const status = callerStatuses.statusOfError(code);
    const incomplete = this.connections.incompleteOn(socket);
    if (incomplete) {
      return this.write(incomplete, status, ['Content-Length', '0'], '', true);
    }
    // An answer now would be taken for that of an earlier request.
    if (this.connections.endAfterResponses(socket)) return;
    lingeringClose.endLingering(
      socket,
      `HTTP/1.1 ${status} ${http.STATUS_CODES[status]}\r\n` +
        'Content-Length: 0\r\nConnection: close\r\n\r\n',
    );
  }

  private writeText(
    res: http.ServerResponse,
    status: number,
    reason: string,
    headers: readonly string[],
    isLast = this.phase !== 'open',
  ): void {
    const body = Buffer.from(reason);
    const length = ['Content-Length', String(body.length)];
    this.write(res, status, [...headers, ...length], body, isLast);
  }

  private write(
    res: http.ServerResponse,
    status: number,
    headers: readonly string[],
    body: Uint8Array | string,
    isLast = this.phase !== 'open',
  ): void {
    if (!this.connections.isOpen(res) || res.headersSent) return;
    const closing =
      isLast && this.connections.endWith(res) ? ['Connection', 'close'] : [];
    res.writeHead(status, [...headers, ...closing]);
    this.unread.delete(res);
    this.releaseBody(res);
    this.unflushed.add(res);
    this.connections.hold(res, body.length);
    if (res.req.complete) res.end(body);
    else unreadRequest.endOnceRead(res, body);
  }
}

function retryAfterHeader(retryAfterMs: units.Millis): readonly string[] {
  return ['Retry-After', (retryAfterMs / units.MS_PER_SECOND).toFixed(2)];
}

/** Characters of a digest that name an unknown key in logs. */
const LOGGED_DIGEST_LENGTH = 8;

function keyNameOf(key: workspaceDirectory.CallerKey): string {
  return key.kind === 'digest'
    ? key.digest.slice(0, LOGGED_DIGEST_LENGTH)
    : `(${key.kind})`;
}
