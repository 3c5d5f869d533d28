/** Connections to the backend server beside the node. */
import * as gateCall from '../../common/serving/gate_call.js';
import * as units from '../../common/units.js';
import * as dialect from './dialect.js';
import * as serverRun from './server_run.js';

/** Idle time up to which a connection is trusted with a request that must not run twice. */
const TRUSTED_IDLE_MS: units.Millis = 2_000;

/** Time after a bad answer in which such requests get connections of their own. */
const DISTRUST_MS: units.Millis = 5_000;

/** Most idle connections kept. */
const MAX_IDLE = 32;

/** What happens on connections. */
export interface ServerPoolListener {
  onRunEnded(key: string, outcome: serverRun.RunOutcome): void;
  /** An idle connection ended; the backend server may have restarted. */
  onIdleEnded(): void;
}

/** What a pool is made with. */
export interface ServerPoolOptions {
  readonly http: dialect.HttpDialect;
  readonly listener: ServerPoolListener;
  nowMs(): units.MonotonicMs;
}

/** Runs requests on the backend server. */
export class ServerPool implements Disposable {
  private readonly idle: serverRun.ServerRun[] = [];
  private readonly running = new Map<string, serverRun.ServerRun>();
  private distrustUntilMs: units.MonotonicMs = 0;
  private origin = '';

  constructor(private readonly options: ServerPoolOptions) {}

  /** Sets where the backend server listens. */
  setServer(ip: string, port: number): void {
    const origin = `http://${ip}:${port}`;
    if (origin === this.origin) return;
    this.origin = origin;
    this.dropIdle();
  }

  /** Closes idle connections: they may lead to an incarnation that has gone. */
  dropIdle(): void {
    for (const connection of this.idle.splice(0)) connection[Symbol.dispose]();
  }

  /** Sends a request to an incarnation of the backend server. */
  run(
    call: gateCall.GateCall,
    instanceId: string,
    timeLeftMs: units.Millis,
  ): void {
    const {key, dispatch} = call;
    const connection = this.connectionFor(dispatch.repeatable);
    this.running.set(key, connection);
    const fields = {
      instanceId,
      timeLeftMs: Math.max(1, Math.floor(timeLeftMs)),
    };
    const request: serverRun.ServerRequest = {
      requestId: dispatch.requestId,
      method: dispatch.method,
      target: dispatch.target,
      headers: [...dispatch.headers, ...this.options.http.runHeaders(fields)],
      body: dispatch.body as Buffer,
    };
    connection.send(request, outcome => this.ended(key, connection, outcome));
  }

  /** Closes the connection of a run; its end is not reported. */
  abort(key: string): void {
    const connection = this.running.get(key);
    this.running.delete(key);
    connection?.[Symbol.dispose]();
  }

  [Symbol.dispose](): void {
    this.dropIdle();
    for (const key of [...this.running.keys()]) this.abort(key);
  }

  private connectionFor(repeatable: boolean): serverRun.ServerRun {
    const now = this.options.nowMs();
    const last = this.idle.at(-1);
    const trusted =
      last !== undefined &&
      (repeatable ||
        (now - last.lastUsedMs <= TRUSTED_IDLE_MS &&
          now >= this.distrustUntilMs));
    if (last !== undefined && trusted) {
      this.idle.pop();
      return last;
    }
    return new serverRun.ServerRun(
      this.origin,
      this.options.http,
      (connection, err) => this.onDisconnect(connection, err),
    );
  }

  private ended(
    key: string,
    connection: serverRun.ServerRun,
    outcome: serverRun.RunOutcome,
  ): void {
    const wanted = this.running.get(key) === connection;
    if (wanted) this.running.delete(key);
    const {kind} = outcome.end;
    const now = this.options.nowMs();
    if (kind === 'bad-answer') this.distrustUntilMs = now + DISTRUST_MS;
    const reusable = kind === 'answered' || kind === 'shed';
    if (reusable) this.release(connection, now);
    else connection[Symbol.dispose]();
    if (wanted) this.options.listener.onRunEnded(key, outcome);
  }

  private release(
    connection: serverRun.ServerRun,
    now: units.MonotonicMs,
  ): void {
    if (connection.isEnded || this.idle.length >= MAX_IDLE) {
      connection[Symbol.dispose]();
      return;
    }
    connection.lastUsedMs = now;
    this.idle.push(connection);
  }

  private onDisconnect(connection: serverRun.ServerRun, err: Error): void {
    const i = this.idle.indexOf(connection);
    if (i < 0) return;
    this.idle.splice(i, 1);
    connection[Symbol.dispose]();
    // Connections that this side closes for their age say nothing of the server.
    if (err.name !== 'InformationalError') this.options.listener.onIdleEnded();
  }
}
