/** A link to another node's gate that reconnects and sends its pending requests again. */
import * as net from 'node:net';

import * as linkOutage from '../../common/serving/link_outage.js';
import * as units from '../../common/units.js';
import * as serving from '../../generated/serving.js';
import * as framedSocket from '../framed_socket.js';
import * as gateLinkListener from './gate_link_listener.js';
import * as linkFrame from './link_frame.js';
import * as nodeRecord from './node_record.js';
import * as pendingRequests from './pending_requests.js';

/** Time without bytes from the gate after a request until it is pinged, once per request. */
const FIRST_PING_AFTER_MS: units.Millis = 80;

/** Time without bytes until further pings, while requests are pending. */
const REPEAT_PING_AFTER_MS: units.Millis = 250;

/** Age of an unanswered ping at which the gate is reported as maybe unreachable; the link stays. */
const MAYBE_UNREACHABLE_MS: units.Millis = 100;

/** Age of an unanswered ping at which a new connection is opened beside the silent one. */
export const PING_TIMEOUT_MS: units.Millis = 300;

/** Limit of that age, which doubles with each new connection that brings no reply. */
const MAX_PING_TIMEOUT_MS: units.Millis = 4_800;

/** Timeout of opening the connection and exchanging greetings. */
export const OPEN_TIMEOUT_MS: units.Millis = 1_000;

/** Timeout of opening the connection while requests are pending, shorter than a resent SYN. */
const PENDING_CONNECT_TIMEOUT_MS: units.Millis = 500;

/** Backoff between attempts to open the link; doubled after each failure. */
const FIRST_BACKOFF_MS: units.Millis = 100;
export const MAX_BACKOFF_MS: units.Millis = 4_000;

/** Detail of the loss of a link whose gate did not answer a ping. */
const SILENT = 'silent';

/** Time without an opened connection after which the node may no longer be at its address. */
const ABSENT_AFTER_MS: units.Millis = 1_000;

/** Limit of the backoff while requests are pending. */
const MAX_PENDING_BACKOFF_MS: units.Millis = 50;

/** Dependencies of `GateLink`. */
export interface GateLinkOptions {
  readonly listener: gateLinkListener.GateLinkListener;
  greeting(toNodeId: string): serving.Greeting;
  /** Time without bytes until the gate is pinged, while no requests are pending. */
  idlePingAfterMs(): units.Millis;
  /** Calls back once all sockets have been polled, so that what has arrived is read. */
  afterPoll(callback: () => void): void;
  nowMs(): units.MonotonicMs;
}

type LinkSocket = framedSocket.FramedSocket<serving.NodeFrame>;

type LinkState =
  | {readonly kind: 'waiting'; readonly untilMs: units.MonotonicMs}
  /** `connected` tells that the gate's instance has accepted the connection. */
  | {
      readonly kind: 'opening';
      readonly sinceMs: units.MonotonicMs;
      readonly connected: boolean;
    }
  | {readonly kind: 'up'};

/**
 * Keeps a connection to one gate open and reports an end for each request unless withdrawn. A
 * silent connection is kept until a new one has been opened: if the gate's process was only paused,
 * the answers that it owes come over the connection that it knows.
 */
export class GateLink implements Disposable {
  private state: LinkState = {kind: 'waiting', untilMs: 0};
  private socket: LinkSocket | undefined;
  /** The former connection, which was silent when a new one was opened. */
  private silentSocket: LinkSocket | undefined;
  private readonly pending = new pendingRequests.PendingRequests();
  private readonly withdrawals = new pendingRequests.RecentWithdrawals();
  private gateStartedMs: number | undefined;
  private receivedMs: units.MonotonicMs = 0;
  private pingedMs: units.MonotonicMs | undefined;
  /** Time of the first request sent since the last bytes received. */
  private unansweredSinceMs: units.MonotonicMs | undefined;
  private pingTimeoutMs = PING_TIMEOUT_MS;
  private maybeUnreachable = false;
  private isCheckScheduled = false;
  private downSinceMs: units.MonotonicMs | undefined;
  private openFailures: linkOutage.OpenFailures | undefined;
  /** Start of the first of `openFailures`. */
  private failingSinceMs: units.MonotonicMs = 0;
  private backoffMs = FIRST_BACKOFF_MS;
  private disposed = false;

  constructor(
    private record: nodeRecord.NodeRecord,
    private readonly options: GateLinkOptions,
  ) {
    this.open();
  }

