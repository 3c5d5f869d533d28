/** Sessions of other nodes' entries with this node's gate. */
import * as net from 'node:net';

import * as bodyMemory from '../../common/serving/body_memory.js';
import * as callKey from '../../common/serving/call_key.js';
import * as gateCall from '../../common/serving/gate_call.js';
import * as messageDelay from '../../common/serving/message_delay.js';
import * as units from '../../common/units.js';
import * as serving from '../../generated/serving.js';
import * as frameParts from '../frame_parts.js';
import * as framedSocket from '../framed_socket.js';
import * as tcpListener from '../tcp_listener.js';
import * as linkFrame from './link_frame.js';
import * as pulseInterval from './pulse_interval.js';

/** Timeout of the greeting. */
const GREETING_TIMEOUT_MS: units.Millis = 2_000;

/** Largest greeting, in bytes. */
const MAX_GREETING_BYTES = 64 * 1024;

/** Time without a frame after which a session is closed; entries ping earlier. */
export const IDLE_TIMEOUT_MS: units.Millis = 60_000;

/**
 * Time for which a request was held up from which its caller may have left so long ago that no
 * server may get it any more.
 */
const LATE_MS: units.Millis = 400;

/** Error of the time of sending: it is stated in whole milliseconds, and clocks drift. */
const SENT_ERROR_MS: units.Millis = 5;

/** Receives the events of sessions. */
export interface EntrySessionsListener {
  /** A process of a node has connected and sent its greeting. */
  onGreeting(sender: serving.NodeRecord, startedMs: units.EpochMs): void;
  /** A node tells what it knows of the backend server beside this one. */
  onNotice(notice: serving.ServerNotice): void;
  onDispatch(
    key: string,
    linkId: number,
    dispatch: serving.Dispatch,
    age: gateCall.ArrivalAge,
  ): void;
  /** A request came whose body was dropped, as there is no memory for it. */
  onTurnedAway(key: string, linkId: number, dispatch: serving.Dispatch): void;
  onWithdraw(key: string): void;
  /** An entry asks for tokens; the answer is sent at once. */
  onTokenRequest(request: serving.TokenRequest): serving.TokenGrant;
  /**
   * A session has closed.
   *
   * @param isEnded whether it was ended here, and then by its peer, without an error.
   */
  onLinkLost(linkId: number, isEnded: boolean): void;
}

/** Dependencies of `EntrySessions`. */
export interface EntrySessionsOptions {
  readonly listener: EntrySessionsListener;
  greeting(toNodeId: string): serving.Greeting;
  pulse(): serving.Pulse;
  state(): serving.FleetState;
  /** Returns the answer to a question for this node's freshness proof. */
  freshness(question: number): serving.FreshnessProof;
  /** Longest interval of pulses to a node that the state asks for, infinity by default. */
  maxPulseIntervalMs?(nodeId: string): units.Millis;
  /** Memory for bodies, unlimited by default. */
  readonly bodyMemory?: bodyMemory.BodyMemory;
  /** Most connections that have sent no greeting yet, unlimited by default. */
  readonly maxGreetings?: number;
  /** A connection was closed before its greeting, for the reason given. */
  onRefused?(reason: string): void;
  /** Returns the number of nodes in the fleet. */
  nodeCount(): number;
  nowMs(): units.MonotonicMs;
  /** Returns the longest time for which a message that is read now may have waited. */
  waitedMs(): units.Millis;
}

interface LateRequest {
  readonly key: string;
  readonly dispatch: serving.Dispatch;
  readonly delayMs: units.Millis;
  readonly readMs: units.MonotonicMs;
}

class Session {
  readonly socket: framedSocket.FramedSocket<serving.NodeFrame>;
  /** Id of the entry's process, see `callKey.processOf`; undefined before its greeting. */
  entryProcess: string | undefined;
  /** Id of the entry's node, undefined before its greeting. */
  nodeId: string | undefined;
  /** Whether this side is ended; what is sent from now on is lost. */
  ending = false;
  pulsedMs: units.MonotonicMs = 0;
  readonly delay = new messageDelay.MessageDelay();
  /** Requests that were held up on their way, in the order in which they were read. */
  late: readonly LateRequest[] = [];
  dispatchedMs: units.MonotonicMs = -Infinity;
  /** Bytes that were read before the last ones. */
  readBytes = 0;

