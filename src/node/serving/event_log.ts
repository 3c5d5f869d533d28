/** Structured log lines on standard output: bounded, and never waiting for the reader. */
import type * as stream from 'node:stream';

import * as loglevel from 'loglevel';

import * as decision from '../../common/serving/decision.js';
import * as units from '../../common/units.js';
import * as heldLines from './held_lines.js';
import * as requestSample from './request_sample.js';

/** Bytes that may wait for the reader; lines beyond are dropped. */
const MAX_UNREAD_BYTES = 256 * 1024;

/** Share of the budget that the usual course of requests may use, so that failures find room. */
const ROUTINE_SHARE = 0.3;

/** Least time between two lines about dropped lines. */
const DROP_NOTICE_MS: units.Millis = 1_000;

/** What a log is made with. */
export interface EventLogOptions {
  readonly nodeId: string;
  /** Start of the process; tells its incarnations apart. */
  readonly processStartedMs: units.EpochMs;
  readonly bytesPerSecond: number;
  /** Share of requests whose usual course is logged. */
  readonly routineShare: number;
  readonly output: stream.Writable;
  nowMs(): units.MonotonicMs;
}

/** Writes decisions as JSON, one a line. */
export class EventLog implements decision.DecisionLog {
  private readonly logger: loglevel.Logger;
  private readonly held = new heldLines.HeldLines();
  private tokens: number;
  private refilledMs: units.MonotonicMs;
  private dropped = 0;
  private noticedMs = -Infinity;

  constructor(private readonly options: EventLogOptions) {
    this.tokens = options.bytesPerSecond;
    this.refilledMs = options.nowMs();
    this.logger = loglevel.default.getLogger(`events:${options.nodeId}`);
    this.logger.methodFactory =
      () =>
      (line: string): void =>
        void options.output.write(line);
    this.logger.setLevel('info', false);
    // A reader that has gone must not end the process.
    options.output.on('error', () => undefined);
  }

  write(d: decision.Decision): void {
    const at = new Date();
    const {importance, requestId} = d;
    if (requestId !== undefined) {
      if (importance === 'routine' && !this.isSampled(requestId)) {
        return this.held.hold(requestId, {at, decision: d});
      }
      if (importance === 'failure') {
        for (const led of this.held.take(requestId)) {
          this.print(led.decision, led.at);
        }
      }
    }
    this.print(d, at);
  }

  private print(d: decision.Decision, at: Date): void {
    const line = this.format(d, at);
    if (!this.take(line.length, d.importance)) {
      this.dropped++;
      return;
    }
    this.noticeDrops();
    this.logger.info(line);
  }

  private isSampled(requestId: string): boolean {
    return requestSample.isSampled(requestId, this.options.routineShare);
  }

  private format(d: decision.Decision, at: Date): string {
    const {nodeId, processStartedMs} = this.options;
    const {component, event, requestId, facts} = d;
    const line = {
      at: at.toISOString(),
      node: nodeId,
      process: processStartedMs,
      component,
      event,
      request: requestId,
      ...facts,
    };
    return JSON.stringify(line) + '\n';
  }

  private take(bytes: number, importance: decision.Importance): boolean {
    const {bytesPerSecond, nowMs, output} = this.options;
    if (output.writableLength > MAX_UNREAD_BYTES) return false;
    const now = nowMs();
    const earned =
      ((now - this.refilledMs) * bytesPerSecond) / units.MS_PER_SECOND;
    this.tokens = Math.min(bytesPerSecond, this.tokens + earned);
    this.refilledMs = now;
    const reserve =
      importance === 'routine' ? bytesPerSecond * (1 - ROUTINE_SHARE) : 0;
    if (this.tokens - reserve < bytes) return false;
    this.tokens -= bytes;
    return true;
  }

  private noticeDrops(): void {
    const now = this.options.nowMs();
    if (this.dropped === 0 || now - this.noticedMs < DROP_NOTICE_MS) return;
    const facts = {lines: this.dropped};
    this.dropped = 0;
    this.noticedMs = now;
    this.logger.info(
      this.format(
        {component: 'node', event: 'log-dropped', importance: 'belief', facts},
        new Date(),
      ),
    );
  }
}
