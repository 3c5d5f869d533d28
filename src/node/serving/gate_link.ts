/** A link to another node's gate that reconnects and sends its pending requests again. */
import * as net from 'node:net';

import * as units from '../../common/units.js';
import * as serving from '../../generated/serving.js';
import * as framedSocket from '../framed_socket.js';
import * as linkFrame from './link_frame.js';
import * as nodeRecord from './node_record.js';

/** Time without a frame from the gate after a request until it is pinged, once per request. */
const FIRST_PING_AFTER_MS: units.Millis = 80;

/** Time without a frame until further pings, while requests are pending. */
const REPEAT_PING_AFTER_MS: units.Millis = 250;

/** Age of an unanswered ping at which the gate is reported as maybe unreachable; the link stays. */
const MAYBE_UNREACHABLE_MS: units.Millis = 100;

/** Age of an unanswered ping at which the link is replaced. */
const PING_TIMEOUT_MS: units.Millis = 300;

/** Timeout of opening the connection and exchanging greetings. */
const OPEN_TIMEOUT_MS: units.Millis = 1_000;

/** Time after the loss of a link within which its requests are sent again over a new one. */
const RESEND_REPEATABLE_MS: units.Millis = 200;
const RESEND_NON_REPEATABLE_MS: units.Millis = 1_000;

/** Backoff between attempts to open the link; doubled after each failure. */
const FIRST_BACKOFF_MS: units.Millis = 100;
const MAX_BACKOFF_MS: units.Millis = 4_000;

/** Receives the events of a link. */
export interface GateLinkListener {
  onUp(nodeId: string): void;
  onDown(nodeId: string, detail: string): void;
  /** The gate has not answered a ping in time and may be unreachable. */
  onMaybeUnreachable(nodeId: string): void;
  onAnswer(nodeId: string, answer: serving.Answer): void;
  onRefusal(nodeId: string, refusal: serving.Refusal): void;
  onPulse(nodeId: string, pulse: serving.Pulse): void;
  onState(nodeId: string, state: serving.FleetState): void;
  onTokenGrant(nodeId: string, grant: serving.TokenGrant): void;
  onSuspect(suspect: serving.Suspect): void;
  onFreshnessProof(nodeId: string, proof: serving.FreshnessProof): void;
  /** This link can no longer report the outcome of a request. */
  onRequestLost(nodeId: string, call: number): void;
  /** Another node listens at the address. */
  onMismatch(nodeId: string, found: serving.NodeRecord | undefined): void;
}

/** Dependencies of `GateLink`. */
export interface GateLinkOptions {
  readonly listener: GateLinkListener;
  greeting(toNodeId: string): serving.Greeting;
  /** Time without a frame until the gate is pinged, while no requests are pending. */
  idlePingAfterMs(): units.Millis;
  nowMs(): units.MonotonicMs;
}

class PendingRequest {
  /** Time at which the link was lost, undefined once the request was sent again. */
  lostMs: units.MonotonicMs | undefined;

  constructor(
    readonly dispatch: serving.Dispatch,
    readonly sentMs: units.MonotonicMs,
  ) {}
}

type LinkState =
  | {readonly kind: 'waiting'; readonly untilMs: units.MonotonicMs}
  | {readonly kind: 'opening'; readonly sinceMs: units.MonotonicMs}
  | {readonly kind: 'up'};

/** Keeps a connection to one gate open and reports an end for each request unless withdrawn. */
export class GateLink implements Disposable {
  private state: LinkState = {kind: 'waiting', untilMs: 0};
  private socket: framedSocket.FramedSocket<serving.NodeFrame> | undefined;
  private readonly pending = new Map<number, PendingRequest>();
  private gateStartedMs: number | undefined;
  private receivedMs: units.MonotonicMs = 0;
  private pingedMs: units.MonotonicMs | undefined;
  /** Time of the first request sent since the last frame received. */
  private unansweredSinceMs: units.MonotonicMs | undefined;
  private maybeUnreachable = false;
  private backoffMs = FIRST_BACKOFF_MS;
  private disposed = false;

  constructor(
    private readonly record: nodeRecord.NodeRecord,
    private readonly options: GateLinkOptions,
  ) {
    this.open();
  }

  /** Whether the link is open and the greetings have been exchanged. */
  get isUp(): boolean {
    return this.state.kind === 'up';
  }

  /** Whether the gate has not answered a ping in time and may be unreachable. */
  get isMaybeUnreachable(): boolean {
    return this.maybeUnreachable;
  }

