/** Client of the platform's log service: append and read over HTTP. */
import * as undici from 'undici';

import * as controlContract from '../common/control/control_contract.js';
import * as errors from '../common/errors.js';
import * as units from '../common/units.js';
import * as httpOrigin from './http_origin.js';

/** Address of the log service and time allowed for one request. */
export interface LogAddress {
  readonly ip: string;
  readonly port: number;
  /** Time allowed for a request, in addition to the wait requested of a read. */
  readonly timeoutMs: units.Millis;
}

/** Operations of the log service. */
export interface LogService extends AsyncDisposable {
  /**
   * Appends a record and returns its offset.
   *
   * @throws LogError if the append failed; the record may have been appended anyway.
   */
  append(record: Uint8Array): Promise<number>;

  /**
   * Reads up to `limit` records from offset `from`, waiting up to `waitMs` for the first.
   *
   * @throws LogError if the log cannot be read.
   */
  read(
    from: number,
    limit: number,
    waitMs: units.Millis,
  ): Promise<controlContract.LogPage>;
}

/** A failed append or read. */
export class LogError extends errors.GeraniumloftError {}

/** Largest page accepted, in bytes. */
const MAX_PAGE_BYTES = 64 * 1024 * 1024;

interface PageBody {
  readonly firstOffset: number;
  readonly nextOffset: number;
  readonly records: readonly {readonly offset: number; readonly data: string}[];
}

/** Log service over HTTP: `POST /append` and `GET /read?from=&limit=&waitMs=`. */
export class HttpLogClient implements LogService {
  private readonly origin: string;
  private readonly dispatcher: undici.Agent;

  constructor(private readonly address: LogAddress) {
    this.origin = httpOrigin.httpOrigin(address.ip, address.port);
    this.dispatcher = new undici.Agent({
      connections: 2,
      pipelining: 1,
      connect: {timeout: address.timeoutMs},
    });
  }

  async append(record: Uint8Array): Promise<number> {
    const body = await this.request(
      'append to log',
      '/append',
      'POST',
      this.address.timeoutMs,
      record,
    );
    const offset = (body as {readonly offset?: unknown}).offset;
    if (typeof offset !== 'number') {
      throw this.error('append to log', 'answer without offset');
    }
    return offset;
  }

  async read(
    from: number,
    limit: number,
    waitMs: units.Millis,
  ): Promise<controlContract.LogPage> {
    const path = `/read?from=${from}&limit=${limit}&waitMs=${Math.round(waitMs)}`;
    const timeoutMs = this.address.timeoutMs + waitMs;
    const body = await this.request('read log', path, 'GET', timeoutMs);
    return this.toPage(body as PageBody);
  }

  private toPage(body: PageBody): controlContract.LogPage {
    if (!Array.isArray(body.records) || typeof body.nextOffset !== 'number') {
      throw this.error('read log', 'malformed page');
    }
    return {
      firstOffset: body.firstOffset,
      nextOffset: body.nextOffset,
      records: body.records.map(r => ({
        offset: r.offset,
        bytes: Buffer.from(r.data, 'base64'),
      })),
    };
  }

  private async request(
    step: string,
    path: string,
    method: 'GET' | 'POST',
    timeoutMs: units.Millis,
    body?: Uint8Array,
  ): Promise<unknown> {
    try {
      const res = await undici.request(this.origin + path, {
        method,
        body,
        dispatcher: this.dispatcher,
        signal: AbortSignal.timeout(Math.ceil(timeoutMs)),
      });
      const text = await boundedText(res.body);
      if (res.statusCode !== 200) throw new Error(`status ${res.statusCode}`);
      return JSON.parse(text) as unknown;
    } catch (err) {
      throw this.error(
        step,
        err instanceof Error ? err.message : String(err),
        err,
      );
    }
  }

  private error(step: string, message: string, cause?: unknown): LogError {
    return new LogError(message, {step, peer: this.origin}, {cause});
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.dispatcher.destroy();
  }
}

async function boundedText(body: AsyncIterable<Uint8Array>): Promise<string> {
  const chunks: Uint8Array[] = [];
  let length = 0;
  for await (const chunk of body) {
    length += chunk.length;
    if (length > MAX_PAGE_BYTES) {
      throw new Error(`answer longer than ${MAX_PAGE_BYTES} bytes`);
    }
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString('utf8');
}
