/** Connections to the backend server beside this node. */
import * as net from 'node:net';

import * as counters from '../common/counters.js';
import * as gate from '../common/gate/gate_contract.js';
import * as units from '../common/units.js';
import * as peer from '../generated/peer.js';
import * as eventSource from './event_source.js';
import * as httpHeaders from './http_headers.js';
import * as serverConnection from './server_connection.js';

/** Idle time up to which a connection may carry a request that must not run twice. */
const TRUSTED_IDLE_MS: units.Millis = 1_000;

/** Time allowed to find out whether the backend server still listens. */
const SERVER_CHECK_TIMEOUT_MS: units.Millis = 200;

/** Most idle connections kept. */
const MAX_IDLE_CONNECTIONS = 64;

/** Address of the backend server. */
export interface ServerAddress {
  readonly ip: string;
  readonly port: number;
}

/** Bounds on what the backend server sends. */
export interface ServerConnectionsOptions {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
}

/** A run that the gate asks for. */
export interface RunRequest {
  readonly call: peer.CallRequest;
  readonly run: number;
  readonly idempotent: boolean;
  readonly freshConnection: boolean;
  /** Time left. */
  readonly deadlineMs: units.Millis;
}

/** What the backend server does, as the gate core takes it. */
export type ServerEvent = Extract<
  gate.GateEvent,
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
  private check: Promise<boolean> | undefined;
  /** Nothing listens at the address; it is not tried before the next announcement. */
  private isLost = false;
  private lossReported = false;

  /** Ends of runs, and the loss of the backend server. */
  readonly events = this.source.stream;

  constructor(
    private readonly options: ServerConnectionsOptions,
    private readonly count: counters.Counters,
    private readonly nowMs: () => units.MonotonicMs,
  ) {}

  /** Sets where the backend server listens. */
  setAddress(address: ServerAddress): void {
    const {ip, port} = address;
    this.isLost = false;
    this.lossReported = false;
    if (this.address?.ip === ip && this.address.port === port) return;
    this.address = address;
    this.dropIdle();
  }

  /** Closes idle connections, as they may lead to a process that has gone. */
  dropIdle(): void {
    for (const connection of this.idle.splice(0)) {
      connection[Symbol.dispose]();
    }
  }

  /** Sends a request; its end is reported as an event. */
  run(request: RunRequest): void {
    const {call, run} = request;
    const connection = this.connectionFor(request);
    if (connection === undefined) {
      this.fail(call.callId, run, {kind: 'not-sent'});
      return;
    }
    const name = runName(call.callId, run);
    this.running.set(name, connection);
    connection.run(serverRequest(request), result => {
      this.running.delete(name);
      this.ended(connection, request, result);
    });
  }

  /** Ends a run by closing its connection. */
  abort(callId: string, run: number): void {
    this.running.get(runName(callId, run))?.[Symbol.dispose]();
  }

  private connectionFor(
    request: RunRequest,
  ): serverConnection.ServerConnection | undefined {
    if (this.isLost) return undefined;
    const kept = request.freshConnection
      ? undefined
      : this.keptConnection(request.idempotent);
    if (kept !== undefined || this.address === undefined) return kept;
    this.count.increment('server.connection-opened');
    const {ip, port} = this.address;
    return new serverConnection.ServerConnection(
      {...this.options, origin: originOf(ip, port)},
      connection => this.forget(connection),
    );
  }

  /** Returns the connection used last, unless it has been idle for too long. */
  private keptConnection(
    idempotent: boolean,
  ): serverConnection.ServerConnection | undefined {
    const connection = this.idle.at(-1);
    if (connection === undefined) return undefined;
    const idleMs = this.nowMs() - (connection.lastUsedMs ?? 0);
    if (!idempotent && idleMs > TRUSTED_IDLE_MS) return undefined;
    return this.idle.pop();
  }

  private ended(
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
   * Reports a failed run. The loss of the backend server comes before the failures that it caused,
   * but after that of a run of which no byte left, as that one cannot be to blame.
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
    this.dropIdle();
    this.source.emit({kind: 'server-lost'});
  }

  private isServerLost(): Promise<boolean> {
    if (this.address === undefined) return Promise.resolve(false);
    this.check ??= refusesConnections(this.address).finally(() => {
      this.check = undefined;
    });
    return this.check;
  }

  private fail(callId: string, run: number, failure: gate.ServerFailure): void {
    this.source.emit({kind: 'server-failed', callId, run, failure});
  }

  private release(connection: serverConnection.ServerConnection): void {
    const {ended} = connection;
    if (ended || this.idle.length >= MAX_IDLE_CONNECTIONS) {
      connection[Symbol.dispose]();
      return;
    }
    connection.lastUsedMs = this.nowMs();
    this.idle.push(connection);
  }

  private forget(connection: serverConnection.ServerConnection): void {
    const index = this.idle.indexOf(connection);
    if (index >= 0) this.idle.splice(index, 1);
    connection[Symbol.dispose]();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.source[Symbol.dispose]();
    this.dropIdle();
    for (const connection of this.running.values()) {
      connection[Symbol.dispose]();
    }
    await this.check;
  }
}

function runName(callId: string, run: number): string {
  return `${callId}/${run}`;
}

/** Adds what the backend server is told of the call to the caller's headers. */
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

/** Whether nothing listens at the address any more. */
function refusesConnections(address: ServerAddress): Promise<boolean> {
  return new Promise(resolve => {
    const socket = net.connect({host: address.ip, port: address.port});
    const settle = (refused: boolean): void => {
      socket.destroy();
      resolve(refused);
    };
    socket.setTimeout(SERVER_CHECK_TIMEOUT_MS, () => settle(false));
    socket.on('connect', () => settle(false));
    socket.on('error', (err: NodeJS.ErrnoException) =>
      settle(err.code === 'ECONNREFUSED'),
    );
  });
}
