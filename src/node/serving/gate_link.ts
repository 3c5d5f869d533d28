/** A link to another node's gate: carries requests there and survives its own loss. */
import * as net from 'node:net';

import * as units from '../../common/units.js';
import * as serving from '../../generated/serving.js';
import * as framedSocket from '../framed_socket.js';
import * as linkFrame from './link_frame.js';

/** Silence after a request after which the gate is asked for a sign of life, once a request. */
const UNHEARD_MS: units.Millis = 80;

/** Silence with requests outstanding after which it is asked again. */
const SILENCE_MS: units.Millis = 250;

/** Time without the sign of life after which the gate may be out of reach. */
const DOUBT_MS: units.Millis = 100;

/** Time allowed for the sign of life. */
const PING_TIMEOUT_MS: units.Millis = 300;

/** Time allowed to open the connection and exchange greetings. */
const OPEN_TIMEOUT_MS: units.Millis = 1_000;

/** Time after the loss of a link within which its requests are sent again over a fresh one. */
const RESEND_REPEATABLE_MS: units.Millis = 200;
const RESEND_ONCE_MS: units.Millis = 1_000;

/** Waits between attempts to open the link; doubled after each failure. */
const FIRST_BACKOFF_MS: units.Millis = 100;
const MAX_BACKOFF_MS: units.Millis = 4_000;

/** What happens on a link. */
export interface GateLinkListener {
  onUp(nodeId: string): void;
  onDown(nodeId: string, detail: string): void;
  /** The gate is silent and may be out of reach. */
  onDoubtful(nodeId: string): void;
  onAnswer(nodeId: string, answer: serving.Answer): void;
  onRefusal(nodeId: string, refusal: serving.Refusal): void;
  onPulse(nodeId: string, pulse: serving.Pulse): void;
  onState(nodeId: string, state: serving.FleetState): void;
  onSuspect(suspect: serving.Suspect): void;
  /** The outcome of a request cannot be learnt over this link any more. */
  onRequestLost(nodeId: string, call: number): void;
  /** Another node answers at the address. */
  onMismatch(nodeId: string, found: serving.NodeRecord | undefined): void;
}

/** What a link needs of its owner. */
export interface GateLinkContext {
  readonly listener: GateLinkListener;
  greeting(toNodeId: string): serving.Greeting;
  /** Silence without requests after which the gate is asked for a sign of life. */
  idleSilenceMs(): units.Millis;
  nowMs(): units.MonotonicMs;
}

class Outstanding {
  /** Since when the request waits for a fresh link. */
  lostMs: units.MonotonicMs | undefined;

  constructor(
    readonly dispatch: serving.Dispatch,
    readonly sentMs: units.MonotonicMs,
  ) {}
}

type State =
  | {readonly kind: 'waiting'; readonly untilMs: units.MonotonicMs}
  | {readonly kind: 'opening'; readonly sinceMs: units.MonotonicMs}
  | {readonly kind: 'up'};

/** Keeps a connection to one gate open and its requests accounted for. */
export class GateLink implements Disposable {
  private state: State = {kind: 'waiting', untilMs: 0};
  private socket: framedSocket.FramedSocket<serving.NodeFrame> | undefined;
  private readonly outstanding = new Map<number, Outstanding>();
  private gateProcessMs: number | undefined;
  private receivedMs: units.MonotonicMs = 0;
  private pingedMs: units.MonotonicMs | undefined;
  /** Time of the first request since the newest frame. */
  private unheardMs: units.MonotonicMs | undefined;
  private doubtful = false;
  private backoffMs = FIRST_BACKOFF_MS;
  private disposed = false;

  constructor(
    private readonly record: serving.NodeRecord,
    private readonly context: GateLinkContext,
  ) {
    this.open();
  }

  /** Whether requests can be sent. */
  get isUp(): boolean {
    return this.state.kind === 'up';
  }

  /** Whether the gate has been silent to a question, and may be out of reach. */
  get isDoubtful(): boolean {
    return this.doubtful;
  }

  /** Sends a request. */
  dispatch(dispatch: serving.Dispatch): void {
    const sentMs = this.context.nowMs();
    this.unheardMs ??= sentMs;
    this.outstanding.set(dispatch.call, new Outstanding(dispatch, sentMs));
    this.send({$case: 'dispatch', value: dispatch});
  }

  /** Tells the gate that nobody wants the request any more. */
  withdraw(call: number): void {
    if (this.outstanding.delete(call)) {
      this.send({$case: 'withdraw', value: {call}});
    }
  }

  /** Asks for the state of the fleet. */
  requestState(): void {
    this.send({$case: 'stateWanted', value: {}});
  }

  /** Opens the link at once if it waits: the node has given a sign of life. */
  wake(): void {
    this.backoffMs = FIRST_BACKOFF_MS;
    if (this.state.kind === 'waiting') this.open();
  }

  /** Does what time has made due. */
  tick(now: units.MonotonicMs): void {
    switch (this.state.kind) {
      case 'waiting':
        if (this.state.untilMs <= now) this.open();
        break;
      case 'opening':
        if (now - this.state.sinceMs > OPEN_TIMEOUT_MS) {
          this.lose('no answer to the opening');
        }
        break;
      case 'up':
        this.checkSilence(now);
        break;
    }
    this.giveUpLost(now);
  }

  [Symbol.dispose](): void {
    this.disposed = true;
    this.socket?.[Symbol.dispose]();
    this.failAll();
  }

