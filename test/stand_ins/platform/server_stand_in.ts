/** Stand-in for a backend server of the platform: records runs and injects faults on demand. */
import * as http from 'node:http';
import type * as net from 'node:net';

/** How the stand-in answers requests; health checks are answered in every mode. */
export type ServerMode =
  | {readonly kind: 'ok'; readonly workMs: number; readonly bodyBytes?: number}
  /** Answers as `ok`, with work that depends on the request. */
  | {
      readonly kind: 'varied';
      readonly workOf: (received: ReceivedRequest) => ServerWork;
    }
  /** Answers as `ok`, then sends a copy of the answer `delayMs` later on the same connection. */
  | {readonly kind: 'twice'; readonly workMs: number; readonly delayMs: number}
  /** Refuses the request unrun with status 503. */
  | {readonly kind: 'shed'}
  /**
   * On each connection, answers the first request and refuses the second; before it answers a later
   * one, `workMs` after its start, it writes the refusal once more.
   */
  | {
      readonly kind: 'refuses-again';
      readonly workMs: number;
      /** Whether refusals name their request, as those of proper servers do. */
      readonly named: boolean;
    }
  /** Answers as `ok`; beside `maxRunning` requests, resets the connection of a further one. */
  | {
      readonly kind: 'resets-full';
      readonly workMs: number;
      readonly maxRunning: number;
    }
  /** Runs the request, then resets the connection. */
  | {readonly kind: 'answer-lost'}
  /** Closes the connection before the body is complete. */
  | {readonly kind: 'cut'}
  /** Closes the connection before the head is complete. */
  | {readonly kind: 'cut-head'}
  /** Writes the start of a success, then the whole answer of a failure. */
  | {readonly kind: 'joined-heads'}
  /** Answers without a length, then closes the connection. */
  | {readonly kind: 'unframed'}
  /** Answers with the id of another request. */
  | {readonly kind: 'foreign'}
  /** Answers without the `Server-Seal` header. */
  | {readonly kind: 'unsealed'}
  /** Answers before the request body has arrived. */
  | {readonly kind: 'early'}
  /** Runs the request and never answers. */
  | {readonly kind: 'hang'}
  /** Runs the request and answers with bytes without end, until the connection closes. */
  | {readonly kind: 'endless'; readonly part: 'head' | 'body'}
  /** Runs the request and answers with status 500. */
  | {readonly kind: 'error'};

/** Work of a request. */
export interface ServerWork {
  readonly workMs: number;
  /** Bytes before the text of the answer. */
  readonly paddingBytes: number;
}

/** A request as the backend server received it. */
export interface ReceivedRequest {
  readonly requestId: string;
  readonly method: string;
  readonly target: string;
  readonly body: string;
  readonly headers: http.IncomingHttpHeaders;
}

/** The backend server as an HTTP server. */
export class ServerStandIn implements AsyncDisposable {
  mode: ServerMode = {kind: 'ok', workMs: 0};
  pacePercent = 100;
  /** Version that announcements state. */
  version = 'v1';
  coldLeftMs = 0;
  /** Rate limit that answers to requests name, undefined for none. */
  limit: string | undefined;
  /** Whether answers to requests state that this incarnation leaves. */
  statesLeaving = false;
  /** Whether health checks state the limit and the leaving too. */
  statesInHealth = false;
  /** Whether health checks pass although this incarnation leaves. */
  leavesHealthy = false;
  /** Whether it sends no announcements any more, as it has deregistered. */
  deregistered = false;
  /** Incarnation that has stated that it leaves; its health checks fail. */
  private leavingId: string | undefined;
  readonly runs: ReceivedRequest[] = [];
  /** Ids of requests whose connection closed while they ran. */
  readonly cancelled: string[] = [];
  running = 0;
  /** Called for each request that runs. */
  onRun: (received: ReceivedRequest) => void = () => undefined;
  /** Called when the server answers a request, and when a connection closes. */
  onRunEnd: (received: ReceivedRequest, how: 'answered' | 'cut') => void = () =>
    undefined;
  private readonly requestCounts = new WeakMap<net.Socket, number>();
  private readonly refusals = new WeakMap<net.Socket, string>();
  private sequence = 0;
  private address = '';
  private readonly server = http.createServer((req, res) =>
    this.accept(req, res),
  );

  constructor(
    readonly service: string,
    readonly dataCentre: string,
    public instanceId: string,
    public startMs = Date.now(),
  ) {}