  /** Whether the link is open and the greetings have been exchanged. */
  get isUp(): boolean {
    return this.state.kind === 'up';
  }

  /** Start of the gate's process, undefined while the link is not up. */
  get processStartedMs(): units.EpochMs | undefined {
    return this.isUp ? this.gateStartedMs : undefined;
  }

  /** Whether the gate has not answered a ping in time and may be unreachable. */
  get isMaybeUnreachable(): boolean {
    return this.maybeUnreachable;
  }

  /** Sends a request; reports it as lost if the link is down. */
  dispatch(dispatch: serving.Dispatch): void {
    if (!this.isUp) return this.reportLost(dispatch.call, 'not-sent');
    const sentMs = this.options.nowMs();
    this.unansweredSinceMs ??= sentMs;
    this.pending.add(dispatch, sentMs);
    this.send({$case: 'dispatch', value: dispatch});
  }

  /** Cancels a request; its outcome is not reported. */
  withdraw(call: number): void {
    if (!this.pending.delete(call)) return;
    const now = this.options.nowMs();
    this.withdrawals.add(call, now);
    const body = {$case: 'withdraw', value: {call}} as const;
    if (this.isUp) this.send(body);
    else this.silentSocket?.send(linkFrame.stamped(body, now));
  }

  /** Applies a new record of the node; one with another address opens a new connection. */
  update(record: nodeRecord.NodeRecord): void {
    const {ip, port} = this.record;
    this.record = record;
    if (record.ip === ip && record.port === port) return;
    this.openFailures = undefined;
    this.backoffMs = FIRST_BACKOFF_MS;
    this.dropSilentSocket();
    if (this.isUp) return this.handleLoss('address changed');
    this.dropSocket();
    this.open();
  }

  /** Asks for tokens; ignored while the link is down, since the answer would come too late. */
  requestTokens(value: serving.TokenRequest): void {
    if (this.isUp) this.unansweredSinceMs ??= this.options.nowMs();
    this.send({$case: 'tokenRequest', value});
  }

