/** Frames on links between nodes: a length prefix, then the encoded frame. */
import * as wire from '@bufbuild/protobuf/wire';

import * as errors from '../common/errors.js';

/** Length of the prefix, in bytes. */
export const PREFIX_BYTES = 4;

/** Encodes and decodes frames of one protocol. */
export interface FrameCodec<T> {
  encode(frame: T, writer: wire.BinaryWriter): wire.BinaryWriter;
  decode(bytes: Uint8Array): T;
}

/** Returns the frame with its length prefix. */
export function encodeFrame<T>(codec: FrameCodec<T>, frame: T): Buffer {
  return encodePrefixed(writer => codec.encode(frame, writer), 0);
}

/**
 * Returns what a function writes, after a length prefix.
 *
 * @param restBytes - length of the rest of the frame, which follows the returned bytes.
 */
export function encodePrefixed(
  encode: (writer: wire.BinaryWriter) => wire.BinaryWriter,
  restBytes: number,
): Buffer {
  const bytes = encode(new wire.BinaryWriter().fixed32(0)).finish();
  const buffer = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
  buffer.writeUInt32BE(bytes.byteLength - PREFIX_BYTES + restBytes, 0);
  return buffer;
}

/**
 * Decodes a frame without its length prefix.
 *
 * @param peerName - names the other end in errors.
 * @throws errors.MalformedInputError on a frame that cannot be decoded.
 */
export function decodeFrame<T>(
  codec: Pick<FrameCodec<T>, 'decode'>,
  bytes: Uint8Array,
  peerName: string,
): T {
  try {
    return codec.decode(bytes);
  } catch (err) {
    throw malformed('frame cannot be decoded', peerName, err);
  }
}

/** Splits a byte stream into frames; memory is bounded by the largest frame and one chunk. */
export class FrameReader<T> {
  private pending: Buffer[] = [];
  private pendingBytes = 0;
  /** Length of the pending bytes at which the next frame may be complete. */
  private neededBytes = PREFIX_BYTES;

  constructor(
    private readonly codec: FrameCodec<T>,
    private readonly maxFrameBytes: number,
    /** Names the other end in errors. */
    private readonly peerName: string,
  ) {}

  /**
   * Adds the next bytes of the stream and returns the frames that they complete.
   *
   * @throws errors.MalformedInputError on a frame that is too long or cannot be decoded.
   */
  push(chunk: Buffer): readonly T[] {
    this.pending.push(chunk);
    this.pendingBytes += chunk.length;
    // Chunks of a large frame are joined once, when the frame is complete.
    if (this.pendingBytes < this.neededBytes) return [];
    const bytes =
      this.pending.length === 1 ? chunk : Buffer.concat(this.pending);
    const frames: T[] = [];
    let start = 0;
    this.neededBytes = PREFIX_BYTES;
    while (bytes.length - start >= PREFIX_BYTES) {
      const length = this.checkedLength(bytes.readUInt32BE(start));
      const end = start + PREFIX_BYTES + length;
      if (end > bytes.length) {
        this.neededBytes = PREFIX_BYTES + length;
        break;
      }
      const encoded = bytes.subarray(start + PREFIX_BYTES, end);
      frames.push(decodeFrame(this.codec, encoded, this.peerName));
      start = end;
    }
    this.pending = start === bytes.length ? [] : [bytes.subarray(start)];
    this.pendingBytes = bytes.length - start;
    return frames;
  }

  private checkedLength(length: number): number {
    if (length <= this.maxFrameBytes) return length;
    throw malformed(`frame of ${length} bytes is too long`, this.peerName);
  }
}

function malformed(
  message: string,
  peer: string,
  cause?: unknown,
): errors.MalformedInputError {
  const site = {step: 'read frame', peer};
  return new errors.MalformedInputError(message, site, {cause});
}
