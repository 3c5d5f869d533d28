/** Health checks of the backend server, which also report its load. */
import type * as http from 'node:http';

import * as undici from 'undici';

import * as incarnations from '../../common/serving/incarnations.js';
import * as serverPace from '../../common/serving/server_pace.js';
import * as units from '../../common/units.js';
import * as httpHeaders from '../http_headers.js';
import * as platformAdapter from './platform_adapter.js';
import * as watchedConnector from './watched_connector.js';

/** Interval while requests wait; stalls of backend servers last about 300 ms. */
const WAITING_INTERVAL_MS: units.Millis = 100;

/** Interval while none waits; detects a restart that the backend server does not announce. */
const IDLE_INTERVAL_MS: units.Millis = 500;

/** Interval while the gate needs a health check or the backend server is down. */
export const URGENT_INTERVAL_MS: units.Millis = 100;

/** Shortest interval of checks that follow runs; the platform allows 60 checks a second. */
const RUNS_INTERVAL_MS: units.Millis = 20;

/** Timeout of a check. */
export const TIMEOUT_MS: units.Millis = 400;

/** Largest answer to a check, its head included. */
const MAX_ANSWER_BYTES = 64 * 1024;

/** Consecutive broken connections at which the check counts as failed. */
const MAX_BROKEN_CONNECTIONS = 2;

const OK_STATUS = 200;

/** Receives the results of checks. */
export interface HealthListener {
  onHealth(
    sample: incarnations.HealthSample,
    load: serverPace.ServerLoad | undefined,
  ): void;
  onHealthFailed(failure: 'refused' | 'silent'): void;
}

/** Dependencies of `HealthChecker`. */
export interface HealthCheckerOptions {
  readonly http: platformAdapter.HeaderCodec;
  readonly listener: HealthListener;
  /** Path of the check, undefined before the configuration is known. */
  path(): string | undefined;
  needsCheck(): boolean;
  /** Number of runs since the start of a check at which the next one is due. */
  maxRunsUnchecked(): number;
  /** Whether requests wait at the gate, some of them maybe for the end of a stall. */
  hasWaiting(): boolean;
  nowMs(): units.MonotonicMs;
}

/** Checks the backend server periodically, one check at a time. */
export class HealthChecker implements Disposable {
  private client: undici.Client | undefined;
  private connector: watchedConnector.WatchedConnector | undefined;
  private origin = '';
  private running = false;
  /** Number of the latest check; the timeouts of earlier ones have no effect. */
  private checkNumber = 0;
  private checkedMs: units.MonotonicMs = -Infinity;
  private runsSinceCheck = 0;
  private recheck = false;
  private loadReportedMs: units.MonotonicMs = -Infinity;
  private brokenCount = 0;

  constructor(private readonly options: HealthCheckerOptions) {}

  /** Sets the address of the backend server. */
  setServer(ip: string, port: number): void {
    const origin = `http://${ip}:${port}`;
    if (origin === this.origin) return;
    this.origin = origin;
    void this.client?.destroy();
    this.client = undefined;
  }

  /** Records that a response reported the load, which replaces a check. */
  onLoadReported(): void {
    this.loadReportedMs = this.options.nowMs();
  }

  /** Checks now, or right after a running check, which may have missed the change. */
  checkNow(): void {
    if (this.running) this.recheck = true;
    else this.check();
  }

  /** Checks now unless a check is running, whose answer will do. */
  sample(): void {
    if (!this.running) this.check();
  }

  /**
   * Records that a request is sent to the server, which may have become cold since the latest check
   * and bears only a few requests a second then.
   */
  onRun(): void {
    this.runsSinceCheck++;
    if (this.runsSinceCheck < this.options.maxRunsUnchecked()) return;
    if (this.options.nowMs() < this.checkedMs + RUNS_INTERVAL_MS) return;
    this.sample();
  }

  /** Ends a running check without a result; its answer may be old. */
  abandon(): void {
    if (this.client && this.running) this.discard(this.client);
    this.checkNumber++;
    this.running = false;
  }

  /** Starts a check if one is due. */
  tick(now: units.MonotonicMs): void {
    if (!this.running && now >= this.dueMs()) this.check();
  }

