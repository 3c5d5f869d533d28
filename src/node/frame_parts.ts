/** Parts of long frames, between which other frames can be sent. */
import type * as wire from '@bufbuild/protobuf/wire';

import * as errors from '../common/errors.js';
import * as frameCodec from './frame_codec.js';

/** Length above which an encoded frame is sent in parts, and length of a part, in bytes. */
export const PART_BYTES = 32 * 1024;

/** Maximum number of messages in each direction of a connection whose parts take turns. */
export const MAX_OPEN_MESSAGES = 16;

/** Slice of an encoded frame. */
export interface Part {
  /** Number of the message, unique within the connection and direction. */
  readonly message: number;
  readonly content: Buffer;
  readonly last: boolean;
  /** Length of the message in bytes; 0 except in its first part. */
  readonly totalBytes: number;
}

/** A frame that ends with bytes which are not copied. */
export interface SplitFrame {
  /** Writes the frame except for the content. */
  encodeHead(writer: wire.BinaryWriter): wire.BinaryWriter;
  /** Must not change until it is sent. */
  readonly content: Buffer;
}

/** Carries parts in frames of a protocol. */
export interface PartProtocol<T> {
  /** Splits a frame with a long body; undefined for other frames. */
  split?(frame: T): SplitFrame | undefined;
  /** Writes the frame that carries a part, except for the content, with which the frame ends. */
  encodeHead(part: Part, writer: wire.BinaryWriter): wire.BinaryWriter;
  /** Returns the part that a frame carries, undefined if it is another frame. */
  partOf(frame: T): Part | undefined;
  /**
   * Decodes a message that ends with a long body without copying the body; undefined for other
   * messages.
   */
  decodeSplit?(bytes: Buffer): T | undefined;
}

/** Limits the memory of messages while their parts are received. */
export interface MessageMemory {
  /** Takes the memory of a message; returns false if there is no room for it. */
  take(bytes: number): boolean;
  giveBack(bytes: number): void;
  /**
   * A message is dropped, as there is no room for it.
   *
   * @param begin - its first part.
   * @throws errors.MalformedInputError if it cannot be decoded.
   */
  onTurnedAway(begin: Buffer): void;
}

class OutgoingMessage {
  readonly totalBytes: number;
  private readonly pieces: Buffer[];
  private takenBytes = 0;

  constructor(
    readonly number: number,
    pieces: readonly Buffer[],
  ) {
    this.pieces = pieces.filter(({length}) => length > 0);
    this.totalBytes = this.pieces.reduce((sum, {length}) => sum + length, 0);
  }

  /** Bytes that were taken. */
  get sentBytes(): number {
    return this.takenBytes;
  }

  /** Takes the next bytes, which lie in one piece. */
  take(): Buffer {
    const [piece] = this.pieces;
    const content = piece.subarray(0, PART_BYTES);
    if (content.length === piece.length) this.pieces.shift();
    else this.pieces[0] = piece.subarray(content.length);
    this.takenBytes += content.length;
    return content;
  }
}

/** Queue of long frames whose parts take turns. */
export class PartQueue {
  /** Messages whose parts take turns; the first is next. */
  private readonly open: OutgoingMessage[] = [];
  private openBytes = 0;
  /** Messages of which no part may be sent yet. */
  private readonly waiting: OutgoingMessage[] = [];
  private unsentBytes = 0;
  private lastNumber = 0;

  /**
   * @param maxOpenBytes - limit of the lengths of all open messages together; the receiver has the
   *   same.
   */
  constructor(private readonly maxOpenBytes: number) {}

  /** Bytes that `next` has not returned. */
  get bytes(): number {
    return this.unsentBytes;
  }

  /** Adds the pieces of an encoded frame, without its length prefix; they are not copied. */
  add(pieces: readonly Buffer[]): void {
    const message = new OutgoingMessage(++this.lastNumber, pieces);
    this.waiting.push(message);
    this.unsentBytes += message.totalBytes;
  }

  /** Removes the next part; undefined if the queue is empty. */
  next(): Part | undefined {
    this.openWaiting();
    const message = this.open.shift();
    if (message === undefined) return undefined;
    const {number} = message;
    const totalBytes = message.sentBytes === 0 ? message.totalBytes : 0;
    const content = message.take();
    this.unsentBytes -= content.length;
    const last = message.sentBytes === message.totalBytes;
    if (last) this.openBytes -= message.totalBytes;
    else this.open.push(message);
    return {message: number, content, last, totalBytes};
  }

