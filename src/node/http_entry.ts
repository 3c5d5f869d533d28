/** HTTP server for callers and for the backend server's announcements. */
import * as http from 'node:http';
import type * as net from 'node:net';

import * as uuid from 'uuid';

import * as fleetView from '../common/control/fleet_view.js';
import * as counterNames from '../common/counter_names.js';
import * as counters from '../common/counters.js';
import * as entryContract from '../common/entry/entry_contract.js';
import * as invariants from '../common/invariants.js';
import * as units from '../common/units.js';
import * as peer from '../generated/peer.js';
import * as bodyReader from './body_reader.js';
import * as callerConnections from './caller_connections.js';
import * as callerHeaders from './caller_headers.js';
import type * as callerMemory from './caller_memory.js';
import * as clock from './clock.js';
import * as connectionLimit from './connection_limit.js';
import * as eventSource from './event_source.js';
import * as headWatch from './head_watch.js';
import * as httpHeaders from './http_headers.js';
import * as idleConnections from './idle_connections.js';
import * as lingeringClose from './lingering_close.js';
import * as refusalResponse from './refusal_response.js';
import * as requestFingerprint from './request_fingerprint.js';
import * as requestIntake from './request_intake.js';
import * as serverAnnouncement from './server_announcement.js';
import * as tcpListener from './tcp_listener.js';
import * as sourceFilter from './source_filter.js';

/** Time allowed for a caller to send the headers of a request. */
const HEADERS_TIMEOUT_MS: units.Millis = 10_000;

/** Time allowed for a caller to send a whole request. */
const REQUEST_TIMEOUT_MS: units.Millis = 30_000;

/** Interval of checks for connections that exceed these times. */
const TIMEOUT_CHECK_INTERVAL_MS: units.Millis = 1_000;

/** Idle time after which a caller's connection is closed. */
const KEEP_ALIVE_TIMEOUT_MS: units.Millis = 60_000;

/** Code of the error of Node.js for a request that is not complete in time. */
const HEAD_OVERDUE = 'ERR_HTTP_REQUEST_TIMEOUT';

/** Largest announcement, in bytes. */
const MAX_ANNOUNCEMENT_BYTES = 4_096;

const NOT_READY_RETRY_AFTER_MS = 1_000;

const FULL_RETRY_AFTER_MS = 100;

/** Listening address of the HTTP server, and limits on what it accepts. */
export interface HttpEntryOptions {
  readonly ip: string;
  readonly port: number;
  readonly maxBodyBytes: number;
  readonly maxHeaderBytes: number;
  /** Maximum number of requests in progress. */
  readonly maxCalls: number;
  /** Memory that callers may take. */
  readonly memory: callerMemory.CallerMemory;
  /** Maximum number of connections. */
  readonly maxConnections: number;
  /** Addresses from which announcements are accepted. */
  readonly serverSources: readonly string[];
}

/** Events of the HTTP port. */
export type HttpEntryEvent =
  | {
      readonly kind: 'caller-request';
      readonly request: entryContract.CallerRequest;
    }
  | {readonly kind: 'caller-gone'; readonly requestId: string}
  | {
      readonly kind: 'announced';
      readonly announcement: serverAnnouncement.ServerAnnouncement;
    };

/** A request that waits for its response. */
interface Exchange {
  readonly req: http.IncomingMessage;
  readonly res: http.ServerResponse;
  /** Request id given by the caller, or this node's own id if the caller gave none. */
  readonly callerRequestId: string;
}

/** The HTTP server of a node. */
export class HttpEntry implements AsyncDisposable {
  private readonly server: http.Server;
  private readonly acceptsServerSource: sourceFilter.SourceFilter;
  private readonly connections: callerConnections.CallerConnections;
  private readonly exchanges = new Map<string, Exchange>();
  private readonly source = new eventSource.EventSource<HttpEntryEvent>();
  private readonly intake = this.makeIntake();
  private idleWaiters: ReadonlyArray<() => void> = [];
  private bodiesInProgress = 0;
  private closing = false;

