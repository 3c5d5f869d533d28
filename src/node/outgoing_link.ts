/** Link opened by this node to another node's gate. */
import * as net from 'node:net';

import * as counters from '../common/counters.js';
import * as units from '../common/units.js';
import * as peer from '../generated/peer.js';
import * as framedSocket from './framed_socket.js';
import * as linkEvent from './link_event.js';

/** Time allowed for the answer to a ping. */
const PING_TIMEOUT_MS: units.Millis = 100;

/** Idle time above which a ping is sent with the next attempt. */
const MAX_IDLE_WITHOUT_PING_MS: units.Millis = 1_000;

/** Node at the other end of a link. */
export interface LinkTarget {
  readonly nodeId: string;
  readonly ip: string;
  readonly port: number;
}

/** Limits and callbacks provided by the owner of an outgoing link. */
export interface OutgoingLinkContext {
  readonly identity: linkEvent.LinkIdentity;
  readonly maxFrameBytes: number;
  /** Queued bytes above which the link accepts no new attempt. */
  readonly maxQueuedBytes: number;
  readonly count: counters.Counters;
  nowMs(): units.MonotonicMs;
  /** Calls back once all sockets have been polled, so that what has arrived is read. */
  afterPoll(callback: () => void): void;
  emit(event: linkEvent.LinkEvent): void;
  /** Called when the link has ended or must not be used for new attempts. */
  onUnusable(link: OutgoingLink): void;
}

/** A silent link gets no new attempts, but replies to those that it has are taken. */
type State = 'connecting' | 'open' | 'silent' | 'closed';

/** A persistent connection that carries many attempts at once. */
export class OutgoingLink implements Disposable {
  private readonly socket: framedSocket.FramedSocket<peer.Frame>;
  private readonly pendingCallIds = new Set<string>();
  private state: State = 'connecting';
  private progressTimeoutMs: units.Millis;
  private lastActivityMs: units.MonotonicMs;
  private pingSentMs: units.MonotonicMs | undefined;
  private nonce = 0;
  private checkScheduled = false;

  constructor(
    readonly target: LinkTarget,
    progressTimeoutMs: units.Millis,
    private readonly context: OutgoingLinkContext,
  ) {
    this.progressTimeoutMs = progressTimeoutMs;
    this.lastActivityMs = context.nowMs();
    this.socket = new framedSocket.FramedSocket(
      net.connect({host: target.ip, port: target.port}),
      peer.Frame,
      context.maxFrameBytes,
      target.nodeId,
      {
        onConnect: () => this.onConnected(),
        onBytes: () => this.onBytes(),
        onFrame: frame => this.receive(frame),
        onMalformed: () => context.count.increment('malformed.frame'),
        onClose: err => this.close(err),
      },
    );
    this.socket.send({
      body: {
        $case: 'hello',
        value: {...context.identity, toNodeId: target.nodeId},
      },
    });
  }

  /** Whether new attempts may use the link. */
  get usable(): boolean {
    return this.state === 'connecting' || this.state === 'open';
  }

  /** Whether the connection has ended. */
  get ended(): boolean {
    return this.state === 'closed';
  }

  /** Whether any attempt is pending. */
  get busy(): boolean {
    return this.pendingCallIds.size > 0;
  }

  /** Time since the last bytes arrived or an attempt was sent on the idle link. */
  idleMs(nowMs: units.MonotonicMs): units.Millis {
    return nowMs - this.lastActivityMs;
  }

  /** Sends an attempt; emits `link-failed` if the link is unusable or its queue is full. */
  sendCall(call: peer.CallRequest, progressTimeoutMs: units.Millis): void {
    if (!this.usable || this.socket.queuedBytes > this.context.maxQueuedBytes) {
      this.fail(call.callId, false);
      return;
    }
    this.progressTimeoutMs = progressTimeoutMs;
    const nowMs = this.context.nowMs();
    const idle = !this.busy;
    const needsPing = idle && this.idleMs(nowMs) > MAX_IDLE_WITHOUT_PING_MS;
    if (idle) this.lastActivityMs = nowMs;
    this.pendingCallIds.add(call.callId);
    this.socket.send({body: {$case: 'request', value: call}});
    if (needsPing) this.ping(nowMs);
  }

  /** Cancels a pending attempt at the gate. */
  sendCancel(callId: string): void {
    if (!this.pendingCallIds.delete(callId)) return;
    this.socket.send({body: {$case: 'cancel', value: {callId}}});
  }