  private open(): void {
    const {ip, port, nodeId} = this.record;
    this.state = {kind: 'opening', sinceMs: this.context.nowMs()};
    const socket: framedSocket.FramedSocket<serving.NodeFrame> = linkFrame.wrap(
      net.connect({host: ip, port}),
      nodeId,
      {
        onConnect: () => this.onConnect(socket),
        onFrame: frame => this.onFrame(socket, frame),
        onMalformed: () => this.onSocketLost(socket, 'malformed frame'),
        onClose: () => this.onSocketLost(socket, 'connection closed'),
      },
    );
    this.socket = socket;
  }

  private onConnect(
    socket: framedSocket.FramedSocket<serving.NodeFrame>,
  ): void {
    const value = this.context.greeting(this.record.nodeId);
    socket.send({body: {$case: 'greeting', value}});
  }

  private onSocketLost(
    socket: framedSocket.FramedSocket<serving.NodeFrame>,
    detail: string,
  ): void {
    if (this.socket === socket) this.lose(detail);
  }

  private onFrame(
    socket: framedSocket.FramedSocket<serving.NodeFrame>,
    frame: serving.NodeFrame,
  ): void {
    if (this.socket !== socket) return;
    this.receivedMs = this.context.nowMs();
    this.hear();
    const {listener} = this.context;
    const {nodeId} = this.record;
    const {body} = frame;
    switch (body?.$case) {
      case 'greeting':
        return this.onGreeting(body.value);
      case 'answer':
        if (!this.outstanding.delete(body.value.call)) return;
        return listener.onAnswer(nodeId, body.value);
      case 'refusal':
        if (!this.outstanding.delete(body.value.call)) return;
        return listener.onRefusal(nodeId, body.value);
      case 'pulse':
        return listener.onPulse(nodeId, body.value);
      case 'state':
        return listener.onState(nodeId, body.value);
      case 'suspect':
        return listener.onSuspect(body.value);
      case 'dispatch':
      case 'withdraw':
      case 'ping':
      case 'stateWanted':
      case undefined:
        return;
    }
  }

  private onGreeting(greeting: serving.Greeting): void {
    const {nodeId} = this.record;
    if (greeting.sender?.nodeId !== nodeId) {
      this.lose('another node answers');
      this.context.listener.onMismatch(nodeId, greeting.sender);
      return;
    }
    const sameProcess = this.gateProcessMs === greeting.processStartedMs;
    this.gateProcessMs = greeting.processStartedMs;
    this.state = {kind: 'up'};
    this.backoffMs = FIRST_BACKOFF_MS;
    this.context.listener.onUp(nodeId);
    if (sameProcess) this.resendAll();
    else this.failAll();
  }

  /** The gate's process is the same: it knows which of these requests it has seen. */
  private resendAll(): void {
    const now = this.context.nowMs();
    for (const item of this.outstanding.values()) {
      const spentMs = Math.floor(now - item.sentMs);
      const {timeLeftMs, objectiveLeftMs} = item.dispatch;
      item.lostMs = undefined;
      const value = {
        ...item.dispatch,
        timeLeftMs: Math.max(1, timeLeftMs - spentMs),
        objectiveLeftMs: Math.max(0, objectiveLeftMs - spentMs),
      };
      this.send({$case: 'dispatch', value});
    }
  }

  private failAll(): void {
    const calls = [...this.outstanding.keys()];
    this.outstanding.clear();
    for (const call of calls) {
      this.context.listener.onRequestLost(this.record.nodeId, call);
    }
  }

  private giveUpLost(now: units.MonotonicMs): void {
    for (const [call, {dispatch, lostMs}] of [...this.outstanding]) {
      if (lostMs === undefined) continue;
      const waitMs = dispatch.repeatable
        ? RESEND_REPEATABLE_MS
        : RESEND_ONCE_MS;
      if (now - lostMs < waitMs) continue;
      this.outstanding.delete(call);
      this.context.listener.onRequestLost(this.record.nodeId, call);
    }
  }

  private checkSilence(now: units.MonotonicMs): void {
    if (this.pingedMs !== undefined) {
      const unansweredMs = now - this.pingedMs;
      if (unansweredMs > PING_TIMEOUT_MS) this.lose('silent');
      else if (unansweredMs > DOUBT_MS) this.doubt();
      return;
    }
    const [oldest] = this.outstanding.values();
    const sinceMs = Math.max(this.receivedMs, oldest?.sentMs ?? 0);
    const silentMs = now - sinceMs;
    const bound = oldest ? SILENCE_MS : this.context.idleSilenceMs();
    const unheardMs = now - (this.unheardMs ?? now);
    if (silentMs <= bound && unheardMs <= UNHEARD_MS) return;
    this.pingedMs = now;
    this.send({$case: 'ping', value: {}});
  }

  private lose(detail: string): void {
    const wasUp = this.state.kind === 'up';
    const now = this.context.nowMs();
    const socket = this.socket;
    this.socket = undefined;
    this.hear();
    socket?.[Symbol.dispose]();
    for (const item of this.outstanding.values()) item.lostMs ??= now;
    const waitMs = wasUp ? 0 : this.backoffMs;
    this.state = {kind: 'waiting', untilMs: now + waitMs};
    if (!wasUp) this.backoffMs = Math.min(MAX_BACKOFF_MS, 2 * this.backoffMs);
    if (this.disposed) return;
    if (wasUp) {
      this.context.listener.onDown(this.record.nodeId, detail);
      this.open();
    }
  }

  private doubt(): void {
    if (this.doubtful) return;
    this.doubtful = true;
    this.context.listener.onDoubtful(this.record.nodeId);
  }

  private hear(): void {
    this.pingedMs = undefined;
    this.unheardMs = undefined;
    this.doubtful = false;
  }

  private send(body: serving.NodeFrame['body']): void {
    if (this.state.kind === 'up') this.socket?.send({body});
  }
}