  /** Sends a request; while the link is down, it is sent or reported lost on reconnection. */
  dispatch(dispatch: serving.Dispatch): void {
    const sentMs = this.options.nowMs();
    this.unansweredSinceMs ??= sentMs;
    this.pending.set(dispatch.call, new PendingRequest(dispatch, sentMs));
    this.send({$case: 'dispatch', value: dispatch});
  }

  /** Cancels a request; its outcome is not reported. */
  withdraw(call: number): void {
    if (this.pending.delete(call)) {
      this.send({$case: 'withdraw', value: {call}});
    }
  }

  /** Asks for tokens; ignored while the link is down, since the answer would come too late. */
  requestTokens(value: serving.TokenRequest): void {
    if (this.state.kind === 'up') {
      this.unansweredSinceMs ??= this.options.nowMs();
    }
    this.send({$case: 'tokenRequest', value});
  }

  /** Pings the gate unless it was heard within `quietMs` or has a ping to answer. */
  probe(quietMs: units.Millis): void {
    const now = this.options.nowMs();
    if (this.state.kind !== 'up' || this.pingedMs !== undefined) return;
    if (now - this.receivedMs < quietMs) return;
    this.pingedMs = now;
    this.send({$case: 'ping', value: {}});
  }

  /** Requests the fleet state that the node holds. */
  requestState(): void {
    this.send({$case: 'stateWanted', value: {}});
  }

  /** Requests the node's freshness proof; a node that stays silent is pinged soon. */
  requestFreshness(question: number): void {
    this.unansweredSinceMs ??= this.options.nowMs();
    this.send({$case: 'freshnessRequest', value: {question}});
  }

  /** Ends the backoff and opens the link now, after the node has connected here. */
  reconnectNow(): void {
    this.backoffMs = FIRST_BACKOFF_MS;
    if (this.state.kind === 'waiting') this.open();
  }

  /** Whether the link is open and waits for nothing, so that only an idle ping can be due. */
  get isIdle(): boolean {
    return (
      this.state.kind === 'up' &&
      this.pending.size === 0 &&
      this.pingedMs === undefined &&
      this.unansweredSinceMs === undefined
    );
  }

  /** Runs timeouts, pings and reconnects that are due. */
  tick(now: units.MonotonicMs): void {
    switch (this.state.kind) {
      case 'waiting':
        if (this.state.untilMs <= now) this.open();
        break;
      case 'opening':
        if (now - this.state.sinceMs > OPEN_TIMEOUT_MS) {
          this.handleLoss('no greeting in time');
        }
        break;
      case 'up':
        this.checkProgress(now);
        break;
    }
    this.expireLost(now);
  }

  [Symbol.dispose](): void {
    this.disposed = true;
    this.socket?.[Symbol.dispose]();
    this.failAll();
  }

  private open(): void {
    const {ip, port, nodeId} = this.record;
    this.state = {kind: 'opening', sinceMs: this.options.nowMs()};
    const socket: framedSocket.FramedSocket<serving.NodeFrame> =
      linkFrame.wrapSocket(net.connect({host: ip, port}), nodeId, {
        onConnect: () => this.onConnect(socket),
        onFrame: frame => this.onFrame(socket, frame),
        onMalformed: () => this.onSocketLost(socket, 'malformed frame'),
        onClose: () => this.onSocketLost(socket, 'connection closed'),
      });
    this.socket = socket;
  }

  private onConnect(
    socket: framedSocket.FramedSocket<serving.NodeFrame>,
  ): void {
    const value = this.options.greeting(this.record.nodeId);
    socket.send({body: {$case: 'greeting', value}});
  }

  private onSocketLost(
    socket: framedSocket.FramedSocket<serving.NodeFrame>,
    detail: string,
  ): void {
    if (this.socket === socket) this.handleLoss(detail);
  }

  private onFrame(
    socket: framedSocket.FramedSocket<serving.NodeFrame>,
    frame: serving.NodeFrame,
  ): void {
    if (this.socket !== socket) return;
    this.receivedMs = this.options.nowMs();
    this.resetProgressCheck();
    const {listener} = this.options;
    const {nodeId} = this.record;
    const {body} = frame;
    switch (body?.$case) {
      case 'greeting':
        return this.onGreeting(body.value);
      case 'answer':
        if (!this.pending.delete(body.value.call)) return;
        return listener.onAnswer(nodeId, body.value);
      case 'refusal':
        if (!this.pending.delete(body.value.call)) return;
        return listener.onRefusal(nodeId, body.value);
      case 'pulse':
        return listener.onPulse(nodeId, body.value);
      case 'state':
        return listener.onState(nodeId, body.value);
      case 'suspect':
        return listener.onSuspect(body.value);
      case 'freshnessProof':
        return listener.onFreshnessProof(nodeId, body.value);
      case 'tokenGrant':
        return listener.onTokenGrant(nodeId, body.value);
      case 'tokenRequest':
      case 'dispatch':
      case 'withdraw':
      case 'ping':
      case 'stateWanted':
      case 'freshnessRequest':
      case undefined:
        return;
    }
  }

