/** TCP connection that carries frames; frames sent in one event loop turn share one write. */
import * as net from 'node:net';

import * as errors from '../common/errors.js';
import * as frameCodec from './frame_codec.js';
import * as frameParts from './frame_parts.js';

/** Callbacks of a framed socket to its owner. */
export interface FramedSocketListener<T> {
  onConnect(): void;
  /** Called for any bytes received, before the frames that they complete. */
  onBytes?(): void;
  onFrame(frame: T): void;
  /** Called when a frame could not be read; the socket closes next. */
  onMalformed(): void;
  /**
   * Called once, when the connection has ended.
   *
   * @param err error that ended it, undefined if it was closed.
   */
  onClose(err?: NodeJS.ErrnoException): void;
}

/** Interval of TCP keep-alive probes, in milliseconds. */
const KEEP_ALIVE_INTERVAL_MS = 30_000;

/** Bytes buffered in the socket above which parts of long frames wait. */
const MAX_BUFFERED_BYTES = 2 * frameParts.PART_BYTES;

/** Sends and receives frames on one connection. */
export class FramedSocket<T> implements Disposable {
  private readonly reader: frameCodec.FrameReader<T>;
  private readonly joiner: frameParts.PartJoiner<T> | undefined;
  private readonly partQueue: frameParts.PartQueue;
  private partsAllowed = false;
  private corked = false;
  private ending = false;
  private err: NodeJS.ErrnoException | undefined;

  /**
   * @param partProtocol - set if the protocol knows parts of long frames.
   * @param memory - limits the memory of long frames that are received; unlimited by default.
   */
  constructor(
    private readonly socket: net.Socket,
    private readonly codec: frameCodec.FrameCodec<T>,
    maxFrameBytes: number,
    peerName: string,
    private readonly listener: FramedSocketListener<T>,
    private readonly partProtocol?: frameParts.PartProtocol<T>,
    memory?: frameParts.MessageMemory,
  ) {
    this.reader = new frameCodec.FrameReader(codec, maxFrameBytes, peerName);
    this.partQueue = new frameParts.PartQueue(maxFrameBytes);
    this.joiner =
      partProtocol &&
      new frameParts.PartJoiner(
        codec,
        partProtocol,
        maxFrameBytes,
        peerName,
        memory,
      );
    // Parts that are queued when the other end ends its side are still sent.
    socket.allowHalfOpen = true;
    socket.setNoDelay(true);
    socket.setKeepAlive(true, KEEP_ALIVE_INTERVAL_MS);
    socket.on('connect', () => listener.onConnect());
    socket.on('data', chunk => this.receive(chunk));
    socket.on('drain', () => this.writeParts());
    socket.on('end', () => this.end());
    socket.on('error', err => {
      this.err = err;
      socket.destroy();
    });
    socket.on('close', () => this.onClosed());
  }

  /** Bytes accepted by `send` that have not been passed to the operating system. */
  get queuedBytes(): number {
    return this.socket.writableLength + this.partQueue.bytes;
  }

  /** Whether long frames are sent in parts. */
  get sendsParts(): boolean {
    return this.partsAllowed && this.partProtocol !== undefined;
  }

  /**
   * Sends long frames in parts from now on, since the other end joins them; without effect if the
   * protocol knows no parts. Frames sent later may then arrive before a long one.
   */
  allowParts(): void {
    this.partsAllowed = true;
  }

  /** Sends a frame; without effect once the connection has ended. */
  send(frame: T): void {
    if (!this.socket.writable || this.ending) return;
    const pieces = this.encode(frame);
    const length = pieces.reduce((sum, piece) => sum + piece.length, 0);
    if (!this.sendsParts || length <= frameParts.PART_BYTES) {
      for (const piece of pieces) this.write(piece);
      return;
    }
    const [head, ...rest] = pieces;
    this.partQueue.add([head.subarray(frameCodec.PREFIX_BYTES), ...rest]);
    this.writeParts();
  }

  /** Drops long frames that have not been received whole; what still comes of them is skipped. */
  dropIncoming(): void {
    this.joiner?.drop();
  }

  /** Ends the connection after the queued frames have been sent. */
  end(): void {
    this.ending = true;
    this.writeParts();
  }

  /** Resets the connection, so that what was sent and is under way does not arrive later. */
  reset(): void {
    this.partQueue.clear();
    this.socket.resetAndDestroy();
  }

  /** Ends the connection at once. */
  [Symbol.dispose](): void {
    this.partQueue.clear();
    this.socket.destroy();
  }

  /** Returns an encoded frame with its length prefix; a long body is a piece of its own. */
  private encode(frame: T): readonly Buffer[] {
    const split = this.partProtocol?.split?.(frame);
    if (split === undefined) return [frameCodec.encodeFrame(this.codec, frame)];
    const {content} = split;
    const head = frameCodec.encodePrefixed(
      writer => split.encodeHead(writer),
      content.length,
    );
    return [head, content];
  }

  /** Writes parts until enough bytes are buffered; the socket's 'drain' event goes on. */
  private writeParts(): void {
    const {socket, partQueue, partProtocol} = this;
    // 'drain' is emitted only if the high-water mark was reached.
    const maxBufferedBytes = Math.max(
      MAX_BUFFERED_BYTES,
      socket.writableHighWaterMark,
    );
    while (partProtocol && socket.writableLength < maxBufferedBytes) {
      const part = partQueue.next();
      if (part === undefined) break;
      const {content} = part;
      const head = frameCodec.encodePrefixed(
        writer => partProtocol.encodeHead(part, writer),
        content.length,
      );
      this.write(head);
      this.write(content);
    }
    if (this.ending && partQueue.bytes === 0) socket.end();
  }

  private write(bytes: Buffer): void {
    if (!this.corked) {
      this.corked = true;
      this.socket.cork();
      process.nextTick(() => this.uncork());
    }
    this.socket.write(bytes);
  }

  private uncork(): void {
    this.corked = false;
    this.socket.uncork();
  }

  private onClosed(): void {
    this.partQueue.clear();
    this.joiner?.drop();
    this.listener.onClose(this.err);
  }

  private receive(chunk: Buffer): void {
    this.listener.onBytes?.();
    try {
      for (const received of this.reader.push(chunk)) {
        if (this.socket.destroyed) return;
        const frame = this.joiner ? this.joiner.push(received) : received;
        if (frame !== undefined) this.listener.onFrame(frame);
      }
    } catch (err) {
      if (!(err instanceof errors.MalformedInputError)) throw err;
      this.listener.onMalformed();
      this.socket.destroy();
    }
  }
}
