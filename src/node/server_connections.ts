/** Connections to the backend server beside this node. */
import * as net from 'node:net';

import * as counters from '../common/counters.js';
import * as gateContract from '../common/gate/gate_contract.js';
import * as units from '../common/units.js';
import * as peer from '../generated/peer.js';
import * as eventSource from './event_source.js';
import * as httpHeaders from './http_headers.js';
import * as serverConnection from './server_connection.js';

/** Longest idle time after which a connection may carry a request that must not run twice. */
const MAX_REUSE_IDLE_MS: units.Millis = 1_000;

/** Time allowed for the check whether the backend server still listens. */
const SERVER_CHECK_TIMEOUT_MS: units.Millis = 200;

/** Maximum number of idle connections kept open. */
const MAX_IDLE_CONNECTIONS = 64;

/** Address of the backend server. */
export interface ServerAddress {
  readonly ip: string;
  readonly port: number;
}

/** Limits on the backend server's answers. */
export interface ServerConnectionsOptions {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
}

/** A run requested by the gate core. */
export interface RunRequest {
  readonly call: peer.CallRequest;
  readonly run: number;
  readonly idempotent: boolean;
  readonly freshConnection: boolean;
  /** Time left for the run. */
  readonly deadlineMs: units.Millis;
}

/** Events of the backend server that go to the gate core. */
export type ServerEvent = Extract<
  gateContract.GateEvent,
  {readonly kind: 'server-answered' | 'server-failed' | 'server-lost'}
>;

/** Runs requests on the backend server. */
export class ServerConnections implements AsyncDisposable {
  private readonly idle: serverConnection.ServerConnection[] = [];
  private readonly running = new Map<
    string,
    serverConnection.ServerConnection
  >();
  private readonly source = new eventSource.EventSource<ServerEvent>();
  private address: ServerAddress | undefined;
  private serverCheck: Promise<boolean> | undefined;
  /** Whether nothing listens at the address; it is not tried before the next announcement. */
  private isLost = false;
  private lossReported = false;

  /** Results of runs, and the loss of the backend server. */
  readonly events = this.source.stream;

  constructor(
    private readonly options: ServerConnectionsOptions,
    private readonly count: counters.Counters,
    private readonly nowMs: () => units.MonotonicMs,
  ) {}

  /** Sets the backend server's address; allows new connections after a loss. */
  setAddress(address: ServerAddress): void {
    const {ip, port} = address;
    this.isLost = false;
    this.lossReported = false;
    if (this.address?.ip === ip && this.address.port === port) return;
    this.address = address;
    this.closeIdle();
  }

  /** Closes idle connections, which may lead to a process that has ended. */
  closeIdle(): void {
    for (const connection of this.idle.splice(0)) {
      connection[Symbol.dispose]();
    }
  }

  /** Sends a request; its result is emitted as an event. */
  run(request: RunRequest): void {
    const {call, run} = request;
    const connection = this.acquireConnection(request);
    if (connection === undefined) {
      this.fail(call.callId, run, {kind: 'not-sent'});
      return;
    }
    const key = runKey(call.callId, run);
    this.running.set(key, connection);
    connection.run(serverRequest(request), result => {
      this.running.delete(key);
      this.onRunEnded(connection, request, result);
    });
  }

  /** Aborts a run by closing its connection. */
  abort(callId: string, run: number): void {
    this.running.get(runKey(callId, run))?.[Symbol.dispose]();
  }

  private acquireConnection(
    request: RunRequest,
  ): serverConnection.ServerConnection | undefined {
    if (this.isLost) return undefined;
    const reusable = request.freshConnection
      ? undefined
      : this.takeIdleConnection(request.idempotent);
    if (reusable !== undefined || this.address === undefined) return reusable;
    this.count.increment('server.connection-opened');
    const {ip, port} = this.address;
    return new serverConnection.ServerConnection(
      {...this.options, origin: originOf(ip, port)},
      connection => this.onDisconnect(connection),
    );
  }

  /** Takes the most recently used idle connection, unless it has been idle for too long. */
  private takeIdleConnection(
    idempotent: boolean,
  ): serverConnection.ServerConnection | undefined {
    const connection = this.idle.at(-1);
    if (connection === undefined) return undefined;
    const idleMs = this.nowMs() - (connection.lastUsedMs ?? 0);
    if (!idempotent && idleMs > MAX_REUSE_IDLE_MS) return undefined;
    return this.idle.pop();
  }