  [Symbol.dispose](): void {
    void this.client?.destroy();
  }

  private dueMs(): units.MonotonicMs {
    const {needsCheck, hasWaiting} = this.options;
    if (needsCheck()) return this.checkedMs + URGENT_INTERVAL_MS;
    const idleMs = this.checkedMs + IDLE_INTERVAL_MS;
    if (!hasWaiting()) return idleMs;
    const knownMs = Math.max(this.checkedMs, this.loadReportedMs);
    return Math.min(idleMs, knownMs + WAITING_INTERVAL_MS);
  }

  private check(): void {
    const path = this.options.path();
    if (path === undefined || this.origin === '') return;
    this.running = true;
    this.recheck = false;
    this.checkedMs = this.options.nowMs();
    this.runsSinceCheck = 0;
    this.client ??= this.openClient();
    const {client} = this;
    const {connector} = this;
    connector?.startAnswer();
    const checkNumber = ++this.checkNumber;
    const timer = setTimeout(() => {
      if (this.checkNumber !== checkNumber) return;
      this.discard(client);
      this.finish(() => this.options.listener.onHealthFailed('silent'));
    }, TIMEOUT_MS);
    const settle = (report: () => void): void => {
      clearTimeout(timer);
      if (this.client === client) this.finish(report);
    };
    client.dispatch(
      {method: 'GET', path},
      new HealthReader(
        (reason, headers) =>
          httpHeaders.isJoinedHead(reason, headers) ||
          (connector?.isFirstAnswer === false && this.isNamed(headers)),
        (status, headers) => settle(() => this.report(status, headers)),
        err => settle(() => this.fail(err)),
      ),
    );
  }

  /**
   * Whether an answer names a request. Checks have no request id, so on a used connection such an
   * answer may belong to a request.
   */
  private isNamed(headers: http.IncomingHttpHeaders): boolean {
    const {requestId} = this.options.http.readAnswer(OK_STATUS, headers);
    return requestId !== undefined;
  }

  private openClient(): undici.Client {
    this.connector = new watchedConnector.WatchedConnector(
      TIMEOUT_MS,
      bytes => {
        if (bytes > MAX_ANSWER_BYTES) this.discard(client);
      },
    );
    const client = new undici.Client(this.origin, {
      pipelining: 1,
      connect: this.connector.connect,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    return client;
  }

  private discard(client: undici.Client): void {
    if (this.client === client) this.client = undefined;
    void client.destroy();
  }

  private finish(report: () => void): void {
    if (!this.running) return;
    this.running = false;
    const {recheck} = this;
    report();
    if (recheck && !this.running) this.check();
  }

  private report(status: number, headers: http.IncomingHttpHeaders): void {
    this.brokenCount = 0;
    const facts = this.options.http.readAnswer(status, headers);
    const sample: incarnations.HealthSample = {
      healthy: status === OK_STATUS,
      instanceId: facts.instanceId,
      coldLeftMs: facts.coldLeftMs,
      slots: facts.load?.slots,
      statement: {
        source: 'health',
        limit: facts.limit,
        leaving: facts.leaving,
      },
    };
    this.options.listener.onHealth(sample, facts.load);
  }

  private fail(err: Error): void {
    const {code} = err as NodeJS.ErrnoException;
    this.brokenCount++;
    // A single break may be that of an idle connection; checks again on a new one.
    if (code === 'ECONNREFUSED' || this.brokenCount >= MAX_BROKEN_CONNECTIONS) {
      this.brokenCount = 0;
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
    private readonly isForeign: (
      reason: string,
      headers: http.IncomingHttpHeaders,
    ) => boolean,
    private readonly onAnswered: (
      status: number,
      headers: http.IncomingHttpHeaders,
    ) => void,
    private readonly onFailed: (err: Error) => void,
  ) {}

  onRequestStart(): void {}

  onResponseStart(
    controller: undici.Dispatcher.DispatchController,
    status: number,
    headers: http.IncomingHttpHeaders,
    reason = '',
  ): void {
    if (this.isForeign(reason, headers)) {
      return controller.abort(new Error('answer to another request'));
    }
    this.status = status;
    this.headers = headers;
  }

  onResponseData(): void {}

  // The client must not be used or closed inside its own callbacks.
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
