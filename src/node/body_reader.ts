/** Reads the body of an HTTP message whole, within a bound. */
import type * as http from 'node:http';

/** A body, or why there is none. */
export type ReadBody =
  | {readonly kind: 'whole'; readonly body: Buffer}
  | {readonly kind: 'too-long'}
  | {readonly kind: 'cut-short'};

const EMPTY = Buffer.alloc(0);

/**
 * Reads up to `maxBytes`; of a longer body no more is kept.
 *
 * @param onRead called once; at once for a message without a body.
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
  let settled = false;
  const settle = (read: ReadBody): void => {
    if (settled) return;
    settled = true;
    onRead(read);
  };
  message.on('data', (chunk: Buffer) => {
    length += chunk.length;
    if (length <= maxBytes) {
      chunks.push(chunk);
      return;
    }
    message.pause();
    settle({kind: 'too-long'});
  });
  message.on('end', () => settle({kind: 'whole', body: joined(chunks)}));
  message.on('close', () => settle({kind: 'cut-short'}));
  message.on('error', () => settle({kind: 'cut-short'}));
}

/** RFC 9112, section 6.3: without a length or a transfer coding, a request has no body. */
function hasNoBody(message: http.IncomingMessage): boolean {
  const {headers} = message;
  return (
    headers['transfer-encoding'] === undefined &&
    (headers['content-length'] ?? '0') === '0'
  );
}

/** Returns the chunks of a body as one; a single chunk is not copied. */
export function joined(chunks: readonly Buffer[]): Buffer {
  return chunks.length === 1 ? chunks[0] : Buffer.concat(chunks);
}