  /** Requests that were read completely, callers that disconnected, and announcements. */
  readonly events = this.source.stream;

  constructor(
    private readonly options: HttpEntryOptions,
    private readonly view: fleetView.FleetView,
    private readonly fingerprint: requestFingerprint.RequestFingerprint,
    private readonly count: counters.Counters,
  ) {
    this.connections = new callerConnections.CallerConnections({
      memory: options.memory,
      onReset: reason =>
        count.increment(callerConnections.RESET_COUNTERS[reason]),
      onPaused: () => count.increment('callers.paused'),
    });
    this.acceptsServerSource = sourceFilter.createSourceFilter(
      options.serverSources,
    );
    this.server = http.createServer(
      {
        maxHeaderSize: options.maxHeaderBytes,
        headersTimeout: HEADERS_TIMEOUT_MS,
        requestTimeout: REQUEST_TIMEOUT_MS,
        connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
        keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
        noDelay: true,
      },
      (req, res) => this.accept(req, res),
    );
    this.server.on('clientError', (err: NodeJS.ErrnoException, socket) =>
      this.rejectMalformed(err, socket as net.Socket),
    );
    this.connections.watch(this.server);
    this.limitConnections();
  }

  /** Starts accepting connections. */
  async listen(): Promise<void> {
    await tcpListener.listen(this.server, this.options);
  }

  /** Number of requests that have not been answered. */
  get inProgress(): number {
    return this.exchanges.size + this.bodiesInProgress;
  }

  /** Sends a complete answer to a caller; dropped if the caller has disconnected. */
  respond(requestId: string, answer: peer.CallAnswer): void {
    const exchange = this.takeExchange(requestId);
    if (exchange === undefined) return;
    const {req, res, callerRequestId} = exchange;
    const headers: string[] = [];
    for (const {name, value} of answer.headers) headers.push(name, value);
    if (!hasNoBody(req.method ?? '', answer.status)) {
      headers.push('Content-Length', String(answer.body.length));
    }
    headers.push(httpHeaders.REQUEST_ID_HEADER, callerRequestId);
    try {
      this.write(res, answer.status, headers, answer.body);
    } catch {
      this.refuseUnwritable(exchange);
    }
  }

  /** Sends a refusal to a caller; dropped if the caller has disconnected. */
  refuse(
    requestId: string,
    refusal: Pick<peer.CallRefusal, 'reason' | 'outcome' | 'retryAfterMs'>,
  ): void {
    const exchange = this.takeExchange(requestId);
    if (exchange === undefined) return;
    const {res, callerRequestId} = exchange;
    const response = refusalResponse.refusalResponse(refusal, callerRequestId);
    this.write(res, response.status, response.headers, response.body);
  }

  /** Refuses a request whose answer has a status or headers that are not valid HTTP. */
  private refuseUnwritable(exchange: Exchange): void {
    const {res, callerRequestId} = exchange;
    const reason = peer.RefusalReason.BAD_ANSWER;
    this.count.increment(counterNames.refusalCounter(reason));
    const {status, headers, body} = refusalResponse.refusalResponse(
      {reason, outcome: peer.Outcome.RAN, retryAfterMs: 0},
      callerRequestId,
    );
    this.write(res, status, headers, body);
  }

  /** Adds `Connection: close` to answers, so that callers connect elsewhere; still serves them. */
  announceClosing(): void {
    this.closing = true;
  }

  /** Resolves once no request is in progress. */
  waitUntilIdle(): Promise<void> {
    if (this.inProgress === 0) return Promise.resolve();
    return new Promise(resolve => {
      this.idleWaiters = [...this.idleWaiters, resolve];
    });
  }

  private limitConnections(): void {
    const {maxConnections} = this.options;
    const idle = new idleConnections.IdleConnections(this.server);
    headWatch.watchHeads(
      this.server,
      idle,
      () => HEADERS_TIMEOUT_MS,
      socket => this.rejectMalformed({code: HEAD_OVERDUE}, socket),
    );
    connectionLimit.limitConnections(this.server, idle, maxConnections, () =>
      this.count.increment('connection.too-many'),
    );
  }