  /**
   * Listens on 127.0.0.1 and returns the address as `IP:PORT`. Port 0 selects a free port; the port
   * of an earlier incarnation reuses its address.
   */
  async listen(port = 0): Promise<string> {
    await new Promise<void>(resolve =>
      this.server.listen(port, '127.0.0.1', resolve),
    );
    const bound = this.server.address() as net.AddressInfo;
    this.address = `127.0.0.1:${bound.port}`;
    return this.address;
  }

  /** Announces another address from now on, such as that of a relay. */
  advertise(address: string): void {
    this.address = address;
  }

  /** Announces this server to the node at `control`; returns the HTTP status of the answer. */
  announce(
    control: string,
    state: 'ready' | 'draining' = 'ready',
  ): Promise<number> {
    return this.prepareAnnouncement(control, state)();
  }

  /** Makes an announcement now and returns a function that sends it, maybe much later. */
  prepareAnnouncement(
    control: string,
    state: 'ready' | 'draining' = 'ready',
  ): () => Promise<number> {
    const {service, dataCentre: zone} = this;
    if (state === 'draining') this.leavingId = this.instanceId;
    const isLeaving = this.leavingId === this.instanceId;
    const body = {
      address: this.address,
      born: this.startMs,
      node_info: {service, version: this.version, zone, slot_count: 10},
      status: {
        state: isLeaving ? 'draining' : state,
        sequence: ++this.sequence,
        cold_left_s: this.coldLeftMs / 1_000,
      },
    };
    const url = `http://${control}/Instances.Heartbeat/${this.instanceId}`;
    return () => post(url, body);
  }

  /** Leaves without having announced it; returns the HTTP status of the node's answer. */
  deregister(control: string): Promise<number> {
    this.leavingId = this.instanceId;
    this.deregistered = true;
    const url = `http://${control}/Instances.Deregister/${this.instanceId}`;
    return post(url, {born: this.startMs});
  }

  /** Starts again under the same instance id, as a new incarnation at the same address. */
  startAgain(): void {
    this.startMs = Date.now();
    this.sequence = 0;
    this.leavingId = undefined;
    this.deregistered = false;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    const closed = new Promise<void>(resolve =>
      this.server.close(() => resolve()),
    );
    this.server.closeAllConnections();
    await closed;
  }

  private accept(req: http.IncomingMessage, res: http.ServerResponse): void {
    if (this.mode.kind === 'early') {
      req.resume();
      this.answer(req, res, Buffer.alloc(0));
      return;
    }
    const chunks: Buffer[] = [];
    req.on('data', (chunk: Buffer) => chunks.push(chunk));
    req.on('end', () => this.answer(req, res, Buffer.concat(chunks)));
  }

  private answer(
    req: http.IncomingMessage,
    res: http.ServerResponse,
    body: Buffer,
  ): void {
    res.setHeader('Server-Load', `${this.running},0,10,${this.pacePercent}`);
    if (req.url !== '/healthz' || this.statesInHealth) this.state(res);
    if (req.url === '/healthz') {
      res.setHeader('Instance-Id', this.instanceId);
      res.setHeader('Cold-Ms', String(this.coldLeftMs));
      const isLeaving = this.leavingId === this.instanceId;
      res.writeHead(isLeaving && !this.leavesHealthy ? 503 : 200);
      res.end();
      return;
    }
    const {mode} = this;
    const requestId = String(req.headers['request-id']);
    if (mode.kind !== 'refuses-again' || mode.named) {
      res.setHeader('Request-Id', requestId);
    }
    if (req.headers['expect-instance'] !== this.instanceId) {
      res.writeHead(421, {'Instance-Id': this.instanceId, 'Not-Executed': '1'});
      res.end();
      return;
    }
    if (mode.kind === 'shed') {
      res.writeHead(503, {'Not-Executed': '1'});
      res.end();
      return;
    }
    if (mode.kind === 'resets-full' && this.running >= mode.maxRunning) {
      req.socket.resetAndDestroy();
      return;
    }
    if (mode.kind === 'refuses-again' && this.refusesAgain(req, res, mode)) {
      return;
    }
    this.run(req, res, body);
  }

  /** Refuses the second request of a connection; writes the refusal again for a later one. */
  private refusesAgain(
    {socket, headers}: http.IncomingMessage,
    res: http.ServerResponse,
    {named}: {readonly named: boolean},
  ): boolean {
    const count = (this.requestCounts.get(socket) ?? 0) + 1;
    this.requestCounts.set(socket, count);
    if (count === 2) {
      const name = named
        ? `Request-Id: ${String(headers['request-id'])}\r\n`
        : '';
      this.refusals.set(
        socket,
        `HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n${name}Content-Length: 0\r\n\r\n`,
      );
      res.writeHead(503, {'Not-Executed': '1'});
      res.end();
      return true;
    }
    const refusal = this.refusals.get(socket);
    if (refusal !== undefined) socket.write(refusal);
    return false;
  }

