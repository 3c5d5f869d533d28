/** Links and datagrams between virtual nodes, with delay, ordering, silent links and loss. */
import * as peer from '../../src/generated/peer.js';
import * as randomSource from '../../src/common/random_source.js';
import * as units from '../../src/common/units.js';
import * as virtualServiceClock from './virtual_service_clock.js';

/** A message on a link. */
export type LinkMessage =
  | {readonly kind: 'request'; readonly call: peer.CallRequest}
  | {readonly kind: 'cancel'; readonly callId: string}
  | {readonly kind: 'answer'; readonly answer: peer.CallAnswer}
  | {readonly kind: 'refusal'; readonly refusal: peer.CallRefusal};

/** What the network needs of a node, and the events it raises there. */
export interface LinkEndpoint {
  readonly nodeId: string;
  readonly dataCentre: string;
  readonly region: string;
  readonly isUp: boolean;
  /** A message arrived over `link`, of which this node is one end. */
  onLinkMessage(link: Link, message: LinkMessage): void;
  /** The link of an open call broke; `sent` is false if the call cannot have arrived. */
  onLinkFailed(link: Link, callId: string, sent: boolean): void;
  /** The progress timeout of an open call passed without a message. */
  onLinkSilent(link: Link, callId: string): void;
  /** The entry's end of a link to this node is gone. */
  onSourceLost(linkId: number): void;
}

/** One connection, opened by `from`, which sends calls over it to `to`. */
export class Link {
  /** Whether messages are lost without an error, in both directions. */
  silent = false;
  open = true;
  /** Ids of calls without an answer or refusal. */
  readonly openCallIds = new Set<string>();
  /** Arrival of the last message in each direction; later messages arrive no earlier. */
  lastArrivalMs = {forth: 0, back: 0};

  constructor(
    readonly id: number,
    readonly from: LinkEndpoint,
    readonly to: LinkEndpoint,
  ) {}
}

/** One-way delays, and shares between 0 and 1. */
export interface NetworkOptions {
  /** Delay within a data centre. */
  readonly intraDataCentreMs: units.Millis;
  /** Delay between data centres of a region. */
  readonly interDataCentreMs: units.Millis;
  readonly interRegionMs: units.Millis;
  readonly datagramLoss: number;
  /** Share of answers that arrive twice. */
  readonly duplicateShare: number;
  /** Time without a message after which an entry abandons a link with open calls. */
  readonly progressTimeoutMs: units.Millis;
}

/** Largest random addition to a delay. */
const MAX_JITTER_MS = 0.05;
/** Time until a gate notices that an entry abandoned a link. */
const SOURCE_LOST_DELAY_MS = 1_000;

/** Delivers messages in order over links, and datagrams without order or guarantee. */
export class VirtualNetwork {
  /** Datagrams sent, including those lost. */
  datagrams = 0;
  private readonly links = new Map<string, Link>();
  private nextLinkId = 1;

  constructor(
    private readonly clock: virtualServiceClock.VirtualClock,
    private readonly random: randomSource.RandomSource,
    private readonly options: NetworkOptions,
  ) {}

  /** Sends a call over the open link between the nodes, or over a new one. */
  sendCall(from: LinkEndpoint, to: LinkEndpoint, call: peer.CallRequest): void {
    const link = this.linkBetween(from, to);
    if (!to.isUp) {
      const delayMs = 2 * this.delayMs(from, to);
      this.clock.after(delayMs, () =>
        from.onLinkFailed(link, call.callId, false),
      );
      return;
    }
    link.openCallIds.add(call.callId);
    if (link.silent) this.watchProgress(link, call.callId);
    this.transmit(link, 'forth', {kind: 'request', call});
  }

  sendCancel(from: LinkEndpoint, to: LinkEndpoint, callId: string): void {
    const link = this.linkBetween(from, to);
    link.openCallIds.delete(callId);
    this.transmit(link, 'forth', {kind: 'cancel', callId});
  }