  constructor(
    readonly id: number,
    connection: net.Socket,
    listener: Pick<
      framedSocket.FramedSocketListener<serving.NodeFrame>,
      'onBytes' | 'onClose' | 'onFrame'
    >,
    memory: frameParts.MessageMemory,
  ) {
    this.socket = linkFrame.wrapSocket(
      connection,
      connection.remoteAddress ?? '',
      {
        ...listener,
        onConnect: () => undefined,
        onMalformed: () => undefined,
      },
      memory,
    );
  }
}

/** Accepts connections of other nodes and sends them the gate's answers and pulses. */
export class EntrySessions implements AsyncDisposable {
  private readonly server: net.Server;
  private readonly sessions = new Map<number, Session>();
  /** Connections without a greeting, the oldest first. */
  private readonly ungreeted = new Map<Session, net.Socket>();
  private readonly bodyMemory: bodyMemory.BodyMemory;
  private lastId = 0;

  constructor(private readonly options: EntrySessionsOptions) {
    const {bodyMemory: memory = new bodyMemory.BodyMemory(Infinity)} = options;
    this.bodyMemory = memory;
    this.server = net.createServer({noDelay: true}, s => this.accept(s));
  }

  /** Starts accepting connections. */
  listen(address: tcpListener.ListenAddress): Promise<void> {
    return tcpListener.listen(this.server, address);
  }

  /** Sends a frame to the entry of a session; ignored if the session has ended. */
  send(linkId: number, body: serving.NodeFrame['body']): void {
    const session = this.sessions.get(linkId);
    if (session === undefined) return;
    if (body?.$case === 'answer') this.sendAnswer(session, body.value);
    else session.socket.send({body});
  }

  /** Sends a frame to all entries that have sent their greeting. */
  broadcast(body: serving.NodeFrame['body']): void {
    for (const {entryProcess, socket} of this.sessions.values()) {
      if (entryProcess !== undefined) socket.send({body});
    }
  }

  /** Sends a pulse to all entries now. */
  pulseAll(): void {
    const value = this.options.pulse();
    const now = this.options.nowMs();
    for (const session of this.sessions.values()) {
      this.sendPulse(session, value, now);
    }
  }

  /** Sends the pulses that are due. */
  tick(now: units.MonotonicMs): void {
    let value: serving.Pulse | undefined;
    const nodes = this.options.nodeCount();
    for (const session of this.sessions.values()) {
      const {nodeId} = session;
      if (nodeId === undefined) continue;
      const maxIntervalMs =
        this.options.maxPulseIntervalMs?.(nodeId) ?? Infinity;
      const sinceDispatchMs = now - session.dispatchedMs;
      const interval = Math.min(
        maxIntervalMs,
        pulseInterval.pulseIntervalMs(sinceDispatchMs, nodes),
      );
      if (now - session.pulsedMs < interval) continue;
      value ??= this.options.pulse();
      this.sendPulse(session, value, now);
    }
  }

  /** Ends a session after its queued frames; the listener is told once its peer has ended it. */
  end(linkId: number): void {
    const session = this.sessions.get(linkId);
    if (session === undefined || session.ending) return;
    session.ending = true;
    session.socket.end();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    const closed = new Promise<void>(resolve =>
      this.server.close(() => resolve()),
    );
    for (const {socket} of this.sessions.values()) socket[Symbol.dispose]();
    await closed;
  }

  /** Sends an answer; newer pulses can overtake a long one, so its load goes first in a pulse. */
  private sendAnswer(session: Session, answer: serving.Answer): void {
    let value = answer;
    if (session.socket.sendsParts && mayBeLong(answer)) {
      this.sendPulse(session, this.options.pulse(), this.options.nowMs());
      value = {...answer, load: undefined};
    }
    session.socket.send({body: {$case: 'answer', value}});
  }

  private sendPulse(
    session: Session,
    value: serving.Pulse,
    now: units.MonotonicMs,
  ): void {
    if (session.entryProcess === undefined) return;
    session.pulsedMs = now;
    session.socket.send({body: {$case: 'pulse', value}});
  }

