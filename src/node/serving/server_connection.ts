/** One connection to the backend server, with the request that runs on it. */
import type * as http from 'node:http';

import * as undici from 'undici';

import * as gateCall from '../../common/serving/gate_call.js';
import * as units from '../../common/units.js';
import * as bodyReader from '../body_reader.js';
import * as httpHeaders from '../http_headers.js';
import * as answerMemory from './answer_memory.js';
import * as platformAdapter from './platform_adapter.js';
import * as watchedConnector from './watched_connector.js';

/** Timeout of opening a connection; short, as the backend server is on the same instance. */
const CONNECT_TIMEOUT_MS: units.Millis = 1_000;

/** Idle time until a connection is closed, unless the backend server announces a shorter one. */
const IDLE_TIMEOUT_MS: units.Millis = 8_000;

/**
 * Limit of the parser for headers and for trailers, in bytes of names and values. Beyond it the
 * parser creates an error for each further line that it has read, which takes long for short lines.
 */
const MAX_PARSED_HEADER_BYTES = 512 * 1024;

/**
 * Bytes of an answer that are neither body nor its usual framing: head, informational responses,
 * trailers, chunk extensions. They include up to 128 KiB that the parser has not read yet.
 */
const MAX_OVERHEAD_BYTES = 256 * 1024;

/** Bytes that a byte of the body may take; a chunk of one byte takes six. */
const MAX_BYTES_PER_BODY_BYTE = 8;

/** Informational responses (status 1xx) that may precede an answer. */
const MAX_INFORMATIONAL_RESPONSES = 8;

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
  /** Time from which the request must not be sent any more. */
  readonly deadlineMs: units.MonotonicMs;
}

type AnswerReaderOptions = Pick<
  ServerConnectionOptions,
  'http' | 'answerMemory' | 'nowMs'
>;

/** Dependencies of `ServerConnection`. */
export interface ServerConnectionOptions {
  readonly origin: string;
  readonly http: platformAdapter.HeaderCodec;
  readonly answerMemory: answerMemory.AnswerMemory;
  nowMs(): units.MonotonicMs;
  /** Called when the connection ends, whether idle or in use. */
  onDisconnect(connection: ServerConnection, err: Error): void;
}

/** How a run ended, with the fields of the response headers if any came that can be trusted. */
export interface RunOutcome {
  readonly end: gateCall.RunEnd;
  readonly facts: platformAdapter.AnswerFacts | undefined;
}

/** A connection to the backend server that runs one request at a time. */
export class ServerConnection implements Disposable {
  private readonly client: undici.Client;
  private readonly connector = new watchedConnector.WatchedConnector(
    CONNECT_TIMEOUT_MS,
    bytes => this.reader?.onBytesRead(bytes),
  );
  private reader: AnswerReader | undefined;
  private disposed = false;

  /** End of the last request. */
  lastUsedMs: units.MonotonicMs = 0;

  constructor(private readonly options: ServerConnectionOptions) {
    const {origin, onDisconnect} = options;
    this.client = new undici.Client(origin, {
      pipelining: 1,
      connect: this.connector.connect,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      keepAliveMaxTimeout: IDLE_TIMEOUT_MS,
      maxHeaderSize: MAX_PARSED_HEADER_BYTES,
    });
    this.client.on('disconnect', (unusedOrigin, unusedTargets, err) =>
      onDisconnect(this, err),
    );
  }

  /** Whether the connection was disposed and must not be used again. */
  get isEnded(): boolean {
    return this.disposed;
  }

