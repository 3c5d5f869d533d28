/** Links between nodes: one persistent connection per direction between two nodes. */
import * as net from 'node:net';

import * as counters from '../common/counters.js';
import * as units from '../common/units.js';
import * as peer from '../generated/peer.js';
import * as eventSource from './event_source.js';
import * as incomingLink from './incoming_link.js';
import * as linkEvent from './link_event.js';
import * as outgoingLink from './outgoing_link.js';
import * as portOpening from './port_opening.js';
import * as remoteAddress from './remote_address.js';
import * as tcpListener from './tcp_listener.js';
import * as sourceFilter from './source_filter.js';

/** Idle time after which a link is closed. */
const IDLE_TIMEOUT_MS: units.Millis = 300_000;

/** Interval between checks for idle links. */
const IDLE_CHECK_INTERVAL_MS: units.Millis = 30_000;

/**
 * Time without bytes that a silent link stays open: its calls are first matched on the new link,
 * and a gate that was only paused may answer over the old one.
 */
const SILENT_LINGER_MS: units.Millis = 1_000;

/** Time allowed for other nodes to close their side of a link when this node stops. */
const CLOSE_TIMEOUT_MS: units.Millis = 200;

/** Limit of the bytes queued on a link, as a multiple of the largest frame. */
const MAX_QUEUED_FRAMES = 8;

/** Allowance for headers and fields of a frame in addition to its body, in bytes. */
const FRAME_OVERHEAD_BYTES = 4096;

/** Listening address for links, and limits on what they accept. */
export interface PeerLinksOptions extends portOpening.PortOptions {
  readonly identity: linkEvent.LinkIdentity;
  /** Addresses from which links are accepted. */
  readonly allowedSources: readonly string[];
  readonly maxBodyBytes: number;
  readonly maxHeaderBytes: number;
  /** Maximum number of incoming links. */
  readonly maxLinks: number;
}

/** Owns all links of a node. */
export class PeerLinks implements AsyncDisposable {
  private readonly server: net.Server;
  private readonly outgoing = new Map<string, outgoingLink.OutgoingLink>();
  private readonly silentLinks = new Set<outgoingLink.OutgoingLink>();
  private readonly incoming = new Map<number, incomingLink.IncomingLink>();
  private readonly accepts: sourceFilter.SourceFilter;
  private readonly source = new eventSource.EventSource<linkEvent.LinkEvent>();
  private readonly maxFrameBytes: number;
  private nextLinkId = 1;
  private idleCheckDueMs: units.MonotonicMs;

  /** Events of all links. */
  readonly events = this.source.stream;

  constructor(
    private readonly options: PeerLinksOptions,
    private readonly count: counters.Counters,
    private readonly nowMs: () => units.MonotonicMs,
    private readonly afterPoll: (callback: () => void) => void,
  ) {
    this.accepts = sourceFilter.createSourceFilter(options.allowedSources);
    this.maxFrameBytes =
      options.maxBodyBytes + 2 * options.maxHeaderBytes + FRAME_OVERHEAD_BYTES;
    this.idleCheckDueMs = nowMs() + IDLE_CHECK_INTERVAL_MS;
    this.server = net.createServer({noDelay: true}, socket =>
      this.accept(socket),
    );
    this.server.maxConnections = options.maxLinks;
  }

  /** Number of links to other nodes that have not ended. */
  get outgoingCount(): number {
    return this.outgoing.size + this.silentLinks.size;
  }

  /** Starts accepting links. */
  async listen(): Promise<void> {
    await tcpListener.listen(this.server, this.options);
  }

  /** Sends an attempt over the existing link to the node, or over a new one. */
  sendCall(
    target: outgoingLink.LinkTarget,
    call: peer.CallRequest,
    progressTimeoutMs: units.Millis,
  ): void {
    if (!remoteAddress.isUsable(target)) {
      const {nodeId} = target;
      const {callId} = call;
      const failure = {nodeId, callId, sent: false, refused: false};
      this.count.increment('link.failed-attempt');
      this.onOutgoingEvent({kind: 'link-failed', ...failure});
      return;
    }
    const link = this.findOrOpenLink(target, progressTimeoutMs);
    link.sendCall(call, progressTimeoutMs);
  }

  /** Cancels an attempt at another node's gate. */
  sendCancel(nodeId: string, callId: string): void {
    this.outgoing.get(nodeId)?.sendCancel(callId);
    for (const link of this.silentLinksTo(nodeId)) link.sendCancel(callId);
  }

  /** Replies to a call over the link that it came on; dropped if the link has ended. */
  reply(linkId: number, frame: peer.Frame): void {
    const link = this.incoming.get(linkId);
    if (link === undefined) this.count.increment('link.answer-dropped');
    else link.send(frame);
  }