  /** Returns when `check` must be called next, undefined if no attempt is pending. */
  nextCheckMs(): units.MonotonicMs | undefined {
    if (this.pingSentMs !== undefined && this.state === 'open') {
      return this.pingSentMs + PING_TIMEOUT_MS;
    }
    return this.busy ? this.lastActivityMs + this.progressTimeoutMs : undefined;
  }

  /** Forgets a pending attempt that was answered over another link. */
  forget(callId: string): void {
    this.pendingCallIds.delete(callId);
  }

  /** Pings a link without progress; marks it silent if the ping is not answered in time. */
  check(nowMs: units.MonotonicMs): void {
    if (!this.isCheckDue(nowMs)) return;
    if (this.state === 'open' && this.pingSentMs === undefined) {
      this.ping(nowMs);
      return;
    }
    // After a pause of this process the reply may have arrived without being read.
    if (this.checkScheduled) return;
    this.checkScheduled = true;
    this.context.afterPoll(() => {
      this.checkScheduled = false;
      this.endIfOverdue();
    });
  }

  /** Ends the connection at once; pending attempts fail. */
  [Symbol.dispose](): void {
    this.socket[Symbol.dispose]();
    this.close();
  }

  private isCheckDue(nowMs: units.MonotonicMs): boolean {
    const checkDueMs = this.nextCheckMs();
    return this.usable && checkDueMs !== undefined && nowMs >= checkDueMs;
  }

  private endIfOverdue(): void {
    if (!this.isCheckDue(this.context.nowMs())) return;
    if (this.state === 'connecting') this[Symbol.dispose]();
    else if (this.pingSentMs !== undefined) this.markSilent();
  }

  private onConnected(): void {
    if (this.state !== 'connecting') return;
    this.state = 'open';
    this.lastActivityMs = this.context.nowMs();
  }

  private ping(nowMs: units.MonotonicMs): void {
    this.pingSentMs ??= nowMs;
    this.nonce++;
    this.context.count.increment('link.pings');
    this.socket.send({body: {$case: 'ping', value: {nonce: this.nonce}}});
  }

  private onBytes(): void {
    this.lastActivityMs = this.context.nowMs();
    this.pingSentMs = undefined;
  }

  private receive(frame: peer.Frame): void {
    switch (frame.body?.$case) {
      case 'answer':
        this.receiveAnswer(frame.body.value);
        return;
      case 'refusal':
        this.receiveRefusal(frame.body.value);
        return;
      case 'pong':
        if (frame.body.value.nonce !== this.nonce) return;
        return;
      case 'hello':
        if (frame.body.value.nodeId !== this.target.nodeId) this.reject();
        return;
      case 'request':
      case 'cancel':
      case 'ping':
      case undefined:
        this.reject();
    }
  }

  private receiveAnswer(answer: peer.CallAnswer): void {
    if (!this.removePending(answer.callId)) return;
    const {nodeId} = this.target;
    this.context.emit({kind: 'link-answer', nodeId, answer});
  }

  private receiveRefusal(refusal: peer.CallRefusal): void {
    if (!this.removePending(refusal.callId)) return;
    const {nodeId} = this.target;
    this.context.emit({kind: 'link-refusal', nodeId, refusal});
  }

  /** Removes a pending attempt; replies to other attempts are counted and dropped. */
  private removePending(callId: string): boolean {
    const wasPending = this.pendingCallIds.delete(callId);
    if (!wasPending) this.context.count.increment('link.late-answer');
    return wasPending;
  }

  private reject(): void {
    this.context.count.increment('malformed.frame');
    this[Symbol.dispose]();
  }

  private markSilent(): void {
    this.state = 'silent';
    this.context.count.increment('link.silent');
    this.context.onUnusable(this);
    const {nodeId} = this.target;
    for (const callId of [...this.pendingCallIds]) {
      this.context.emit({kind: 'link-silent', nodeId, callId});
    }
  }

  private close(err?: NodeJS.ErrnoException): void {
    if (this.state === 'closed') return;
    const {state} = this;
    const callIds = [...this.pendingCallIds];
    this.state = 'closed';
    this.pendingCallIds.clear();
    this.context.onUnusable(this);
    // `link-silent` has been emitted for these attempts, and they are resent over other links.
    if (state === 'silent') return;
    const refused = err?.code === 'ECONNREFUSED';
    for (const callId of callIds) {
      this.fail(callId, state !== 'connecting', refused);
    }
  }

  private fail(callId: string, sent: boolean, refused = false): void {
    const {nodeId} = this.target;
    this.context.count.increment('link.failed-attempt');
    this.context.emit({kind: 'link-failed', nodeId, callId, sent, refused});
  }
}