  private onGreeting(greeting: serving.Greeting): void {
    const {nodeId} = this.record;
    if (greeting.sender?.nodeId !== nodeId) {
      this.handleLoss('another node listens at the address');
      this.options.listener.onMismatch(nodeId, greeting.sender);
      return;
    }
    const sameProcess = this.gateStartedMs === greeting.processStartedMs;
    this.gateStartedMs = greeting.processStartedMs;
    this.state = {kind: 'up'};
    this.backoffMs = FIRST_BACKOFF_MS;
    this.options.listener.onUp(nodeId);
    if (sameProcess) this.resendAll();
    else this.failAll();
  }

  /** Safe for the same gate process only: it recognizes requests that it has received before. */
  private resendAll(): void {
    const now = this.options.nowMs();
    for (const item of this.pending.values()) {
      const elapsedMs = Math.floor(now - item.sentMs);
      const {timeLeftMs, objectiveLeftMs} = item.dispatch;
      item.lostMs = undefined;
      const value = {
        ...item.dispatch,
        timeLeftMs: Math.max(1, timeLeftMs - elapsedMs),
        objectiveLeftMs: Math.max(0, objectiveLeftMs - elapsedMs),
      };
      this.send({$case: 'dispatch', value});
    }
  }

  private failAll(): void {
    const calls = [...this.pending.keys()];
    this.pending.clear();
    for (const call of calls) {
      this.options.listener.onRequestLost(this.record.nodeId, call);
    }
  }

  private expireLost(now: units.MonotonicMs): void {
    if (this.pending.size === 0) return;
    for (const [call, {dispatch, lostMs}] of [...this.pending]) {
      if (lostMs === undefined) continue;
      const windowMs = dispatch.repeatable
        ? RESEND_REPEATABLE_MS
        : RESEND_NON_REPEATABLE_MS;
      if (now - lostMs < windowMs) continue;
      this.pending.delete(call);
      this.options.listener.onRequestLost(this.record.nodeId, call);
    }
  }

  private checkProgress(now: units.MonotonicMs): void {
    if (this.pingedMs !== undefined) {
      const pingAgeMs = now - this.pingedMs;
      if (pingAgeMs > PING_TIMEOUT_MS) this.handleLoss('silent');
      else if (pingAgeMs > MAYBE_UNREACHABLE_MS) this.markMaybeUnreachable();
      return;
    }
    const [oldest] = this.pending.values();
    const sinceMs = Math.max(this.receivedMs, oldest?.sentMs ?? 0);
    const idleMs = now - sinceMs;
    const limitMs = oldest
      ? REPEAT_PING_AFTER_MS
      : this.options.idlePingAfterMs();
    const waitingMs = now - (this.unansweredSinceMs ?? now);
    if (idleMs <= limitMs && waitingMs <= FIRST_PING_AFTER_MS) return;
    this.pingedMs = now;
    this.send({$case: 'ping', value: {}});
  }

  private handleLoss(detail: string): void {
    const wasUp = this.state.kind === 'up';
    const now = this.options.nowMs();
    const socket = this.socket;
    this.socket = undefined;
    this.resetProgressCheck();
    socket?.[Symbol.dispose]();
    for (const item of this.pending.values()) item.lostMs ??= now;
    const waitMs = wasUp ? 0 : this.backoffMs;
    this.state = {kind: 'waiting', untilMs: now + waitMs};
    if (!wasUp) this.backoffMs = Math.min(MAX_BACKOFF_MS, 2 * this.backoffMs);
    if (this.disposed) return;
    if (wasUp) {
      this.options.listener.onDown(this.record.nodeId, detail);
      this.open();
    }
  }

  private markMaybeUnreachable(): void {
    if (this.maybeUnreachable) return;
    this.maybeUnreachable = true;
    this.options.listener.onMaybeUnreachable(this.record.nodeId);
  }

  private resetProgressCheck(): void {
    this.pingedMs = undefined;
    this.unansweredSinceMs = undefined;
    this.maybeUnreachable = false;
  }

  private send(body: serving.NodeFrame['body']): void {
    if (this.state.kind === 'up') this.socket?.send({body});
  }
}