  private accept(connection: net.Socket): void {
    const session: Session = new Session(
      ++this.lastId,
      connection,
      {
        onBytes: () => this.limitGreeting(session, connection),
        onFrame: frame => this.receive(session, connection, frame),
        onClose: () => this.onClosed(session, connection),
      },
      {
        // Nodes send nothing in parts before the greetings.
        take: bytes =>
          session.entryProcess !== undefined && this.bodyMemory.take(bytes),
        giveBack: bytes => this.bodyMemory.giveBack(bytes),
        onTurnedAway: begin => {
          const peer = connection.remoteAddress ?? '';
          this.turnAway(session, linkFrame.dispatchOf(begin, peer));
        },
      },
    );
    this.sessions.set(session.id, session);
    this.ungreeted.set(session, connection);
    // The timeout of a socket would start anew with each byte.
    const timer = setTimeout(
      () => this.refuseUngreeted(session, 'greeting not complete'),
      GREETING_TIMEOUT_MS,
    );
    connection.once('close', () => clearTimeout(timer));
    const {maxGreetings = Infinity} = this.options;
    if (this.ungreeted.size <= maxGreetings) return;
    const [oldest] = this.ungreeted.keys();
    this.refuseUngreeted(oldest, 'too many connections');
  }

  /** Closes a connection whose first frame is longer than a greeting. */
  private limitGreeting(session: Session, connection: net.Socket): void {
    // What was read last is not handled yet.
    if (session.readBytes > MAX_GREETING_BYTES) {
      this.refuseUngreeted(session, 'greeting too long');
    }
    session.readBytes = connection.bytesRead;
  }

  /** Closes a connection; without effect once its greeting has come. */
  private refuseUngreeted(session: Session, reason: string): void {
    const connection = this.ungreeted.get(session);
    if (connection === undefined) return;
    this.ungreeted.delete(session);
    this.options.onRefused?.(reason);
    connection.destroy();
  }

  private onClosed(session: Session, connection: net.Socket): void {
    this.sessions.delete(session.id);
    this.ungreeted.delete(session);
    for (const {dispatch} of session.late) this.giveBack(dispatch);
    session.late = [];
    const {writableFinished, readableEnded, errored} = connection;
    const isWhole = writableFinished && readableEnded && errored === null;
    this.options.listener.onLinkLost(session.id, session.ending && isWhole);
  }

  private receive(
    session: Session,
    connection: net.Socket,
    {body, sentMs}: serving.NodeFrame,
  ): void {
    let delayMs = 0;
    if (sentMs !== undefined) {
      delayMs = session.delay.onMessage(sentMs, this.options.nowMs());
    }
    this.handle(session, connection, body, delayMs);
    if (session.late.length > 0) this.releaseLate(session, delayMs);
  }

  private handle(
    session: Session,
    connection: net.Socket,
    body: serving.NodeFrame['body'],
    delayMs: units.Millis,
  ): void {
    if (body?.$case === 'greeting') {
      return this.onGreeting(session, connection, body.value);
    }
    if (session.entryProcess === undefined) {
      connection.destroy();
      return;
    }
    const {listener} = this.options;
    switch (body?.$case) {
      case 'dispatch': {
        // The entry sends it again over another link.
        if (session.ending) return;
        const key = callKey.format(session.entryProcess, body.value.call);
        session.dispatchedMs = this.options.nowMs();
        return this.onDispatch(session, key, body.value, delayMs);
      }
      case 'withdraw':
        return listener.onWithdraw(
          callKey.format(session.entryProcess, body.value.call),
        );
      case 'ping':
        return this.sendPulse(
          session,
          this.options.pulse(),
          this.options.nowMs(),
        );
      case 'stateWanted':
        session.socket.send({
          body: {$case: 'state', value: this.options.state()},
        });
        return;
      case 'freshnessRequest': {
        const value = this.options.freshness(body.value.question);
        session.socket.send({body: {$case: 'freshnessProof', value}});
        return;
      }
      case 'tokenRequest': {
        const value = listener.onTokenRequest(body.value);
        session.socket.send({body: {$case: 'tokenGrant', value}});
        return;
      }
      case 'tokenGrant':
      case 'answer':
      case 'refusal':
      case 'pulse':
      case 'state':
      case 'suspect':
      case 'freshnessProof':
      case 'part':
      case undefined:
        return;
    }
  }

