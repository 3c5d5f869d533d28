/** Asks the backend server for its health and load. */
import type * as http from 'node:http';

import * as undici from 'undici';

import * as serverLife from '../../common/serving/server_life.js';
import * as serverPace from '../../common/serving/server_pace.js';
import * as units from '../../common/units.js';
import * as dialect from './dialect.js';

/** Interval of checks while requests come; spells of stalled servers last some 75 ms. */
const BUSY_INTERVAL_MS: units.Millis = 100;

/** Interval without requests; a cold start without a sign is found by these. */
const IDLE_INTERVAL_MS: units.Millis = 500;

/** Interval while the backend server is doubted or down. */
const DOUBT_INTERVAL_MS: units.Millis = 100;

/** Time after a request for which the gate counts as busy. */
const BUSY_LIFE_MS: units.Millis = 300;

/** Time allowed for an answer. */
const TIMEOUT_MS: units.Millis = 400;

/** Connections that may break in a row before the backend server counts as not answering. */
const MAX_BROKEN = 2;

const OK_STATUS = 200;

/** What a checker reports to. */
export interface HealthListener {
  onHealth(
    sample: serverLife.HealthSample,
    load: serverPace.ServerLoad | undefined,
  ): void;
  onHealthFailed(failure: 'refused' | 'silent'): void;
}

/** What a checker is made with. */
export interface HealthCheckerOptions {
  readonly http: dialect.HttpDialect;
  readonly listener: HealthListener;
  /** Path of the check, undefined while it is not known. */
  path(): string | undefined;
  isDoubted(): boolean;
  nowMs(): units.MonotonicMs;
}

/** Checks the health of the backend server, one check at a time. */
export class HealthChecker implements Disposable {
  private client: undici.Client | undefined;
  private origin = '';
  private running = false;
  private checkedMs: units.MonotonicMs = -Infinity;
  private requestedMs: units.MonotonicMs = -Infinity;
  private again = false;
  private toldMs: units.MonotonicMs = -Infinity;
  private broken = 0;

  constructor(private readonly options: HealthCheckerOptions) {}

  /** Sets where the backend server listens. */
  setServer(ip: string, port: number): void {
    const origin = `http://${ip}:${port}`;
    if (origin === this.origin) return;
    this.origin = origin;
    void this.client?.destroy();
    this.client = undefined;
  }

  /** Notes that a request came, which makes the load worth knowing. */
  onRequest(): void {
    this.requestedMs = this.options.nowMs();
  }

  /** Notes that an answer told the load, which saves a check. */
  onLoadTold(): void {
    this.toldMs = this.options.nowMs();
  }

  /** Checks now; again after the check under way, which may have missed the news. */
  checkNow(): void {
    if (this.running) this.again = true;
    else this.check();
  }

  /** Checks if it is time. */
  tick(now: units.MonotonicMs): void {
    if (!this.running && now >= this.nextMs(now)) this.check();
  }

  [Symbol.dispose](): void {
    void this.client?.destroy();
  }

  private nextMs(now: units.MonotonicMs): units.MonotonicMs {
    if (this.options.isDoubted()) return this.checkedMs + DOUBT_INTERVAL_MS;
    const idleMs = this.checkedMs + IDLE_INTERVAL_MS;
    if (now - this.requestedMs > BUSY_LIFE_MS) return idleMs;
    const knownMs = Math.max(this.checkedMs, this.toldMs);
    return Math.min(idleMs, knownMs + BUSY_INTERVAL_MS);
  }

  private check(): void {
    const path = this.options.path();
    if (path === undefined || this.origin === '') return;
    this.running = true;
    this.again = false;
    this.checkedMs = this.options.nowMs();
    this.client ??= new undici.Client(this.origin, {
      pipelining: 1,
      connect: {timeout: TIMEOUT_MS},
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    const {client} = this;
    const timer = setTimeout(() => {
      this.replace(client);
      this.finish(() => this.options.listener.onHealthFailed('silent'));
    }, TIMEOUT_MS);
    const settle = (report: () => void): void => {
      clearTimeout(timer);
      if (this.client === client) this.finish(report);
    };
    client.dispatch(
      {method: 'GET', path},
      new HealthReader(
        (status, headers) => settle(() => this.report(status, headers)),
        err => settle(() => this.fail(err)),
      ),
    );
  }

  private replace(client: undici.Client): void {
    if (this.client === client) this.client = undefined;
    void client.destroy();
  }

  private finish(report: () => void): void {
    if (!this.running) return;
    this.running = false;
    const {again} = this;
    report();
    if (again && !this.running) this.check();
  }

  private report(status: number, headers: http.IncomingHttpHeaders): void {
    this.broken = 0;
    const facts = this.options.http.readAnswer(status, headers);
    const sample: serverLife.HealthSample = {
      healthy: status === OK_STATUS,
      instanceId: facts.instanceId,
      coldLeftMs: facts.coldLeftMs,
      slots: facts.load?.slots,
    };
    this.options.listener.onHealth(sample, facts.load);
  }

  private fail(err: Error): void {
    const {code} = err as NodeJS.ErrnoException;
    this.broken++;
    // A kept connection that breaks tells only that a new one is needed.
    if (code === 'ECONNREFUSED' || this.broken >= MAX_BROKEN) {
      this.broken = 0;
      this.options.listener.onHealthFailed('refused');
    } else {
      this.check();
    }
  }
}

class HealthReader implements undici.Dispatcher.DispatchHandler {
  private status = 0;
  private headers: http.IncomingHttpHeaders = {};

  constructor(
    private readonly onAnswered: (
      status: number,
      headers: http.IncomingHttpHeaders,
    ) => void,
    private readonly onFailed: (err: Error) => void,
  ) {}

  onRequestStart(): void {}

  onResponseStart(
    unusedController: undici.Dispatcher.DispatchController,
    status: number,
    headers: http.IncomingHttpHeaders,
  ): void {
    this.status = status;
    this.headers = headers;
  }

  onResponseData(): void {}

  // The client must not be used or closed from inside its own callbacks.
  onResponseEnd(): void {
    queueMicrotask(() => this.onAnswered(this.status, this.headers));
  }

  onResponseError(
    unusedController: undici.Dispatcher.DispatchController,
    err: Error,
  ): void {
    queueMicrotask(() => this.onFailed(err));
  }
}
