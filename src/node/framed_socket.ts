/** TCP connection that carries frames; frames sent in one event loop turn share one write. */
import * as net from 'node:net';

import * as errors from '../common/errors.js';
import * as frameCodec from './frame_codec.js';

/** Callbacks of a framed socket to its owner. */
export interface FramedSocketListener<T> {
  onConnect(): void;
  /** Called for any bytes received, before the frames that they complete. */
  onBytes?(): void;
  onFrame(frame: T): void;
  /** Called when a frame could not be read; the socket closes next. */
  onMalformed(): void;
  /** Called once, when the connection has ended for any reason. */
  onClose(): void;
}

/** Interval of TCP keep-alive probes, in milliseconds. */
const KEEP_ALIVE_INTERVAL_MS = 30_000;

/** Sends and receives frames on one connection. */
export class FramedSocket<T> implements Disposable {
  private readonly reader: frameCodec.FrameReader<T>;
  private corked = false;

  constructor(
    private readonly socket: net.Socket,
    private readonly codec: frameCodec.FrameCodec<T>,
    maxFrameBytes: number,
    peerName: string,
    private readonly listener: FramedSocketListener<T>,
  ) {
    this.reader = new frameCodec.FrameReader(codec, maxFrameBytes, peerName);
    socket.setNoDelay(true);
    socket.setKeepAlive(true, KEEP_ALIVE_INTERVAL_MS);
    socket.on('connect', () => listener.onConnect());
    socket.on('data', chunk => this.receive(chunk));
    socket.on('error', () => socket.destroy());
    socket.on('close', () => listener.onClose());
  }

  /** Bytes accepted by `send` that have not been passed to the operating system. */
  get queuedBytes(): number {
    return this.socket.writableLength;
  }

  /** Sends a frame; without effect once the connection has ended. */
  send(frame: T): void {
    if (!this.socket.writable) return;
    if (!this.corked) {
      this.corked = true;
      this.socket.cork();
      process.nextTick(() => this.uncork());
    }
    this.socket.write(frameCodec.encodeFrame(this.codec, frame));
  }

  /** Ends the connection after the queued frames have been sent. */
  end(): void {
    this.socket.end();
  }

  /** Ends the connection at once. */
  [Symbol.dispose](): void {
    this.socket.destroy();
  }

  private uncork(): void {
    this.corked = false;
    this.socket.uncork();
  }

  private receive(chunk: Buffer): void {
    this.listener.onBytes?.();
    try {
      for (const frame of this.reader.push(chunk)) {
        if (this.socket.destroyed) return;
        this.listener.onFrame(frame);
      }
    } catch (err) {
      if (!(err instanceof errors.MalformedInputError)) throw err;
      this.listener.onMalformed();
      this.socket.destroy();
    }
  }
}
