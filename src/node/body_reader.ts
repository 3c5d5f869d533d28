/** Reads the whole body of an HTTP message, up to a size limit. */
import type * as http from 'node:http';

/** A body, or why there is none. */
export type ReadBody =
  | {readonly kind: 'whole'; readonly body: Buffer}
  | {readonly kind: 'too-long'}
  | {readonly kind: 'cut-short'};

const EMPTY = Buffer.alloc(0);

/**
 * Bytes of a body in one buffer; the pieces are not kept. Pages of the buffer that nothing was
 * written to take no memory.
 */
class BodyBuffer {
  private bytes: Buffer = EMPTY;
  private length = 0;

  /** @param statedBytes length that the message states, 0 if it states none. */
  constructor(private readonly statedBytes: number) {}

  add(chunk: Buffer): void {
    const length = this.length + chunk.length;
    if (this.length === 0 && length >= this.statedBytes) this.bytes = chunk;
    else {
      this.reserve(length);
      this.bytes.set(chunk, this.length);
    }
    this.length = length;
  }

  /** Returns the bytes, which the buffer keeps no longer. */
  take(): Buffer {
    const taken = this.bytes.subarray(0, this.length);
    this.bytes = EMPTY;
    this.length = 0;
    return taken;
  }

  private reserve(length: number): void {
    const {bytes} = this;
    if (this.length > 0 && length <= bytes.length) return;
    const size = Math.max(length, this.statedBytes, 2 * bytes.length);
    this.bytes = Buffer.allocUnsafeSlow(size);
    this.bytes.set(bytes.subarray(0, this.length));
  }
}

/**
 * Reads a body of up to `maxBytes`; a longer one is not kept beyond that, and reading is paused.
 *
 * @param onRead called once; synchronously for a message without a body.
 * @param onBytes called with the bytes read so far, before `onRead`; may pause the message.
 * @returns a function after which nothing is kept or called any more; the rest is discarded.
 */
export function readBody(
  message: http.IncomingMessage,
  maxBytes: number,
  onRead: (read: ReadBody) => void,
  onBytes: (bytes: number) => void = () => undefined,
): () => void {
  if (hasNoBody(message)) {
    message.resume();
    onRead({kind: 'whole', body: EMPTY});
    return () => undefined;
  }
  const buffer = new BodyBuffer(Math.min(statedLength(message) ?? 0, maxBytes));
  let length = 0;
  let finished = false;
  const finish = (read: ReadBody): void => {
    if (finished) return;
    finished = true;
    buffer.take();
    onRead(read);
  };
  message.on('data', (chunk: Buffer) => {
    if (finished) return;
    length += chunk.length;
    if (length <= maxBytes) {
      buffer.add(chunk);
      onBytes(length);
      return;
    }
    message.pause();
    finish({kind: 'too-long'});
  });
  message.on('end', () => finish({kind: 'whole', body: buffer.take()}));
  message.on('close', () => finish({kind: 'cut-short'}));
  message.on('error', () => finish({kind: 'cut-short'}));
  return () => {
    finished = true;
    buffer.take();
  };
}

/** RFC 9112, section 6.3: without a length or a transfer coding, a request has no body. */
export function hasNoBody(message: http.IncomingMessage): boolean {
  const {headers} = message;
  return (
    headers['transfer-encoding'] === undefined &&
    (headers['content-length'] ?? '0') === '0'
  );
}

/** Length of the body in bytes that a message states, undefined if it states none. */
export function statedLength(
  message: http.IncomingMessage,
): number | undefined {
  const {headers} = message;
  if (headers['transfer-encoding'] !== undefined) return undefined;
  const length = Number(headers['content-length']);
  return Number.isSafeInteger(length) ? length : undefined;
}

/** Concatenates the chunks of a body; a single chunk is not copied. */
export function concatChunks(chunks: readonly Buffer[]): Buffer {
  return chunks.length === 1 ? chunks[0] : Buffer.concat(chunks);
}