  /**
   * Sends a request; calls `onEnd` once.
   *
   * @param onHead called for the head of an answer to this request or of a refusal.
   */
  send(
    req: ServerRequest,
    onEnd: (outcome: RunOutcome) => void,
    onHead: (facts: platformAdapter.AnswerFacts) => void = () => undefined,
  ): void {
    this.connector.startAnswer();
    this.reader = new AnswerReader(
      req,
      this.options,
      this.connector,
      onEnd,
      onHead,
    );
    this.client.dispatch(
      {
        method: req.method as undici.Dispatcher.HttpMethod,
        path: req.target,
        headers: [...req.headers],
        body: req.body.length === 0 ? null : req.body,
      },
      this.reader,
    );
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
  private informationalCount = 0;
  private bodyBytes = 0;
  private controller: undici.Dispatcher.DispatchController | undefined;
  private allocation: answerMemory.AnswerAllocation | undefined;

  constructor(
    private readonly req: ServerRequest,
    private readonly options: AnswerReaderOptions,
    private readonly connection: Pick<
      watchedConnector.WatchedConnector,
      'socketError' | 'isFirstAnswer'
    >,
    private readonly onEnd: (outcome: RunOutcome) => void,
    private readonly onHead: (facts: platformAdapter.AnswerFacts) => void,
  ) {}

  onRequestStart(controller: undici.Dispatcher.DispatchController): void {
    // Opening the connection may have taken longer than the request's time.
    if (this.options.nowMs() >= this.req.deadlineMs) {
      controller.abort(new Error('deadline has passed'));
      return;
    }
    this.sent = true;
    this.controller = controller;
  }

  /** Ends an answer most of whose bytes are no body; `bytes` is the number read for it. */
  onBytesRead(bytes: number): void {
    if (this.done || this.fault !== undefined || !this.controller) return;
    const framingBytes = bytes - MAX_BYTES_PER_BODY_BYTE * this.bodyBytes;
    if (framingBytes <= MAX_OVERHEAD_BYTES) return;
    this.reject('too many bytes besides the body', this.controller);
  }

  onResponseStart(
    controller: undici.Dispatcher.DispatchController,
    status: number,
    headers: http.IncomingHttpHeaders,
    reason = '',
  ): void {
    if (status < FIRST_FINAL_STATUS) {
      this.informationalCount++;
      if (this.informationalCount > MAX_INFORMATIONAL_RESPONSES) {
        this.reject('too many informational responses', controller);
      }
      return;
    }
    this.status = status;
    this.headers = headers;
    const facts = this.options.http.readAnswer(status, headers);
    const fault = httpHeaders.isJoinedHead(reason, headers)
      ? 'heads of two answers'
      : this.findFault(facts);
    if (fault !== undefined) return this.reject(fault, controller);
    this.facts = facts;
    this.onHead(facts);
    this.allocation = this.options.answerMemory.allocate(() =>
      this.reject('answer too large', controller),
    );
  }

  onResponseData(
    unusedController: undici.Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    if (this.fault !== undefined) return;
    this.chunks.push(chunk);
    this.bodyBytes += chunk.length;
    this.allocation?.add(chunk.length);
  }

  onResponseEnd(): void {
    const err = this.connection.socketError;
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
    const malformed =
      err instanceof undici.errors.HTTPParserError ||
      err instanceof undici.errors.HeadersOverflowError ||
      err instanceof undici.errors.ResponseContentLengthMismatchError;
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
      return this.findRefusalFault(facts.requestId);
    }
    if (facts.requestId !== this.req.requestId) {
      return 'answer to another request';
    }
    if (this.headers['content-encoding'] !== undefined) return 'encoded body';
    // When the connection delimits the body, a truncated body looks complete.
    if (!httpHeaders.isDelimited(this.status, this.headers)) {
      return 'body without length';
    }
    const length = Number(headerText(this.headers['content-length']) ?? 0);
    if (length > this.options.answerMemory.maxBytes) return 'answer too large';
    const isSuccess = this.status < FIRST_REDIRECT_STATUS;
    return isSuccess && !facts.sealed
      ? 'success without server seal'
      : undefined;
  }

  /**
   * Returns why a refusal may not be one of this request, if so. Servers name the request; on a
   * used connection, a refusal without a name may be a copy of an earlier one.
   */
  private findRefusalFault(requestId: string | undefined): string | undefined {
    if (requestId === this.req.requestId) return undefined;
    if (requestId !== undefined) return 'refusal of another request';
    return this.connection.isFirstAnswer
      ? undefined
      : 'refusal without request id on a used connection';
  }

  private reject(
    fault: string,
    controller: undici.Dispatcher.DispatchController,
  ): void {
    this.fault = fault;
    this.chunks.length = 0;
    controller.abort(new Error(fault));
  }

  private finish(end: gateCall.RunEnd): void {
    if (this.done) return;
    this.done = true;
    this.allocation?.release();
    // The client must not be used or closed inside its own callbacks.
    queueMicrotask(() => this.onEnd({end, facts: this.facts}));
  }
}

function headerText(value: string | string[] | undefined): string | undefined {
  return Array.isArray(value) ? value.join(',') : value;
}