  private accept(req: http.IncomingMessage, res: http.ServerResponse): void {
    const requestId = uuid.v7();
    const isHandled = this.connections.add(res, () =>
      this.onCallerGone(requestId),
    );
    if (!isHandled) {
      req.resume();
      return;
    }
    if (req.url === serverAnnouncement.ANNOUNCEMENT_PATH) {
      this.acceptAnnouncement(req, res);
      return;
    }
    this.acceptCall(requestId, req, res);
  }

  private acceptAnnouncement(
    req: http.IncomingMessage,
    res: http.ServerResponse,
  ): void {
    if (!this.acceptsServerSource(req.socket.remoteAddress)) {
      this.count.increment('source.rejected');
      this.write(res, 403, [], EMPTY_BODY);
      return;
    }
    bodyReader.readBody(req, MAX_ANNOUNCEMENT_BYTES, read => {
      const announcement =
        read.kind === 'whole' && req.method === 'POST'
          ? serverAnnouncement.parseAnnouncement(read.body)
          : undefined;
      if (announcement === undefined) {
        this.count.increment('malformed.announcement');
        this.write(res, 400, [], EMPTY_BODY);
        return;
      }
      this.source.emit({kind: 'announced', announcement});
      this.write(res, 204, [], EMPTY_BODY);
    });
  }

  private acceptCall(
    requestId: string,
    req: http.IncomingMessage,
    res: http.ServerResponse,
  ): void {
    const callerRequestId = callerHeaders.requestIdOf(req) ?? requestId;
    if (this.inProgress >= this.options.maxCalls) {
      const reason = peer.RefusalReason.NO_ROOM;
      this.refuseUnread(res, callerRequestId, reason);
      return;
    }
    this.bodiesInProgress++;
    bodyReader.readBody(req, this.options.maxBodyBytes, read => {
      this.bodiesInProgress--;
      this.onBodyRead(requestId, {req, res, callerRequestId}, read);
    });
  }

  private onBodyRead(
    requestId: string,
    exchange: Exchange,
    read: bodyReader.ReadBody,
  ): void {
    const {req, res, callerRequestId} = exchange;
    switch (read.kind) {
      case 'cut-short':
        return this.resolveIfIdle();
      case 'too-long':
        return this.refuseUnread(
          res,
          callerRequestId,
          peer.RefusalReason.TOO_LARGE,
        );
      case 'whole':
        if (!this.connections.isOpen(res)) return this.resolveIfIdle();
        this.exchanges.set(requestId, exchange);
        return this.routeRequest(requestId, req, callerRequestId, read.body);
      default:
        return invariants.assertNever(read);
    }
  }

  private routeRequest(
    requestId: string,
    req: http.IncomingMessage,
    callerRequestId: string,
    body: Buffer,
  ): void {
    const method = req.method ?? '';
    const path = req.url ?? '';
    const route = this.view.configuration?.matchRoute(method, path);
    if (route === undefined) {
      const isConfigured = this.view.configuration !== undefined;
      const reason = isConfigured
        ? peer.RefusalReason.NO_ROUTE
        : peer.RefusalReason.NOT_READY;
      return this.refuseNotRun(requestId, reason);
    }
    const fields = callerHeaders.callFields(req);
    if (fields === undefined) {
      this.count.increment('malformed.http');
      return this.refuseNotRun(requestId, peer.RefusalReason.BAD_REQUEST);
    }
    const {service, requestClass} = route;
    const request: entryContract.CallerRequest = {
      requestId,
      service,
      requestClass,
      method,
      path,
      headers: [
        ...httpHeaders.forwardedRequestHeaders(
          req.rawHeaders,
          req.headers.connection,
        ),
        {name: httpHeaders.REQUEST_ID_HEADER, value: callerRequestId},
      ],
      body,
      deadlineMs: fields.deadlineMs ?? requestClass.deadlineMs,
      depth: fields.depth,
      retriesLeft: fields.retriesLeft,
      fingerprint: this.fingerprint.of(service, method, path, body),
    };
    this.intake.add(request);
  }

