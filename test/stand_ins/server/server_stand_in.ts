/** Stand-in for a backend server, with slots, cold start and faults on demand. */
import * as crypto from 'node:crypto';
import * as http from 'node:http';
import type * as net from 'node:net';

import * as announcer from './announcer.js';
import * as runRecord from './run_record.js';
import * as serverMode from './server_mode.js';

const CRASH_HEADER = 'x-stand-in-crash';
const REQUEST_ID_HEADER = 'geraniumloft-request-id';
const DEADLINE_HEADER = 'geraniumloft-deadline-ms';

/** Exit status after a crash on demand. */
const CRASH_STATUS = 70;

/** A request whose body has been read; times are of `performance.now()`. */
interface Job {
  readonly req: http.IncomingMessage;
  readonly res: http.ServerResponse;
  readonly body: Buffer;
  readonly receivedMs: number;
  readonly expiresAtMs: number;
}

/** Number of running requests at a time. */
interface LoadSample {
  readonly atMs: number;
  readonly inFlight: number;
}

/** The backend server as an HTTP server. */
export class ServerStandIn implements AsyncDisposable {
  private readonly server = http.createServer(
    (req, res) => void this.handle(req, res),
  );
  private readonly record = new runRecord.RunRecord();
  private readonly queue: Job[] = [];
  private readonly samples: LoadSample[] = [];
  private readonly startedMs = performance.now();
  private readonly processId = crypto.randomUUID();
  private announcer: announcer.Announcer | undefined;
  private running = 0;

  constructor(private mode: serverMode.ServerMode) {}

  /** Listens on 127.0.0.1 and returns the port; 0 selects a free port. */
  async listen(port: number): Promise<number> {
    this.server.keepAliveTimeout = 60_000;
    await new Promise<void>(resolve =>
      this.server.listen(port, '127.0.0.1', resolve),
    );
    return this.port;
  }

  /** Starts announcing this server to a node, and repeats it until disposed. */
  announceTo(ip: string, port: number): void {
    this.announcer = new announcer.Announcer({ip, port}, () => ({
      state: this.mode.announce,
      ip: '127.0.0.1',
      port: this.port,
      slots: this.mode.slots,
      processId: this.processId,
    }));
    this.announcer.start();
  }

  setMode(change: Partial<serverMode.ServerMode>): void {
    this.mode = {...this.mode, ...change};
    this.announcer?.announce();
  }

  /** Run counts so far. */
  get runs(): runRecord.RunCounts {
    return this.record.counts();
  }

  private get port(): number {
    return (this.server.address() as net.AddressInfo).port;
  }

  private async handle(
    req: http.IncomingMessage,
    res: http.ServerResponse,
  ): Promise<void> {
    const chunks: Buffer[] = [];
    req.on('error', () => undefined);
    try {
      for await (const chunk of req) chunks.push(chunk as Buffer);
    } catch {
      return;
    }
    const body = Buffer.concat(chunks);
    if (req.url?.startsWith('/.stand-in/')) return this.control(req, res, body);
    if (req.url === '/load') return this.reportLoad(res);
    const deadlineMs = Number(req.headers[DEADLINE_HEADER] ?? Infinity);
    this.record.lastDeadlineMs = deadlineMs;
    const receivedMs = performance.now();
    const expiresAtMs = receivedMs + deadlineMs;
    this.admit({req, res, body, receivedMs, expiresAtMs});
  }

  private control(
    req: http.IncomingMessage,
    res: http.ServerResponse,
    body: Buffer,
  ): void {
    if (req.url === '/.stand-in/mode') {
      this.setMode(JSON.parse(body.toString()) as serverMode.ServerMode);
    }
    const answer =
      req.url === '/.stand-in/runs' ? this.record.counts() : this.mode;
    res.end(JSON.stringify(answer));
  }

