/** One connection to the backend server, with the request that runs on it. */
import type * as http from 'node:http';

import * as undici from 'undici';

import * as gateCall from '../../common/serving/gate_call.js';
import * as units from '../../common/units.js';
import * as bodyReader from '../body_reader.js';
import * as httpHeaders from '../http_headers.js';
import * as platformAdapter from './platform_adapter.js';

/** Timeout of opening a connection; short, as the backend server is on the same instance. */
const CONNECT_TIMEOUT_MS: units.Millis = 1_000;

/** Idle time until a connection is closed, unless the backend server announces a shorter one. */
const IDLE_TIMEOUT_MS: units.Millis = 8_000;

/** Limit of the response headers in bytes. */
const MAX_HEADER_BYTES = 64 * 1024;

const FIRST_FINAL_STATUS = 200;
const FIRST_REDIRECT_STATUS = 300;

/** A request for the backend server. */
export interface ServerRequest {
  readonly requestId: string;
  readonly method: string;
  readonly target: string;
  /** Alternating names and values. */
  readonly headers: readonly string[];
  readonly body: Buffer;
}

/** How a run ended, with the fields of the response headers if any came. */
export interface RunOutcome {
  readonly end: gateCall.RunEnd;
  readonly facts: platformAdapter.AnswerFacts | undefined;
}

/** A connection to the backend server that runs one request at a time. */
export class ServerConnection implements Disposable {
  private readonly client: undici.Client;
  private readonly connector = undici.buildConnector({
    timeout: CONNECT_TIMEOUT_MS,
  });
  private disposed = false;
  private socketError: Error | undefined;

  /** End of the last request. */
  lastUsedMs: units.MonotonicMs = 0;

  constructor(
    origin: string,
    private readonly http: platformAdapter.HeaderCodec,
    /** Called when the connection ends, whether idle or in use. */
    onDisconnect: (connection: ServerConnection, err: Error) => void,
  ) {
    this.client = new undici.Client(origin, {
      pipelining: 1,
      connect: (options, callback) => this.openSocket(options, callback),
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      keepAliveMaxTimeout: IDLE_TIMEOUT_MS,
      maxHeaderSize: MAX_HEADER_BYTES,
    });
    this.client.on('disconnect', (unusedOrigin, unusedTargets, err) =>
      onDisconnect(this, err),
    );
  }

  /** Whether the connection was disposed and must not be used again. */
  get isEnded(): boolean {
    return this.disposed;
  }

  /** Sends a request; calls `onEnd` once. */
  send(req: ServerRequest, onEnd: (outcome: RunOutcome) => void): void {
    this.client.dispatch(
      {
        method: req.method as undici.Dispatcher.HttpMethod,
        path: req.target,
        headers: [...req.headers],
        body: req.body.length === 0 ? null : req.body,
      },
      new AnswerReader(req.requestId, this.http, () => this.socketError, onEnd),
    );
  }

  /** Records socket errors: the client may report a response as complete after a reset. */
  private openSocket(
    options: undici.buildConnector.Options,
    callback: undici.buildConnector.Callback,
  ): void {
    this.connector(options, (err, socket) => {
      // Typed as null, but the connector passes undefined after a failure.
      if (socket == null) return callback(err, null);
      socket.prependListener('error', cause => {
        this.socketError = cause;
      });
      callback(null, socket);
    });
  }

  [Symbol.dispose](): void {
    if (this.disposed) return;
    this.disposed = true;
    void this.client.destroy();
  }
}

/** Reads one response and checks that it is complete and belongs to its request. */
class AnswerReader implements undici.Dispatcher.DispatchHandler {
  private readonly chunks: Buffer[] = [];
  private sent = false;
  private status = 0;
  private headers: http.IncomingHttpHeaders = {};
  private facts: platformAdapter.AnswerFacts | undefined;
  private fault: string | undefined;
  private done = false;

  constructor(
    private readonly requestId: string,
    private readonly http: platformAdapter.HeaderCodec,
    private readonly socketError: () => Error | undefined,
    private readonly onEnd: (outcome: RunOutcome) => void,
  ) {}

  onRequestStart(): void {
    this.sent = true;
  }

  onResponseStart(
    controller: undici.Dispatcher.DispatchController,
    status: number,
    headers: http.IncomingHttpHeaders,
  ): void {
    if (status < FIRST_FINAL_STATUS) return;
    this.status = status;
    this.headers = headers;
    this.facts = this.http.readAnswer(status, headers);
    this.fault = this.findFault(this.facts);
    if (this.fault !== undefined) controller.abort(new Error(this.fault));
  }

  onResponseData(
    unusedController: undici.Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    this.chunks.push(chunk);
  }

  onResponseEnd(): void {
    const err = this.socketError();
    this.finish(
      err === undefined
        ? this.completedEnd()
        : {kind: 'bad-answer', detail: err.message},
    );
  }

  onResponseError(
    unusedController: undici.Dispatcher.DispatchController,
    err: Error,
  ): void {
    if (this.fault !== undefined) {
      return this.finish({kind: 'bad-answer', detail: this.fault});
    }
    if (!this.sent) return this.finish({kind: 'not-sent'});
    const cutShort = this.facts !== undefined;
    const malformed = err instanceof undici.errors.HTTPParserError;
    this.finish(
      cutShort || malformed
        ? {kind: 'bad-answer', detail: err.message}
        : {kind: 'broken'},
    );
  }

  private completedEnd(): gateCall.RunEnd {
    const {facts, status} = this;
    if (facts?.misdirected) {
      return {kind: 'misdirected', instanceId: facts.instanceId};
    }
    if (facts?.notRun) return {kind: 'shed', status};
    const body = bodyReader.concatChunks(this.chunks);
    const headers = httpHeaders.endToEndHeaders(
      httpHeaders.toRawHeaders(this.headers),
      headerText(this.headers.connection),
    );
    return {kind: 'answered', answer: {status, headers, body}};
  }

  /** Returns why a response is not a complete answer to this request, if so. */
  private findFault(facts: platformAdapter.AnswerFacts): string | undefined {
    if (facts.misdirected || facts.notRun) {
      const foreign =
        facts.requestId !== undefined && facts.requestId !== this.requestId;
      return foreign ? 'refusal of another request' : undefined;
    }
    if (facts.requestId !== this.requestId) return 'answer to another request';
    if (this.headers['content-encoding'] !== undefined) return 'encoded body';
    // When the connection delimits the body, a truncated body looks complete.
    if (!httpHeaders.isDelimited(this.status, this.headers)) {
      return 'body without length';
    }
    const isSuccess = this.status < FIRST_REDIRECT_STATUS;
    return isSuccess && !facts.sealed
      ? 'success without server seal'
      : undefined;
  }

  private finish(end: gateCall.RunEnd): void {
    if (this.done) return;
    this.done = true;
    // The client must not be used or closed inside its own callbacks.
    queueMicrotask(() => this.onEnd({end, facts: this.facts}));
  }
}

function headerText(value: string | string[] | undefined): string | undefined {
  return Array.isArray(value) ? value.join(',') : value;
}