  /** Pings the gate unless it was heard within `quietMs` or has a ping to answer. */
  probe(quietMs: units.Millis): void {
    const now = this.options.nowMs();
    if (!this.isUp || this.pingedMs !== undefined) return;
    if (now - this.receivedMs < quietMs) return;
    this.ping(now);
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
      this.isUp &&
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
        if (this.isOpeningOverdue(now)) this.checkAfterPoll();
        break;
      case 'up':
        if (this.pingedMs === undefined) this.pingIfDue(now);
        else if (now - this.pingedMs > MAYBE_UNREACHABLE_MS) {
          this.checkAfterPoll();
        }
        break;
    }
    if (this.downSinceMs !== undefined && this.pending.size > 0) {
      this.checkAfterPoll();
    }
  }

  [Symbol.dispose](): void {
    this.disposed = true;
    this.dropSocket();
    this.dropSilentSocket();
    this.failAll('link-removed');
  }

  private open(): void {
    const {ip, port, nodeId} = this.record;
    const sinceMs = this.options.nowMs();
    this.state = {kind: 'opening', sinceMs, connected: false};
    const socket: LinkSocket = linkFrame.wrapSocket(
      net.connect({host: ip, port}),
      nodeId,
      {
        onConnect: () => this.onConnect(socket),
        onBytes: () => this.onBytes(socket),
        onFrame: frame => this.onFrame(socket, frame),
        onMalformed: () => this.onSocketLost(socket, 'malformed frame'),
        onClose: err =>
          this.onSocketLost(socket, err?.code ?? 'connection closed'),
      },
    );
    this.socket = socket;
  }

  private onConnect(socket: LinkSocket): void {
    if (this.socket === socket && this.state.kind === 'opening') {
      this.state = {...this.state, connected: true};
      if (this.openFailures?.kind === 'unanswered') {
        this.openFailures = undefined;
      }
    }
    const value = this.options.greeting(this.record.nodeId);
    const body = {$case: 'greeting', value} as const;
    socket.send(linkFrame.stamped(body, this.options.nowMs()));
  }

  private onSocketLost(socket: LinkSocket, detail: string): void {
    if (this.silentSocket === socket) this.silentSocket = undefined;
    if (this.socket !== socket) return;
    if (this.isUp) return this.handleLoss(detail);
    this.handleOpenFailed(linkOutage.failureKindOf(detail));
  }

  private onBytes(socket: LinkSocket): void {
    if (this.silentSocket === socket) this.returnToSilentSocket(socket);
    if (this.socket !== socket) return;
    this.receivedMs = this.options.nowMs();
    this.resetProgressCheck();
  }

  private onFrame(socket: LinkSocket, frame: serving.NodeFrame): void {
    if (this.socket !== socket) return;
    const {listener} = this.options;
    const {nodeId} = this.record;
    const {body} = frame;
    switch (body?.$case) {
      case 'greeting':
        return this.onGreeting(body.value);
      case 'answer':
        this.pingTimeoutMs = PING_TIMEOUT_MS;
        if (!this.pending.delete(body.value.call)) return;
        return listener.onAnswer(nodeId, body.value);
      case 'refusal':
        this.pingTimeoutMs = PING_TIMEOUT_MS;
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
      case 'ping':
        return this.send({$case: 'ping', value: {}});
      case 'tokenRequest':
      case 'dispatch':
      case 'withdraw':
      case 'stateWanted':
      case 'freshnessRequest':
      case 'part':
      case undefined:
        return;
    }
  }

  private onGreeting(greeting: serving.Greeting): void {
    const {nodeId} = this.record;
    if (greeting.sender?.nodeId !== nodeId) {
      this.handleOpenFailed('refused');
      return this.options.listener.onMismatch(nodeId, greeting.sender);
    }
    const sameProcess = this.gateStartedMs === greeting.processStartedMs;
    this.gateStartedMs = greeting.processStartedMs;
    if (greeting.acceptsParts) this.socket?.allowParts();
    if (greeting.notice) this.options.listener.onNotice(greeting.notice);
    this.dropSilentSocket();
    this.onRestored({sameProcess, sameConnection: false});
    if (!sameProcess) return this.failAll('process-replaced');
    // Safe for the same process only: it recognizes requests that it has received before.
    for (const value of this.pending.resends(this.options.nowMs())) {
      this.send({$case: 'dispatch', value});
    }
    // Large requests on a slow link would otherwise be sent again and again.
    this.pingTimeoutMs =
      this.pending.size === 0
        ? PING_TIMEOUT_MS
        : Math.min(MAX_PING_TIMEOUT_MS, 2 * this.pingTimeoutMs);
  }

  /** Goes back to the former connection, whose gate was only paused. */
  private returnToSilentSocket(socket: LinkSocket): void {
    this.dropSocket();
    this.socket = socket;
    this.silentSocket = undefined;
    this.onRestored({sameProcess: true, sameConnection: true});
  }

  private onRestored(up: gateLinkListener.LinkUp): void {
    const {listener} = this.options;
    const {nodeId} = this.record;
    this.state = {kind: 'up'};
    this.backoffMs = FIRST_BACKOFF_MS;
    this.downSinceMs = undefined;
    this.openFailures = undefined;
    listener.onUp(nodeId, up);
    if (!up.sameProcess) return this.withdrawals.clear();
    for (const call of this.withdrawals.calls) {
      this.send({$case: 'withdraw', value: {call}});
    }
    for (const call of this.pending.takeUnknown()) {
      listener.onGateResponds(nodeId, call);
    }
  }

  private failAll(cause: gateLinkListener.LossCause): void {
    for (const call of this.pending.takeAll()) this.reportLost(call, cause);
  }

  private reportLost(call: number, cause: gateLinkListener.LossCause): void {
    this.options.listener.onRequestLost(this.record.nodeId, call, cause);
  }

  /** Reports the requests whose outcome is unknown, and ends those whose gate is gone. */
  private judgePending(now: units.MonotonicMs): void {
    if (this.downSinceMs === undefined || this.pending.size === 0) return;
    const durationMs = now - this.downSinceMs;
    const outage = {durationMs, openFailures: this.openFailures};
    for (const {call, repeatable} of this.pending.dispatches) {
      const verdict = linkOutage.verdictOf(outage, repeatable);
      switch (verdict) {
        case 'pending':
          break;
        case 'unknown':
          if (!this.pending.markUnknown(call)) break;
          this.options.listener.onOutcomeUnknown(this.record.nodeId, call);
          break;
        case 'process-ended':
        case 'unreachable':
          // A process that is there all the same must not go on with the run.
          this.withdraw(call);
          this.reportLost(call, verdict);
          break;
      }
    }
  }

  private isOpeningOverdue(now: units.MonotonicMs): boolean {
    if (this.state.kind !== 'opening') return false;
    const isPendingConnect = this.pending.size > 0 && !this.state.connected;
    const timeoutMs = isPendingConnect
      ? PENDING_CONNECT_TIMEOUT_MS
      : OPEN_TIMEOUT_MS;
    return now - this.state.sinceMs > timeoutMs;
  }

  private pingIfDue(now: units.MonotonicMs): void {
    const {oldestSentMs} = this.pending;
    const idleMs = now - Math.max(this.receivedMs, oldestSentMs ?? 0);
    const limitMs =
      oldestSentMs === undefined
        ? this.options.idlePingAfterMs()
        : REPEAT_PING_AFTER_MS;
    const waitingMs = now - (this.unansweredSinceMs ?? now);
    if (idleMs <= limitMs && waitingMs <= FIRST_PING_AFTER_MS) return;
    this.ping(now);
  }

  private ping(now: units.MonotonicMs): void {
    this.pingedMs = now;
    this.send({$case: 'ping', value: {}});
  }

  /** Checks overdue answers once what arrived during a pause of this process has been read. */
  private checkAfterPoll(): void {
    if (this.isCheckScheduled) return;
    this.isCheckScheduled = true;
    // A pause between now and the poll must not count either.
    const now = this.options.nowMs();
    this.options.afterPoll(() => {
      this.isCheckScheduled = false;
      if (this.disposed) return;
      this.checkOverdue(now);
      this.judgePending(now);
    });
  }

  private checkOverdue(now: units.MonotonicMs): void {
    if (this.isOpeningOverdue(now)) return this.handleOpenFailed('unanswered');
    if (!this.isUp || this.pingedMs === undefined) return;
    const pingAgeMs = now - this.pingedMs;
    if (pingAgeMs > this.pingTimeoutMs) this.handleLoss(SILENT);
    else if (pingAgeMs > MAYBE_UNREACHABLE_MS) this.markMaybeUnreachable();
  }

  /** Handles the loss of a link that was up. */
  private handleLoss(detail: string): void {
    const now = this.options.nowMs();
    if (detail === SILENT) this.silentSocket = this.socket;
    else this.dropSocket();
    this.socket = undefined;
    this.resetProgressCheck();
    this.downSinceMs = now;
    this.state = {kind: 'waiting', untilMs: now};
    if (this.disposed) return;
    const silentMs = now - this.receivedMs;
    const loss = {detail, silentMs, pending: this.pending.size};
    this.options.listener.onDown(this.record.nodeId, loss);
    this.open();
  }

  /** Handles a new connection that did not open, and opens another one after a backoff. */
  private handleOpenFailed(kind: linkOutage.OpenFailures['kind']): void {
    if (this.state.kind !== 'opening') return;
    const {sinceMs, connected} = this.state;
    const now = this.options.nowMs();
    this.dropSocket();
    const maxMs = this.pending.size > 0 ? MAX_PENDING_BACKOFF_MS : Infinity;
    const waitMs = Math.min(this.backoffMs, maxMs);
    this.backoffMs = Math.min(MAX_BACKOFF_MS, 2 * this.backoffMs);
    this.state = {kind: 'waiting', untilMs: now + waitMs};
    if (connected && kind === 'unanswered') {
      // A process accepts connections and may only be paused.
      this.openFailures = undefined;
      return;
    }
    if (this.openFailures?.kind !== kind) {
      // The time for which an accepted connection waited for a greeting shows nothing.
      this.failingSinceMs = connected ? now : sinceMs;
    }
    const durationMs = now - this.failingSinceMs;
    this.openFailures = {kind, durationMs};
    if (durationMs < ABSENT_AFTER_MS) return;
    this.options.listener.onAbsent(this.record.nodeId);
  }

  private dropSocket(): void {
    const {socket} = this;
    this.socket = undefined;
    socket?.[Symbol.dispose]();
  }

  private dropSilentSocket(): void {
    const {silentSocket} = this;
    this.silentSocket = undefined;
    // A request that it still holds back must not reach the gate after its caller has left.
    silentSocket?.reset();
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
    if (!this.isUp) return;
    this.socket?.send(linkFrame.stamped(body, this.options.nowMs()));
  }
}
