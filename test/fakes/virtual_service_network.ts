/** Links and datagrams between virtual nodes: delay, order, silence and loss. */
import * as peer from '../../src/generated/peer.js';
import * as randomSource from '../../src/common/random_source.js';
import * as units from '../../src/common/units.js';
import * as clocks from './virtual_service_clock.js';

/** A message on a link. */
export type LinkMessage =
  | {readonly kind: 'request'; readonly call: peer.CallRequest}
  | {readonly kind: 'cancel'; readonly callId: string}
  | {readonly kind: 'answer'; readonly answer: peer.CallAnswer}
  | {readonly kind: 'refusal'; readonly refusal: peer.CallRefusal};

/** A node as the network sees it. */
export interface LinkEnd {
  readonly nodeId: string;
  readonly dataCentre: string;
  readonly region: string;
  readonly isUp: boolean;
  /** A message that the node's own link `link` carried here. */
  onLinkMessage(link: Link, message: LinkMessage): void;
  onLinkFailed(link: Link, callId: string, sent: boolean): void;
  onLinkSilent(link: Link, callId: string): void;
  onSourceLost(linkId: number): void;
}

/** One connection, opened by `from`, which sends calls over it to `to`. */
export class Link {
  silent = false;
  open = true;
  /** Calls without a final message. */
  readonly outstanding = new Set<string>();
  /** Arrival of the newest message in each direction, to keep their order. */
  lastArrivalMs = {forth: 0, back: 0};

  constructor(
    readonly id: number,
    readonly from: LinkEnd,
    readonly to: LinkEnd,
  ) {}
}

/** Delays and loss, in milliseconds and shares. */
export interface NetworkOptions {
  readonly insideMs: units.Millis;
  readonly betweenMs: units.Millis;
  readonly betweenRegionsMs: units.Millis;
  readonly datagramLoss: number;
  /** Share of answers that arrive twice. */
  readonly duplicates: number;
  /** Silence with calls outstanding after which an entry gives a link up. */
  readonly progressTimeoutMs: units.Millis;
}

const JITTER_MS = 0.05;
const SOURCE_LOST_MS = 1_000;

/** Carries messages and datagrams. */
export class VirtualNetwork {
  datagrams = 0;
  private readonly links = new Map<string, Link>();
  private nextLinkId = 1;

  constructor(
    private readonly clock: clocks.VirtualClock,
    private readonly random: randomSource.RandomSource,
    private readonly options: NetworkOptions,
  ) {}

  /** Sends a call over the kept link, or over a fresh one if there is none. */
  sendCall(from: LinkEnd, to: LinkEnd, call: peer.CallRequest): void {
    const link = this.linkBetween(from, to);
    if (!to.isUp) {
      const delayMs = 2 * this.delayMs(from, to);
      this.clock.after(delayMs, () =>
        from.onLinkFailed(link, call.callId, false),
      );
      return;
    }
    link.outstanding.add(call.callId);
    if (link.silent) this.watch(link, call.callId);
    this.carry(link, 'forth', {kind: 'request', call});
  }

  sendCancel(from: LinkEnd, to: LinkEnd, callId: string): void {
    const link = this.linkBetween(from, to);
    link.outstanding.delete(callId);
    this.carry(link, 'forth', {kind: 'cancel', callId});
  }

  /** Sends an answer or a refusal back over the link that carried its call. */
  sendBack(link: Link, message: LinkMessage): void {
    this.carry(link, 'back', message);
    if (
      message.kind === 'answer' &&
      this.random.next() < this.options.duplicates
    ) {
      this.carry(link, 'back', message);
    }
  }

  sendDatagram(from: LinkEnd, to: LinkEnd, onArrival: () => void): void {
    this.datagrams++;
    if (this.random.next() < this.options.datagramLoss) return;
    this.clock.after(this.delayMs(from, to), () => {
      if (to.isUp) onArrival();
    });
  }

  /** Makes the open link between two nodes, if any, carry nothing from now on. */
  silence(from: LinkEnd, to: LinkEnd): void {
    const link = this.links.get(`${from.nodeId}>${to.nodeId}`);
    if (link === undefined || link.silent) return;
    link.silent = true;
    for (const callId of link.outstanding) this.watch(link, callId);
  }

  /** Breaks all links of a node that has stopped. */
  dropLinksOf(end: LinkEnd): void {
    for (const [name, link] of this.links) {
      if (link.from !== end && link.to !== end) continue;
      this.links.delete(name);
      this.breakLink(link, end);
    }
  }

  private breakLink(link: Link, stopped: LinkEnd): void {
    link.open = false;
    const delayMs = this.delayMs(link.from, link.to);
    if (link.to !== stopped) {
      this.clock.after(delayMs, () => link.to.onSourceLost(link.id));
      return;
    }
    for (const callId of link.outstanding) {
      this.clock.after(delayMs, () =>
        link.from.onLinkFailed(link, callId, true),
      );
    }
  }

  private linkBetween(from: LinkEnd, to: LinkEnd): Link {
    const name = `${from.nodeId}>${to.nodeId}`;
    let link = this.links.get(name);
    if (link === undefined) {
      link = new Link(this.nextLinkId++, from, to);
      this.links.set(name, link);
    }
    return link;
  }

  /** Gives a silent link up once the progress timeout of `callId` has passed. */
  private watch(link: Link, callId: string): void {
    this.clock.after(this.options.progressTimeoutMs, () => {
      if (!link.outstanding.has(callId) || !link.open) return;
      this.replace(link);
      link.outstanding.delete(callId);
      link.from.onLinkSilent(link, callId);
    });
  }

  private replace(link: Link): void {
    const name = `${link.from.nodeId}>${link.to.nodeId}`;
    if (this.links.get(name) !== link) return;
    this.links.delete(name);
    this.clock.after(SOURCE_LOST_MS, () => link.to.onSourceLost(link.id));
  }

  private carry(link: Link, way: 'forth' | 'back', message: LinkMessage): void {
    if (link.silent || !link.open) return;
    const earliest = this.clock.nowMs + this.delayMs(link.from, link.to);
    const arrivalMs = Math.max(earliest, link.lastArrivalMs[way]);
    link.lastArrivalMs[way] = arrivalMs;
    this.clock.at(arrivalMs, () => this.arrive(link, way, message));
  }

  private arrive(
    link: Link,
    way: 'forth' | 'back',
    message: LinkMessage,
  ): void {
    const end = way === 'forth' ? link.to : link.from;
    if (link.silent || !link.open || !end.isUp) return;
    if (message.kind === 'answer') {
      link.outstanding.delete(message.answer.callId);
    }
    if (message.kind === 'refusal') {
      link.outstanding.delete(message.refusal.callId);
    }
    end.onLinkMessage(link, message);
  }

  private delayMs(from: LinkEnd, to: LinkEnd): units.Millis {
    const jitterMs = JITTER_MS * this.random.next();
    if (from.region !== to.region) {
      return this.options.betweenRegionsMs + jitterMs;
    }
    if (from.dataCentre !== to.dataCentre) {
      return this.options.betweenMs + jitterMs;
    }
    return this.options.insideMs + jitterMs;
  }
}
