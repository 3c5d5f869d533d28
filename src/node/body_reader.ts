/** Reads the whole body of an HTTP message, up to a size limit. */
import type * as http from 'node:http';

/** A body, or why there is none. */
export type ReadBody =
  | {readonly kind: 'whole'; readonly body: Buffer}
  | {readonly kind: 'too-long'}
  | {readonly kind: 'cut-short'};

const EMPTY = Buffer.alloc(0);

/**
 * Reads a body of up to `maxBytes`; a longer one is not kept beyond that, and reading is paused.
 *
 * @param onRead called once; synchronously for a message without a body.
 */
export function readBody(
  message: http.IncomingMessage,
  maxBytes: number,
  onRead: (read: ReadBody) => void,
): void {
  if (hasNoBody(message)) {
    message.resume();
    onRead({kind: 'whole', body: EMPTY});
    return;
  }
  const chunks: Buffer[] = [];
  let length = 0;
  let finished = false;
  const finish = (read: ReadBody): void => {
    if (finished) return;
    finished = true;
    onRead(read);
  };
  message.on('data', (chunk: Buffer) => {
    if (finished) return;
    length += chunk.length;
    if (length <= maxBytes) {
      chunks.push(chunk);
      return;
    }
    message.pause();
    finish({kind: 'too-long'});
  });
  message.on('end', () => finish({kind: 'whole', body: concatChunks(chunks)}));
  message.on('close', () => finish({kind: 'cut-short'}));
  message.on('error', () => finish({kind: 'cut-short'}));
}

/** RFC 9112, section 6.3: without a length or a transfer coding, a request has no body. */
function hasNoBody(message: http.IncomingMessage): boolean {
  const {headers} = message;
  return (
    headers['transfer-encoding'] === undefined &&
    (headers['content-length'] ?? '0') === '0'
  );
}

/** Concatenates the chunks of a body; a single chunk is not copied. */
export function concatChunks(chunks: readonly Buffer[]): Buffer {
  return chunks.length === 1 ? chunks[0] : Buffer.concat(chunks);
}