  /** Removes all messages. */
  clear(): void {
    this.open.length = 0;
    this.waiting.length = 0;
    this.openBytes = 0;
    this.unsentBytes = 0;
  }

  private openWaiting(): void {
    while (this.open.length < MAX_OPEN_MESSAGES) {
      const [first] = this.waiting;
      if (first === undefined) return;
      const openBytes = this.openBytes + first.totalBytes;
      if (this.open.length > 0 && openBytes > this.maxOpenBytes) return;
      this.openBytes = openBytes;
      this.open.push(first);
      this.waiting.shift();
    }
  }
}

class IncomingMessage {
  receivedBytes = 0;

  constructor(
    readonly totalBytes: number,
    /** Undefined for a message that is dropped. */
    public bytes: Buffer | undefined,
  ) {}

  /** Adds the next bytes. */
  add(content: Buffer): void {
    this.bytes?.set(content, this.receivedBytes);
    this.receivedBytes += content.length;
  }
}

/** Joins parts to frames; memory is bounded by the longest frame. */
export class PartJoiner<T> {
  private readonly open = new Map<number, IncomingMessage>();
  private openBytes = 0;

  constructor(
    private readonly codec: frameCodec.FrameCodec<T>,
    private readonly protocol: PartProtocol<T>,
    /** Limit of the lengths of all open messages together. */
    private readonly maxOpenBytes: number,
    /** Names the other end in errors. */
    private readonly peerName: string,
    private readonly memory?: MessageMemory,
  ) {}

  /**
   * Returns a frame that is no part, or the frame that the part completes, if any.
   *
   * @throws errors.MalformedInputError on a part that exceeds a limit or does not fit the former
   *   ones, and on a message that cannot be decoded.
   */
  push(frame: T): T | undefined {
    const part = this.protocol.partOf(frame);
    if (part === undefined) return frame;
    const {message: number, content, last} = part;
    const message =
      part.totalBytes > 0 ? this.begin(part) : this.open.get(number);
    if (message === undefined) throw this.malformed('no first part');
    const receivedBytes = message.receivedBytes + content.length;
    const isWhole = receivedBytes === message.totalBytes;
    if (receivedBytes > message.totalBytes || last !== isWhole) {
      throw this.malformed('parts do not add up to the length of the message');
    }
    message.add(content);
    if (!last) return undefined;
    this.open.delete(number);
    this.openBytes -= message.totalBytes;
    const bytes = this.release(message);
    return bytes && this.decode(bytes);
  }

  /** Drops all open messages; what still comes of them is skipped. */
  drop(): void {
    for (const message of this.open.values()) this.release(message);
  }

  private begin(part: Part): IncomingMessage {
    const {message: number, totalBytes, content} = part;
    if (this.open.has(number)) throw this.malformed('second first part');
    if (this.open.size === MAX_OPEN_MESSAGES) {
      throw this.malformed('too many messages in parts');
    }
    if (this.openBytes + totalBytes > this.maxOpenBytes) {
      throw this.malformed(`message of ${totalBytes} bytes is too long`);
    }
    const fits = this.memory?.take(totalBytes) ?? true;
    const message = new IncomingMessage(
      totalBytes,
      fits ? Buffer.allocUnsafe(totalBytes) : undefined,
    );
    this.open.set(number, message);
    this.openBytes += totalBytes;
    if (!fits) this.memory?.onTurnedAway(content);
    return message;
  }

  /** Gives back the memory of a message and returns its bytes, if it has any. */
  private release(message: IncomingMessage): Buffer | undefined {
    const {bytes, totalBytes} = message;
    if (bytes === undefined) return undefined;
    message.bytes = undefined;
    this.memory?.giveBack(totalBytes);
    return bytes;
  }

  private decode(bytes: Buffer): T {
    const {codec, protocol} = this;
    const decoder = {
      decode: () => protocol.decodeSplit?.(bytes) ?? codec.decode(bytes),
    };
    const frame = frameCodec.decodeFrame(decoder, bytes, this.peerName);
    if (this.protocol.partOf(frame) === undefined) return frame;
    throw this.malformed('message in parts contains a part');
  }

  private malformed(message: string): errors.MalformedInputError {
    const site = {step: 'join parts', peer: this.peerName};
    return new errors.MalformedInputError(message, site);
  }
}
