/** Datagrams between nodes over UDP. */
import * as dgram from 'node:dgram';
import * as net from 'node:net';

import * as counters from '../common/counters.js';
import * as peer from '../generated/peer.js';
import * as eventSource from './event_source.js';
import * as portOpening from './port_opening.js';
import * as remoteAddress from './remote_address.js';
import * as sourceFilter from './source_filter.js';

/** Listening address of the socket, and limits on what it accepts. */
export interface DatagramOptions extends portOpening.PortOptions {
  /** Largest datagram accepted and sent, in bytes. */
  readonly maxBytes: number;
  /** Addresses from which datagrams are accepted. */
  readonly allowedSources: readonly string[];
}

/** A datagram that arrived. */
export interface DatagramEvent {
  readonly kind: 'datagram';
  readonly datagram: peer.Datagram;
}

/** The UDP socket of a node. */
export class DatagramSocket implements AsyncDisposable {
  private readonly socket: dgram.Socket;
  private readonly accepts: sourceFilter.SourceFilter;
  private readonly source = new eventSource.EventSource<DatagramEvent>();
  private isOpen = false;
  private readonly closing = new AbortController();

  /** Decoded datagrams from allowed sources. */
  readonly events = this.source.stream;

  constructor(
    private readonly options: DatagramOptions,
    private readonly count: counters.Counters,
  ) {
    this.accepts = sourceFilter.createSourceFilter(options.allowedSources);
    this.socket = dgram.createSocket(
      net.isIPv6(options.ip) ? 'udp6' : 'udp4',
      (bytes, from) => this.receive(bytes, from.address),
    );
    this.socket.on('error', err => this.onError(err));
  }

  /**
   * Binds the socket; waits for a port that is taken. Disposal ends the wait.
   *
   * @throws errors.GeraniumloftError if the port cannot be opened, or the socket was closed.
   */
  async listen(): Promise<void> {
    const {signal} = this.closing;
    await portOpening.openPort(this.options, () => this.bindOnce(), signal);
    this.isOpen = true;
  }

  /** Sends a datagram; losses are not reported. */
  send(ip: string, port: number, datagram: peer.Datagram): void {
    const bytes = peer.Datagram.encode(datagram).finish();
    if (
      this.closing.signal.aborted ||
      bytes.length > this.options.maxBytes ||
      !remoteAddress.isUsable({ip, port})
    ) {
      this.count.increment('datagram.failed');
      return;
    }
    this.count.increment('datagram.sent');
    this.count.increment('datagram.sent-bytes', bytes.length);
    this.socket.send(bytes, port, ip, err => {
      if (err) this.count.increment('datagram.failed');
    });
  }

  /** Makes one attempt to bind; resolves too if the socket is closed meanwhile. */
  private bindOnce(): Promise<void> {
    const {socket, options} = this;
    return new Promise((resolve, reject) => {
      const settle = (err?: Error): void => {
        socket.off('error', settle);
        socket.off('listening', settle);
        socket.off('close', settle);
        if (err === undefined) resolve();
        else reject(err);
      };
      socket.once('error', settle);
      socket.once('listening', settle);
      socket.once('close', settle);
      socket.bind(options.port, options.ip);
    });
  }

  private onError(err: Error): void {
    if (!this.isOpen) return;
    this.count.increment('datagram.failed');
    this.options.observer?.onError(this.options, portOpening.codeOf(err));
  }

  private receive(bytes: Buffer, address: string): void {
    if (!this.accepts(address)) {
      this.count.increment('source.rejected');
      return;
    }
    const datagram = this.decode(bytes);
    if (datagram === undefined) {
      this.count.increment('malformed.datagram');
      return;
    }
    this.count.increment('datagram.received');
    this.source.emit({kind: 'datagram', datagram});
  }

  private decode(bytes: Buffer): peer.Datagram | undefined {
    if (bytes.length > this.options.maxBytes) return undefined;
    try {
      const datagram = peer.Datagram.decode(bytes);
      return datagram.nodeId === '' ? undefined : datagram;
    } catch {
      return undefined;
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    if (this.closing.signal.aborted) return;
    this.closing.abort();
    await new Promise<void>(resolve => this.socket.close(() => resolve()));
  }
}