  private onRunEnded(
    connection: serverConnection.ServerConnection,
    request: RunRequest,
    result: serverConnection.RunResult,
  ): void {
    const {callId} = request.call;
    switch (result.kind) {
      case 'answered': {
        this.release(connection);
        const {status, headers, body} = result;
        const {run} = request;
        this.source.emit({
          kind: 'server-answered',
          callId,
          run,
          status,
          headers,
          body,
        });
        return;
      }
      case 'failed':
        if (result.failure.kind === 'shed') this.release(connection);
        if (connection.ended) {
          this.fail(callId, request.run, result.failure);
          return;
        }
        if (result.failure.kind !== 'shed') connection[Symbol.dispose]();
        void this.reportFailure(callId, request.run, result);
    }
  }

  /**
   * Reports a failed run. The loss of the backend server is reported before the failures that it
   * caused, but after the failure of a run that sent no byte, which cannot have caused the loss.
   */
  private async reportFailure(
    callId: string,
    run: number,
    result: Extract<serverConnection.RunResult, {readonly kind: 'failed'}>,
  ): Promise<void> {
    switch (result.failure.kind) {
      case 'not-sent':
        if (result.refused) setImmediate(() => this.reportLost());
        this.isLost ||= result.refused;
        break;
      case 'broken':
      case 'bad-answer':
        if (await this.isServerLost()) this.reportLost();
        break;
      case 'shed':
        break;
    }
    this.fail(callId, run, result.failure);
  }

  private reportLost(): void {
    if (this.lossReported) return;
    this.isLost = true;
    this.lossReported = true;
    this.count.increment('server.lost');
    this.closeIdle();
    this.source.emit({kind: 'server-lost'});
  }

  private isServerLost(): Promise<boolean> {
    if (this.address === undefined) return Promise.resolve(false);
    this.serverCheck ??= refusesConnections(this.address).finally(() => {
      this.serverCheck = undefined;
    });
    return this.serverCheck;
  }

  private fail(
    callId: string,
    run: number,
    failure: gateContract.ServerFailure,
  ): void {
    this.source.emit({kind: 'server-failed', callId, run, failure});
  }

  private release(connection: serverConnection.ServerConnection): void {
    const {ended: hasEnded} = connection;
    if (hasEnded || this.idle.length >= MAX_IDLE_CONNECTIONS) {
      connection[Symbol.dispose]();
      return;
    }
    connection.lastUsedMs = this.nowMs();
    this.idle.push(connection);
  }

  private onDisconnect(connection: serverConnection.ServerConnection): void {
    const index = this.idle.indexOf(connection);
    if (index >= 0) this.idle.splice(index, 1);
    connection[Symbol.dispose]();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.source[Symbol.dispose]();
    this.closeIdle();
    for (const connection of this.running.values()) {
      connection[Symbol.dispose]();
    }
    await this.serverCheck;
  }
}

function runKey(callId: string, run: number): string {
  return `${callId}/${run}`;
}

/** Builds the request: the caller's headers, with time left and call depth added. */
function serverRequest(request: RunRequest): serverConnection.ServerRequest {
  const {method, path, headers, body, depth} = request.call;
  const deadlineMs = String(Math.ceil(request.deadlineMs));
  return {
    method,
    path,
    body,
    headers: [
      ...headers,
      {name: httpHeaders.DEADLINE_HEADER, value: deadlineMs},
      {name: httpHeaders.DEPTH_HEADER, value: String(depth + 1)},
    ],
  };
}

function originOf(ip: string, port: number): string {
  return net.isIPv6(ip) ? `http://[${ip}]:${port}` : `http://${ip}:${port}`;
}

/** Resolves to whether the address refuses connections; false on a timeout or other error. */
function refusesConnections(address: ServerAddress): Promise<boolean> {
  return new Promise(resolve => {
    const socket = net.connect({host: address.ip, port: address.port});
    const finish = (refused: boolean): void => {
      socket.destroy();
      resolve(refused);
    };
    socket.setTimeout(SERVER_CHECK_TIMEOUT_MS, () => finish(false));
    socket.on('connect', () => finish(false));
    socket.on('error', (err: NodeJS.ErrnoException) =>
      finish(err.code === 'ECONNREFUSED'),
    );
  });
}