  /**
   * Handles a request. Its withdrawal may be on its way behind one that was held up, so that one
   * waits for a message of the entry that was not, or that was sent after the request was read.
   */
  private onDispatch(
    session: Session,
    key: string,
    dispatch: serving.Dispatch,
    delayMs: units.Millis,
  ): void {
    const {listener, waitedMs, nowMs} = this.options;
    if (delayMs < LATE_MS) {
      const age = {delayMs, waitedMs: waitedMs()};
      return listener.onDispatch(key, session.id, dispatch, age);
    }
    if (!this.bodyMemory.take(dispatch.body.length)) {
      return this.turnAway(session, {...dispatch, body: Buffer.alloc(0)});
    }
    if (session.late.length === 0) requestReply(session);
    const request = {key, dispatch, delayMs, readMs: nowMs()};
    session.late = [...session.late, request];
  }

  /**
   * Handles the requests that were held up and that the entry has not withdrawn.
   *
   * @param delayMs time for which the message was held up that has just been read.
   */
  private releaseLate(session: Session, delayMs: units.Millis): void {
    const {listener, nowMs} = this.options;
    const now = nowMs();
    const isDue = ({readMs}: LateRequest): boolean =>
      delayMs < LATE_MS || readMs <= now - delayMs + SENT_ERROR_MS;
    const due = session.late.filter(isDue);
    if (due.length === 0) return;
    session.late = session.late.filter(request => !isDue(request));
    if (session.late.length > 0) requestReply(session);
    for (const {dispatch} of due) this.giveBack(dispatch);
    // The entry sends them again over another link.
    if (session.ending) return;
    for (const {key, dispatch, delayMs: heldMs, readMs} of due) {
      const age = {delayMs: heldMs + now - readMs};
      listener.onDispatch(key, session.id, dispatch, age);
    }
  }

  /** Passes on a request without its body, for which there is no memory. */
  private turnAway(
    session: Session,
    dispatch: serving.Dispatch | undefined,
  ): void {
    const {id, entryProcess, ending} = session;
    // The entry sends it again over another link.
    if (dispatch === undefined || entryProcess === undefined || ending) return;
    const key = callKey.format(entryProcess, dispatch.call);
    this.options.listener.onTurnedAway(key, id, dispatch);
  }

  private giveBack({body}: serving.Dispatch): void {
    this.bodyMemory.giveBack(body.length);
  }

  private onGreeting(
    session: Session,
    connection: net.Socket,
    greeting: serving.Greeting,
  ): void {
    const {sender, processStartedMs} = greeting;
    if (sender === undefined) {
      connection.destroy();
      return;
    }
    const value = this.options.greeting(sender.nodeId);
    session.socket.send({body: {$case: 'greeting', value}});
    if (greeting.toNodeId !== value.sender?.nodeId) {
      session.socket.end();
      return;
    }
    this.ungreeted.delete(session);
    connection.setTimeout(IDLE_TIMEOUT_MS, () => connection.destroy());
    const {nodeId} = sender;
    session.entryProcess = callKey.processOf(nodeId, processStartedMs);
    session.nodeId = nodeId;
    if (greeting.acceptsParts) session.socket.allowParts();
    this.sendPulse(session, this.options.pulse(), this.options.nowMs());
    const {listener} = this.options;
    if (greeting.notice) listener.onNotice(greeting.notice);
    listener.onGreeting(sender, processStartedMs);
    for (const {id, entryProcess = '', socket} of this.sessions.values()) {
      // A silent link that was replaced; the entry sends its requests again.
      const isReplaced =
        entryProcess === session.entryProcess && id !== session.id;
      if (isReplaced) socket.dropIncoming();
      if (callKey.isSucceeded(entryProcess, nodeId, processStartedMs)) {
        // Its unread requests have no callers any more.
        socket[Symbol.dispose]();
      }
    }
  }
}

function requestReply({socket}: Session): void {
  socket.send({body: {$case: 'ping', value: {}}});
}

/** Whether an answer may be sent in parts, with room for headers beyond ASCII and other fields. */
function mayBeLong({headers, body}: serving.Answer): boolean {
  const headerBytes = headers.reduce((sum, text) => sum + text.length, 0);
  return body.length + headerBytes > frameParts.PART_BYTES / 4;
}
