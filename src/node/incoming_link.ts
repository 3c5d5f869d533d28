/** Link opened by another node to this node's gate. */
import * as net from 'node:net';

import * as counters from '../common/counters.js';
import * as units from '../common/units.js';
import * as peer from '../generated/peer.js';
import * as framedSocket from './framed_socket.js';
import * as linkEvent from './link_event.js';

/** Time allowed between frames. */
const IDLE_TIMEOUT_MS: units.Millis = 600_000;

/** Time allowed for the first frame, the hello. */
const HELLO_TIMEOUT_MS: units.Millis = 2_000;

/** Limits and callbacks provided by the owner of an incoming link. */
export interface IncomingLinkContext {
  readonly identity: linkEvent.LinkIdentity;
  readonly maxFrameBytes: number;
  /** Queued bytes above which the link is ended. */
  readonly maxQueuedBytes: number;
  readonly count: counters.Counters;
  emit(event: linkEvent.LinkEvent): void;
  onClose(link: IncomingLink): void;
}

/** Reads calls and sends the replies. */
export class IncomingLink implements Disposable {
  private readonly socket: framedSocket.FramedSocket<peer.Frame>;
  private nodeId: string | undefined;

  constructor(
    readonly linkId: number,
    private readonly connection: net.Socket,
    private readonly context: IncomingLinkContext,
  ) {
    this.socket = new framedSocket.FramedSocket(
      connection,
      peer.Frame,
      context.maxFrameBytes,
      connection.remoteAddress ?? '',
      {
        onConnect: () => undefined,
        onFrame: frame => this.receive(frame),
        onMalformed: () => context.count.increment('malformed.frame'),
        onClose: () => this.onClosed(),
      },
    );
    connection.setTimeout(HELLO_TIMEOUT_MS, () => this[Symbol.dispose]());
  }

  /** Sends a frame to the other node; ends the link if that node does not read from it. */
  send(frame: peer.Frame): void {
    if (this.socket.queuedBytes > this.context.maxQueuedBytes) {
      this.context.count.increment('link.unread');
      this[Symbol.dispose]();
      return;
    }
    this.socket.send(frame);
  }

  /** Ends the link after the queued frames have been sent. */
  end(): void {
    this.socket.end();
  }

  [Symbol.dispose](): void {
    this.socket[Symbol.dispose]();
  }

  private receive(frame: peer.Frame): void {
    if (this.nodeId === undefined) {
      this.receiveHello(frame);
      return;
    }
    switch (frame.body?.$case) {
      case 'request':
        this.context.emit({
          kind: 'link-call',
          linkId: this.linkId,
          nodeId: this.nodeId,
          call: frame.body.value,
        });
        return;
      case 'cancel':
        this.context.emit({
          kind: 'link-cancel',
          callId: frame.body.value.callId,
        });
        return;
      case 'ping':
        this.send({body: {$case: 'pong', value: frame.body.value}});
        return;
      case 'hello':
      case 'answer':
      case 'refusal':
      case 'pong':
      case undefined:
        this.reject();
    }
  }

  private receiveHello(frame: peer.Frame): void {
    const {identity} = this.context;
    if (frame.body?.$case !== 'hello') return this.reject();
    const {nodeId, toNodeId} = frame.body.value;
    if (nodeId === '' || toNodeId !== identity.nodeId) return this.reject();
    this.nodeId = nodeId;
    this.connection.setTimeout(IDLE_TIMEOUT_MS);
    this.send({body: {$case: 'hello', value: {...identity, toNodeId: nodeId}}});
  }

  private reject(): void {
    this.context.count.increment('malformed.frame');
    this[Symbol.dispose]();
  }

  private onClosed(): void {
    this.context.onClose(this);
    this.context.emit({kind: 'link-lost', linkId: this.linkId});
  }
}
