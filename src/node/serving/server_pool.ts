/** Connections to the backend server on the same instance. */
import * as gateCall from '../../common/serving/gate_call.js';
import * as units from '../../common/units.js';
import * as answerMemory from './answer_memory.js';
import * as platformAdapter from './platform_adapter.js';
import * as refusedRequests from './refused_requests.js';
import * as serverConnection from './server_connection.js';

/** Longest idle time of a connection that is reused for a request that must not run twice. */
const MAX_REUSE_IDLE_MS: units.Millis = 2_000;

/** Time after a bad answer during which such requests get new connections. */
const NO_REUSE_MS: units.Millis = 5_000;

/** Limit of idle connections. */
const MAX_IDLE_CONNECTIONS = 32;

/** Receives the events of the pool. */
export interface ServerPoolListener {
  /** The head of the answer to a running request came. */
  onHead(key: string, facts: platformAdapter.AnswerFacts): void;
  onRunEnded(key: string, outcome: serverConnection.RunOutcome): void;
  /** An idle connection ended; the backend server may have restarted. */
  onIdleEnded(): void;
}

/** Dependencies of `ServerPool`. */
export interface ServerPoolOptions {
  readonly http: platformAdapter.HeaderCodec;
  readonly answerMemory: answerMemory.AnswerMemory;
  readonly listener: ServerPoolListener;
  nowMs(): units.MonotonicMs;
}

/** Runs requests on the backend server, each on its own connection while it runs. */
export class ServerPool implements Disposable {
  private readonly idle: serverConnection.ServerConnection[] = [];
  private readonly running = new Map<
    string,
    serverConnection.ServerConnection
  >();
  private readonly refused = new refusedRequests.RefusedRequests();
  private noReuseUntilMs: units.MonotonicMs = 0;
  private origin = '';

  constructor(private readonly options: ServerPoolOptions) {}

  /** Sets the address of the backend server; idle connections to another one are closed. */
  setServer(ip: string, port: number): void {
    const origin = `http://${ip}:${port}`;
    if (origin === this.origin) return;
    this.origin = origin;
    this.dropIdle();
  }

  /** Closes idle connections, which may be silent or lead to a process that has ended. */
  dropIdle(): void {
    for (const connection of this.idle.splice(0)) connection[Symbol.dispose]();
  }

  /** Sends a request to an incarnation of the backend server; `onRunEnded` follows. */
  run(
    call: gateCall.GateCall,
    instanceId: string,
    timeLeftMs: units.Millis,
  ): void {
    const {key, dispatch} = call;
    const connection = this.takeConnection(
      dispatch.repeatable,
      this.refused.has(dispatch.requestId),
    );
    this.running.set(key, connection);
    const fields = {
      instanceId,
      timeLeftMs: Math.max(1, Math.floor(timeLeftMs)),
    };
    const request: serverConnection.ServerRequest = {
      requestId: dispatch.requestId,
      method: dispatch.method,
      target: dispatch.target,
      headers: [...dispatch.headers, ...this.options.http.runHeaders(fields)],
      body: dispatch.body as Buffer,
      deadlineMs: call.deadlineMs,
    };
    connection.send(
      request,
      outcome => {
        if (outcome.end.kind === 'shed') {
          const now = this.options.nowMs();
          this.refused.add(request.requestId, request.deadlineMs, now);
        }
        this.onEnded(key, connection, outcome);
      },
      facts => {
        if (this.running.get(key) !== connection) return;
        this.options.listener.onHead(key, facts);
      },
    );
  }

  /** Closes the connection of a run; `onRunEnded` does not follow. */
  abort(key: string): void {
    const connection = this.running.get(key);
    this.running.delete(key);
    connection?.[Symbol.dispose]();
  }

  [Symbol.dispose](): void {
    this.dropIdle();
    for (const key of [...this.running.keys()]) this.abort(key);
  }

  /**
   * @param wasRefused whether the request may meet a copy of its own refusal on a connection that
   *     was used.
   */
  private takeConnection(
    repeatable: boolean,
    wasRefused: boolean,
  ): serverConnection.ServerConnection {
    const now = this.options.nowMs();
    const last = this.idle.at(-1);
    const mayReuse =
      last !== undefined &&
      !wasRefused &&
      (repeatable ||
        (now - last.lastUsedMs <= MAX_REUSE_IDLE_MS &&
          now >= this.noReuseUntilMs));
    if (last !== undefined && mayReuse) {
      this.idle.pop();
      return last;
    }
    const {http, answerMemory, nowMs} = this.options;
    return new serverConnection.ServerConnection({
      origin: this.origin,
      http,
      answerMemory,
      nowMs,
      onDisconnect: (connection, err) => this.onDisconnect(connection, err),
    });
  }

  private onEnded(
    key: string,
    connection: serverConnection.ServerConnection,
    outcome: serverConnection.RunOutcome,
  ): void {
    const isCurrent = this.running.get(key) === connection;
    if (isCurrent) this.running.delete(key);
    const {end, facts} = outcome;
    const {kind} = end;
    const now = this.options.nowMs();
    if (kind === 'bad-answer') this.noReuseUntilMs = now + NO_REUSE_MS;
    // A refusal without request id is believed on a new connection only.
    const reusable =
      kind === 'answered' ||
      (kind === 'shed' && facts?.requestId !== undefined);
    if (reusable) this.release(connection, now);
    else connection[Symbol.dispose]();
    if (isCurrent) this.options.listener.onRunEnded(key, outcome);
  }

  private release(
    connection: serverConnection.ServerConnection,
    now: units.MonotonicMs,
  ): void {
    if (connection.isEnded || this.idle.length >= MAX_IDLE_CONNECTIONS) {
      connection[Symbol.dispose]();
      return;
    }
    connection.lastUsedMs = now;
    this.idle.push(connection);
  }

  private onDisconnect(
    connection: serverConnection.ServerConnection,
    err: Error,
  ): void {
    const i = this.idle.indexOf(connection);
    if (i < 0) return;
    this.idle.splice(i, 1);
    connection[Symbol.dispose]();
    // undici reports its own idle timeout this way; it is no sign of a server restart.
    if (err.name !== 'InformationalError') this.options.listener.onIdleEnded();
  }
}