  private makeIntake(): requestIntake.RequestIntake<entryContract.CallerRequest> {
    return new requestIntake.RequestIntake({
      nowMs: clock.monotonicMs,
      afterPoll: callback => void setImmediate(callback),
      handle: request => {
        if (!this.exchanges.has(request.requestId)) return;
        this.source.emit({kind: 'caller-request', request});
      },
    });
  }

  private refuseNotRun(requestId: string, reason: peer.RefusalReason): void {
    this.count.increment(counterNames.refusalCounter(reason));
    this.refuse(requestId, {
      reason,
      outcome: peer.Outcome.NOT_RUN,
      retryAfterMs: NOT_READY_RETRY_AFTER_MS,
    });
  }

  /** Refuses a request whose body has not been read, and closes the connection. */
  private refuseUnread(
    res: http.ServerResponse,
    callerRequestId: string,
    reason: peer.RefusalReason,
  ): void {
    this.count.increment(counterNames.refusalCounter(reason));
    const {status, headers, body} = refusalResponse.refusalResponse(
      {
        reason,
        outcome: peer.Outcome.NOT_RUN,
        retryAfterMs: FULL_RETRY_AFTER_MS,
      },
      callerRequestId,
    );
    this.write(res, status, headers, body, true);
    this.resolveIfIdle();
  }

  private rejectMalformed(
    {code}: Pick<NodeJS.ErrnoException, 'code'>,
    socket: net.Socket,
  ): void {
    if (lingeringClose.limitLingering(socket)) return;
    // The rest of a request on a connection that is not read cannot arrive.
    if (code === HEAD_OVERDUE && this.connections.isPaused(socket)) return;
    this.count.increment('malformed.http');
    if (!socket.writable) {
      socket.destroy();
      return;
    }
    const incomplete = this.connections.incompleteOn(socket);
    if (incomplete) return this.write(incomplete, 400, [], EMPTY_BODY, true);
    // An answer now would be taken for that of an earlier request.
    if (this.connections.endAfterResponses(socket)) return;
    lingeringClose.endLingering(
      socket,
      'HTTP/1.1 400 Bad Request\r\nConnection: close\r\n\r\n',
    );
  }

  private takeExchange(requestId: string): Exchange | undefined {
    const exchange = this.exchanges.get(requestId);
    this.exchanges.delete(requestId);
    return exchange;
  }

  private onCallerGone(requestId: string): void {
    if (this.takeExchange(requestId) !== undefined) {
      this.source.emit({kind: 'caller-gone', requestId});
    }
    this.resolveIfIdle();
  }

  private write(
    res: http.ServerResponse,
    status: number,
    headers: readonly string[],
    body: Buffer,
    isLast = this.closing,
  ): void {
    if (!this.connections.isOpen(res)) return;
    const closeHeaders =
      isLast && this.connections.endWith(res) ? ['Connection', 'close'] : [];
    res.writeHead(status, [...headers, ...closeHeaders]);
    this.connections.hold(res, body.length);
    res.end(body);
  }

  private resolveIfIdle(): void {
    if (this.inProgress > 0) return;
    const waiters = this.idleWaiters;
    this.idleWaiters = [];
    for (const resolve of waiters) resolve();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    const closed = new Promise<void>(resolve =>
      this.server.close(() => resolve()),
    );
    this.server.closeAllConnections();
    this.source[Symbol.dispose]();
    await closed;
  }
}

const EMPTY_BODY = Buffer.alloc(0);

const NO_CONTENT = 204;

const NOT_MODIFIED = 304;

/** Whether a response has no body, so that no `Content-Length` is added. */
function hasNoBody(method: string, status: number): boolean {
  return method === 'HEAD' || status === NO_CONTENT || status === NOT_MODIFIED;
}