  private reportLoad(res: http.ServerResponse): void {
    const {loadLagMs, reportedInFlight} = this.mode;
    const untilMs = performance.now() - loadLagMs;
    const old = this.samples.findLast(s => s.atMs <= untilMs)?.inFlight ?? 0;
    const inFlight = reportedInFlight < 0 ? old : reportedInFlight;
    res.end(JSON.stringify({inFlight}));
  }

  private admit(job: Job): void {
    if (job.req.headers[CRASH_HEADER] !== undefined) {
      this.begin(job);
      process.exit(CRASH_STATUS);
    }
    if (this.mode.shed) return this.shedUnrun(job.res);
    if (this.mode.failFast) {
      this.begin(job);
      job.res.writeHead(500).end('failed');
      return;
    }
    if (this.running >= this.mode.slots) this.queue.push(job);
    else this.start(job);
  }

  private shedUnrun(res: http.ServerResponse): void {
    res.writeHead(503, {
      'Geraniumloft-Outcome': 'not-run',
      'Geraniumloft-Retry-After-Ms': '50',
      'Content-Length': '0',
    });
    res.end();
  }

  private start(job: Job): void {
    this.running++;
    this.recordLoad();
    const runs = this.begin(job);
    const timer = this.mode.silent
      ? undefined
      : setTimeout(() => this.finish(job, runs), this.serviceMs());
    let open = true;
    job.res.once('close', () => {
      if (!open) return;
      open = false;
      clearTimeout(timer);
      if (!job.res.writableFinished) this.record.cancelled++;
      this.release();
    });
  }

  private begin(job: Job): number {
    const id = job.req.headers[REQUEST_ID_HEADER] ?? '';
    return this.record.begin(String(id));
  }

  private serviceMs(): number {
    const {serviceMs, coldSlots, coldMs, collapseFactor} = this.mode;
    const cold = performance.now() - this.startedMs < coldMs;
    if (!cold || this.running <= coldSlots) return serviceMs;
    this.record.coldBreaches++;
    return serviceMs * collapseFactor;
  }

  private release(): void {
    this.running--;
    this.recordLoad();
    while (this.queue.length > 0 && this.running < this.mode.slots) {
      const next = this.queue.shift();
      if (next === undefined || next.res.destroyed) continue;
      if (performance.now() > next.expiresAtMs) this.shedUnrun(next.res);
      else this.start(next);
    }
  }

  private finish(job: Job, runs: number): void {
    const {req, res, body} = job;
    const requestId = String(req.headers[REQUEST_ID_HEADER] ?? '');
    const answer = Buffer.from(
      JSON.stringify({
        requestId,
        method: req.method,
        path: req.url,
        checksum: checksum(body),
        depth: Number(req.headers['geraniumloft-depth'] ?? 0),
        runs,
      }).padEnd(this.mode.bodyBytes),
    );
    res.setHeader('Content-Type', 'application/json');
    res.setHeader('Content-Length', answer.length);
    res.setHeader(
      'Geraniumloft-Request-Id',
      this.mode.foreign ? `${requestId}-other` : requestId,
    );
    res.setHeader('X-Checksum', checksum(answer));
    const servedUs = (performance.now() - job.receivedMs) * 1_000;
    res.setHeader('X-Served-Us', Math.round(servedUs));
    if (!this.mode.cutShort) {
      res.end(answer);
      return;
    }
    res.write(answer.subarray(0, answer.length >> 1));
    setImmediate(() => req.socket.destroy());
  }

  private recordLoad(): void {
    this.samples.push({atMs: performance.now(), inFlight: this.running});
    if (this.samples.length > 10_000) this.samples.splice(0, 5_000);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.announcer?.[Symbol.dispose]();
    const closed = new Promise<void>(resolve =>
      this.server.close(() => resolve()),
    );
    this.server.closeAllConnections();
    await closed;
  }
}

/** Checksum by which callers verify answers: the first 16 hex digits of SHA-256. */
export function checksum(bytes: Buffer): string {
  return crypto.createHash('sha256').update(bytes).digest('hex').slice(0, 16);
}
