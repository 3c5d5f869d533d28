/** One connection to the backend server; it carries one request at a time. */
import type * as http from 'node:http';

import * as undici from 'undici';

import * as gateContract from '../common/gate/gate_contract.js';
import * as units from '../common/units.js';
import * as peer from '../generated/peer.js';
import * as httpHeaders from './http_headers.js';

/** Time allowed to open a connection. */
const CONNECT_TIMEOUT_MS: units.Millis = 1_000;

/** Idle time after which a connection is closed. */
export const IDLE_TIMEOUT_MS: units.Millis = 20_000;

const STATUS_UNAVAILABLE = 503;
const NOT_RUN_OUTCOME = 'not-run';

/** A request to the backend server. */
export interface ServerRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: readonly peer.Header[];
  readonly body: Buffer;
}

/** Result of a run. */
export type RunResult =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly headers: readonly peer.Header[];
      readonly body: Buffer;
    }
  | {
      readonly kind: 'failed';
      readonly failure: gateContract.ServerFailure;
      /** Whether the backend server's port refused the connection. */
      readonly refused: boolean;
    };

/** Origin of the backend server, and limits on its answers. */
export interface ServerConnectionOptions {
  readonly origin: string;
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
}

/** An HTTP connection to the backend server, kept alive between requests. */
export class ServerConnection implements Disposable {
  private readonly client: undici.Client;
  private destroyed = false;

  /** When the last request ended, undefined before the first. */
  lastUsedMs: units.MonotonicMs | undefined;

  constructor(
    options: ServerConnectionOptions,
    /** Called when an idle connection has ended. */
    onDisconnect: (connection: ServerConnection) => void,
  ) {
    this.client = new undici.Client(options.origin, {
      pipelining: 1,
      connect: {timeout: CONNECT_TIMEOUT_MS, noDelay: true},
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      keepAliveMaxTimeout: IDLE_TIMEOUT_MS,
      maxHeaderSize: options.maxHeaderBytes,
      maxResponseSize: options.maxBodyBytes,
    });
    this.client.on('disconnect', () => onDisconnect(this));
  }

  /** Whether the connection must not be used again. */
  get ended(): boolean {
    return this.destroyed;
  }

  /** Sends a request and calls `onEnd` once with its result. */
  run(request: ServerRequest, onEnd: (result: RunResult) => void): void {
    const headers: string[] = [];
    for (const {name, value} of request.headers) headers.push(name, value);
    this.client.dispatch(
      {
        method: request.method as undici.Dispatcher.HttpMethod,
        path: request.path,
        headers,
        body: request.body.length === 0 ? null : request.body,
      },
      new RunHandler(request, onEnd),
    );
  }

  /** Closes the connection at once; a request in progress fails. */
  [Symbol.dispose](): void {
    if (this.destroyed) return;
    this.destroyed = true;
    void this.client.destroy();
  }
}

/** Collects the answer to one request. */
class RunHandler implements undici.Dispatcher.DispatchHandler {
  private readonly chunks: Buffer[] = [];
  private requestStarted = false;
  private status = 0;
  private headers: http.IncomingHttpHeaders = {};
  private responseStarted = false;
  private done = false;

  constructor(
    private readonly request: ServerRequest,
    private readonly onEnd: (result: RunResult) => void,
  ) {}

  onRequestStart(): void {
    this.requestStarted = true;
  }

  onResponseStart(
    controller: undici.Dispatcher.DispatchController,
    status: number,
    headers: http.IncomingHttpHeaders,
    reason = '',
  ): void {
    if (status < 200) return;
    this.responseStarted = true;
    this.status = status;
    this.headers = headers;
    const isDelimited =
      this.request.method === 'HEAD' ||
      httpHeaders.isDelimited(status, headers);
    const isJoined = httpHeaders.isJoinedHead(reason, headers);
    if (!this.matchesRequestId(headers) || !isDelimited || isJoined) {
      controller.abort(new Error('answer cannot be relayed'));
    }
  }

  onResponseData(
    unusedController: undici.Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    this.chunks.push(chunk);
  }

  onResponseEnd(): void {
    const body = Buffer.concat(this.chunks);
    const failure = this.shedFailure();
    if (failure) {
      this.finish({kind: 'failed', failure, refused: false});
      return;
    }
    this.finish({
      kind: 'answered',
      status: this.status,
      headers: httpHeaders.forwardedAnswerHeaders(
        httpHeaders.toRawHeaders(this.headers),
        this.headers.connection,
      ),
      body,
    });
  }

  onResponseError(
    unusedController: undici.Dispatcher.DispatchController,
    err: Error,
  ): void {
    const refused = (err as NodeJS.ErrnoException).code === 'ECONNREFUSED';
    this.finish({kind: 'failed', failure: this.toFailure(err), refused});
  }

  private toFailure(err: Error): gateContract.ServerFailure {
    if (!this.requestStarted) return {kind: 'not-sent'};
    const malformed = err instanceof undici.errors.HTTPParserError;
    return {kind: this.responseStarted || malformed ? 'bad-answer' : 'broken'};
  }

  private finish(result: RunResult): void {
    if (this.done) return;
    this.done = true;
    this.onEnd(result);
  }

  /** Whether the answer is for this request; another request id makes it another caller's. */
  private matchesRequestId(headers: http.IncomingHttpHeaders): boolean {
    const name = httpHeaders.REQUEST_ID_HEADER;
    const answeredId = headers[name.toLowerCase()];
    const sent = httpHeaders.findHeader(this.request.headers, name);
    return answeredId === undefined || answeredId === sent;
  }

  private shedFailure(): gateContract.ServerFailure | undefined {
    if (this.status !== STATUS_UNAVAILABLE) return undefined;
    const find = (name: string) => this.headers[name.toLowerCase()];
    if (find(httpHeaders.OUTCOME_HEADER) !== NOT_RUN_OUTCOME) return undefined;
    const retryAfterMs = Number(
      find(httpHeaders.RETRY_AFTER_MS_HEADER) ??
        Number(find('Retry-After') ?? 0) * units.MS_PER_SECOND,
    );
    return {
      kind: 'shed',
      retryAfterMs: Number.isFinite(retryAfterMs) ? retryAfterMs : 0,
    };
  }
}
