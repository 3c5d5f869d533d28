/** Reads the body of an HTTP message whole, within a bound. */
import * as http from 'node:http';

/** A body, or why there is none. */
export type ReadBody =
  | {readonly kind: 'whole'; readonly body: Buffer}
  | {readonly kind: 'too-long'}
  | {readonly kind: 'cut-short'};

const EMPTY = Buffer.alloc(0);

/** Reads up to `maxBytes`; of a longer body no more is kept. */
export function readBody(
  message: http.IncomingMessage,
  maxBytes: number,
): Promise<ReadBody> {
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    let length = 0;
    message.on('data', (chunk: Buffer) => {
      length += chunk.length;
      if (length > maxBytes) {
        message.pause();
        resolve({kind: 'too-long'});
        return;
      }
      chunks.push(chunk);
    });
    message.on('end', () => resolve({kind: 'whole', body: joined(chunks)}));
    message.on('close', () => resolve({kind: 'cut-short'}));
    message.on('error', () => resolve({kind: 'cut-short'}));
  });
}

function joined(chunks: readonly Buffer[]): Buffer {
  if (chunks.length === 0) return EMPTY;
  return chunks.length === 1 ? chunks[0] : Buffer.concat(chunks);
}