  /** Returns when `tick` must be called next. */
  nextWakeMs(): units.MonotonicMs {
    let dueMs = this.idleCheckDueMs;
    for (const link of this.outgoing.values()) {
      dueMs = Math.min(dueMs, link.nextCheckMs() ?? dueMs);
    }
    return dueMs;
  }

  /** Checks the progress of busy links and closes idle ones. */
  tick(nowMs: units.MonotonicMs): void {
    for (const link of [...this.outgoing.values()]) link.check(nowMs);
    if (nowMs < this.idleCheckDueMs) return;
    this.idleCheckDueMs = nowMs + IDLE_CHECK_INTERVAL_MS;
    for (const link of [...this.outgoing.values()]) {
      if (!link.busy && link.idleMs(nowMs) > IDLE_TIMEOUT_MS) {
        link[Symbol.dispose]();
      }
    }
  }

  private findOrOpenLink(
    target: outgoingLink.LinkTarget,
    progressTimeoutMs: units.Millis,
  ): outgoingLink.OutgoingLink {
    const prior = this.outgoing.get(target.nodeId);
    if (prior?.usable && isSameAddress(prior.target, target)) return prior;
    prior?.[Symbol.dispose]();
    const link = new outgoingLink.OutgoingLink(target, progressTimeoutMs, {
      identity: this.options.identity,
      maxFrameBytes: this.maxFrameBytes,
      maxQueuedBytes: MAX_QUEUED_FRAMES * this.maxFrameBytes,
      count: this.count,
      nowMs: this.nowMs,
      afterPoll: this.afterPoll,
      emit: event => this.onOutgoingEvent(event),
      onUnusable: unusable => this.removeUnusable(unusable),
    });
    this.count.increment('link.opened');
    this.outgoing.set(target.nodeId, link);
    return link;
  }

  private removeUnusable(link: outgoingLink.OutgoingLink): void {
    if (this.outgoing.get(link.target.nodeId) === link) {
      this.outgoing.delete(link.target.nodeId);
    }
    if (link.ended) {
      this.silentLinks.delete(link);
      return;
    }
    this.silentLinks.add(link);
    this.scheduleSilentLinkEnd(link, SILENT_LINGER_MS);
  }

  private scheduleSilentLinkEnd(
    link: outgoingLink.OutgoingLink,
    delayMs: units.Millis,
  ): void {
    const endIfOverdue = () => {
      const idleMs = link.idleMs(this.nowMs());
      if (!link.busy || idleMs >= SILENT_LINGER_MS) link[Symbol.dispose]();
      else this.scheduleSilentLinkEnd(link, SILENT_LINGER_MS - idleMs);
    };
    setTimeout(() => this.afterPoll(endIfOverdue), delayMs).unref();
  }

  private silentLinksTo(nodeId: string): readonly outgoingLink.OutgoingLink[] {
    return [...this.silentLinks].filter(l => l.target.nodeId === nodeId);
  }

  private onOutgoingEvent(event: linkEvent.LinkEvent): void {
    if (event.kind === 'link-answer') {
      this.forget(event.nodeId, event.answer.callId);
    } else if (event.kind === 'link-refusal') {
      this.forget(event.nodeId, event.refusal.callId);
    }
    this.source.emit(event);
  }

  /** Forgets an attempt that was replied to on the other links that it was sent over. */
  private forget(nodeId: string, callId: string): void {
    this.outgoing.get(nodeId)?.forget(callId);
    for (const link of this.silentLinksTo(nodeId)) link.forget(callId);
  }

  private accept(socket: net.Socket): void {
    if (!this.accepts(socket.remoteAddress)) {
      this.count.increment('source.rejected');
      socket.destroy();
      return;
    }
    const linkId = this.nextLinkId++;
    const link = new incomingLink.IncomingLink(linkId, socket, {
      identity: this.options.identity,
      maxFrameBytes: this.maxFrameBytes,
      maxQueuedBytes: MAX_QUEUED_FRAMES * this.maxFrameBytes,
      count: this.count,
      emit: event => this.source.emit(event),
      onClose: closed => this.incoming.delete(closed.linkId),
    });
    this.incoming.set(linkId, link);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    const closed = new Promise<void>(resolve =>
      this.server.close(() => resolve()),
    );
    for (const link of [...this.outgoing.values(), ...this.silentLinks]) {
      link[Symbol.dispose]();
    }
    for (const link of this.incoming.values()) link.end();
    this.source[Symbol.dispose]();
    const timer = setTimeout(() => {
      for (const link of this.incoming.values()) link[Symbol.dispose]();
    }, CLOSE_TIMEOUT_MS);
    await closed;
    clearTimeout(timer);
  }
}

function isSameAddress(
  a: outgoingLink.LinkTarget,
  b: outgoingLink.LinkTarget,
): boolean {
  return a.ip === b.ip && a.port === b.port;
}