  private state(res: http.ServerResponse): void {
    if (this.limit !== undefined) res.setHeader('Server-Limit', this.limit);
    if (this.statesLeaving) res.setHeader('Server-Leaving', '1');
  }

  private run(
    req: http.IncomingMessage,
    res: http.ServerResponse,
    body: Buffer,
  ): void {
    const requestId = String(req.headers['request-id']);
    const {method = '', url: target = '', headers} = req;
    const received = {
      requestId,
      method,
      target,
      body: body.toString(),
      headers,
    };
    this.runs.push(received);
    this.onRun(received);
    this.running++;
    res.on('close', () => {
      this.running--;
      if (res.writableEnded) return;
      this.cancelled.push(requestId);
      this.onRunEnd(received, 'cut');
    });
    res.setHeader('Request-Id', requestId);
    res.setHeader('Server-Seal', `seal-${this.instanceId}`);
    this.reply(req, res, received);
  }

  private reply(
    req: http.IncomingMessage,
    res: http.ServerResponse,
    received: ReceivedRequest,
  ): void {
    const {mode} = this;
    const {requestId} = received;
    const text = `${this.instanceId}:${requestId}`;
    switch (mode.kind) {
      case 'ok':
      case 'resets-full':
      case 'refuses-again': {
        const {workMs} = mode;
        const {bodyBytes = 0} = mode.kind === 'ok' ? mode : {};
        this.answerAfter(res, received, workMs, text.padEnd(bodyBytes, '.'));
        return;
      }
      case 'varied': {
        const {workMs, paddingBytes} = mode.workOf(received);
        const padding = 'x'.repeat(paddingBytes);
        this.answerAfter(res, received, workMs, padding + text);
        return;
      }
      case 'twice':
        setTimeout(() => res.end(text), mode.workMs);
        setTimeout(
          () => writeCopy(req.socket, requestId, text),
          mode.workMs + mode.delayMs,
        );
        return;
      case 'shed':
      case 'hang':
        return;
      case 'answer-lost':
        req.socket.resetAndDestroy();
        return;
      case 'cut':
        res.setHeader('Content-Length', String(text.length + 50));
        res.write(text);
        setTimeout(() => req.socket.destroy(), 5);
        return;
      case 'cut-head':
        req.socket.end(`HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nSer`);
        return;
      case 'joined-heads':
        req.socket.write('HTTP/1.1 200 ');
        res.writeHead(500);
        res.end(text);
        return;
      case 'unframed':
        res.removeHeader('Server-Load');
        req.socket.end(
          'HTTP/1.1 200 OK\r\nConnection: close\r\n' +
            `Request-Id: ${requestId}\r\n` +
            `Server-Seal: s\r\n\r\n${text}`,
        );
        return;
      case 'early':
        res.end(text);
        return;
      case 'foreign':
        res.setHeader('Request-Id', 'another');
        res.end(text);
        return;
      case 'unsealed':
        res.removeHeader('Server-Seal');
        res.end(text);
        return;
      case 'endless':
        res.on('error', () => undefined);
        writeEndlessly(req.socket, requestId, mode.part);
        return;
      case 'error':
        res.writeHead(500);
        res.end(text);
        return;
    }
  }

  private answerAfter(
    res: http.ServerResponse,
    received: ReceivedRequest,
    workMs: number,
    text: string,
  ): void {
    setTimeout(() => {
      this.onRunEnd(received, 'answered');
      res.end(text);
    }, workMs);
  }
}

function writeCopy(socket: net.Socket, requestId: string, text: string): void {
  if (socket.destroyed) return;
  socket.write(
    `HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nServer-Seal: s\r\n` +
      `Content-Length: ${text.length}\r\n\r\n${text}`,
  );
}

const ENDLESS_PIECE = 'x'.repeat(16 * 1024);

function writeEndlessly(
  socket: net.Socket,
  requestId: string,
  part: 'head' | 'body',
): void {
  socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\n`);
  const isBody = part === 'body';
  const start = 'Server-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n';
  if (isBody) socket.write(start);
  const piece = isBody
    ? `${ENDLESS_PIECE.length.toString(16)}\r\n${ENDLESS_PIECE}\r\n`
    : 'Padding: x\r\n'.repeat(1_000);
  const write = (): void => {
    while (!socket.destroyed && socket.write(piece));
  };
  socket.on('drain', write);
  write();
}

async function post(url: string, body: object): Promise<number> {
  const res = await fetch(url, {method: 'POST', body: JSON.stringify(body)});
  await res.arrayBuffer();
  return res.status;
}
