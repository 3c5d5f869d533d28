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

/** Fields of an answer, as the service states them. */
type StatedFields = Readonly<
  Partial<Record<'offset' | 'firstOffset' | 'nextOffset' | 'records', unknown>>
>;

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
    if (isOffset(body.offset)) return body.offset;
    throw this.error('append to log', 'answer without offset');
  }

  async read(
    from: number,
    limit: number,
    waitMs: units.Millis,
  ): Promise<controlContract.LogPage> {
    const path = `/read?from=${from}&limit=${limit}&waitMs=${Math.round(waitMs)}`;
    const timeoutMs = this.address.timeoutMs + waitMs;
    const body = await this.request('read log', path, 'GET', timeoutMs);
    const page = toPage(body);
    if (page === undefined) throw this.error('read log', 'malformed page');
    return page;
  }

  private async request(
    step: string,
    path: string,
    method: 'GET' | 'POST',
    timeoutMs: units.Millis,
    body?: Uint8Array,
  ): Promise<StatedFields> {
    try {
      const res = await undici.request(this.origin + path, {
        method,
        body,
        dispatcher: this.dispatcher,
        signal: AbortSignal.timeout(Math.ceil(timeoutMs)),
      });
      const text = await boundedText(res.body);
      if (res.statusCode !== 200) throw new Error(`status ${res.statusCode}`);
      return fieldsOf(JSON.parse(text));
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

/** Returns the fields of a value, none if it is no object. */
function fieldsOf(value: unknown): StatedFields {
  return typeof value === 'object' && value !== null ? value : {};
}

/** Whether a value is an offset that a number holds without loss. */
function isOffset(value: unknown): value is number {
  return Number.isSafeInteger(value) && Number(value) >= 0;
}

/** Decodes a page, undefined if it is malformed. */
function toPage(fields: StatedFields): controlContract.LogPage | undefined {
  const {firstOffset, nextOffset, records} = fields;
  if (!isOffset(firstOffset) || !isOffset(nextOffset)) return undefined;
  if (!Array.isArray(records)) return undefined;
  const stored: controlContract.StoredRecord[] = [];
  for (const record of records) {
    const {offset, data}: {readonly offset?: unknown; readonly data?: unknown} =
      fieldsOf(record);
    if (!isOffset(offset) || typeof data !== 'string') return undefined;
    stored.push({offset, bytes: Buffer.from(data, 'base64')});
  }
  return {firstOffset, nextOffset, records: stored};
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