  /** Sends an answer or a refusal back over the link that carried its call. */
  sendBack(link: Link, message: LinkMessage): void {
    this.transmit(link, 'back', message);
    if (
      message.kind === 'answer' &&
      this.random.next() < this.options.duplicateShare
    ) {
      this.transmit(link, 'back', message);
    }
  }

  sendDatagram(
    from: LinkEndpoint,
    to: LinkEndpoint,
    onArrival: () => void,
  ): void {
    this.datagrams++;
    if (this.random.next() < this.options.datagramLoss) return;
    this.clock.after(this.delayMs(from, to), () => {
      if (to.isUp) onArrival();
    });
  }

  /** Makes the open link between two nodes, if any, lose all messages from now on. */
  silence(from: LinkEndpoint, to: LinkEndpoint): void {
    const link = this.links.get(`${from.nodeId}>${to.nodeId}`);
    if (link === undefined || link.silent) return;
    link.silent = true;
    for (const callId of link.openCallIds) this.watchProgress(link, callId);
  }

  /** Breaks all links of a node whose process has ended. */
  dropLinksOf(end: LinkEndpoint): void {
    for (const [name, link] of this.links) {
      if (link.from !== end && link.to !== end) continue;
      this.links.delete(name);
      this.breakLink(link, end);
    }
  }

  private breakLink(link: Link, stopped: LinkEndpoint): void {
    link.open = false;
    const delayMs = this.delayMs(link.from, link.to);
    if (link.to !== stopped) {
      this.clock.after(delayMs, () => link.to.onSourceLost(link.id));
      return;
    }
    for (const callId of link.openCallIds) {
      this.clock.after(delayMs, () =>
        link.from.onLinkFailed(link, callId, true),
      );
    }
  }

  private linkBetween(from: LinkEndpoint, to: LinkEndpoint): Link {
    const name = `${from.nodeId}>${to.nodeId}`;
    let link = this.links.get(name);
    if (link === undefined) {
      link = new Link(this.nextLinkId++, from, to);
      this.links.set(name, link);
    }
    return link;
  }

  /** Abandons a silent link once the progress timeout of `callId` has passed. */
  private watchProgress(link: Link, callId: string): void {
    this.clock.after(this.options.progressTimeoutMs, () => {
      if (!link.openCallIds.has(callId) || !link.open) return;
      this.abandonLink(link);
      link.openCallIds.delete(callId);
      link.from.onLinkSilent(link, callId);
    });
  }

  private abandonLink(link: Link): void {
    const name = `${link.from.nodeId}>${link.to.nodeId}`;
    if (this.links.get(name) !== link) return;
    this.links.delete(name);
    this.clock.after(SOURCE_LOST_DELAY_MS, () => link.to.onSourceLost(link.id));
  }

  private transmit(
    link: Link,
    direction: 'forth' | 'back',
    message: LinkMessage,
  ): void {
    if (link.silent || !link.open) return;
    const earliest = this.clock.nowMs + this.delayMs(link.from, link.to);
    const arrivalMs = Math.max(earliest, link.lastArrivalMs[direction]);
    link.lastArrivalMs[direction] = arrivalMs;
    this.clock.at(arrivalMs, () => this.deliver(link, direction, message));
  }

  private deliver(
    link: Link,
    way: 'forth' | 'back',
    message: LinkMessage,
  ): void {
    const end = way === 'forth' ? link.to : link.from;
    if (link.silent || !link.open || !end.isUp) return;
    if (message.kind === 'answer') {
      link.openCallIds.delete(message.answer.callId);
    }
    if (message.kind === 'refusal') {
      link.openCallIds.delete(message.refusal.callId);
    }
    end.onLinkMessage(link, message);
  }

  private delayMs(from: LinkEndpoint, to: LinkEndpoint): units.Millis {
    const jitterMs = MAX_JITTER_MS * this.random.next();
    if (from.region !== to.region) {
      return this.options.interRegionMs + jitterMs;
    }
    if (from.dataCentre !== to.dataCentre) {
      return this.options.interDataCentreMs + jitterMs;
    }
    return this.options.intraDataCentreMs + jitterMs;
  }
}
