/** Structured log lines with a rate limit; writing never waits for the reader. */
import type * as stream from 'node:stream';

import * as loglevel from 'loglevel';

import * as decision from '../../common/serving/decision.js';
import * as units from '../../common/units.js';
import * as heldDecisions from './held_decisions.js';
import * as requestSample from './request_sample.js';

/** Limit of output not yet read; further lines are dropped. */
const MAX_BUFFERED_BYTES = 256 * 1024;

/** Share of the byte budget that routine decisions may use; the rest is kept for failures. */
const ROUTINE_BUDGET_SHARE = 0.3;

/** Minimum time between two reports of dropped lines. */
const DROP_REPORT_MS: units.Millis = 1_000;

/** Settings and dependencies of `EventLog`. */
export interface EventLogOptions {
  /** Name of the node, undefined while it is not known. */
  readonly nodeId: string | undefined;
  /** Start of the process; distinguishes processes of one node. */
  readonly processStartedMs: units.EpochMs;
  /** Mean rate; bursts of up to one second of it are allowed. */
  readonly bytesPerSecond: number;
  /** Share of requests, 0 to 1, whose routine decisions are logged. */
  readonly routineShare: number;
  readonly output: stream.Writable;
  nowMs(): units.MonotonicMs;
}

/** Writes each decision as one line of JSON. */
export class EventLog implements decision.DecisionLog {
  private readonly logger: loglevel.Logger;
  private readonly held = new heldDecisions.HeldDecisions();
  private tokens: number;
  private refilledMs: units.MonotonicMs;
  private dropped = 0;
  private reportedMs = -Infinity;

  constructor(private readonly options: EventLogOptions) {
    this.tokens = options.bytesPerSecond;
    this.refilledMs = options.nowMs();
    this.logger = loglevel.default.getLogger(`events:${options.nodeId}`);
    this.logger.methodFactory =
      () =>
      (line: string): void =>
        void options.output.write(line);
    this.logger.setLevel('info', false);
    // An error such as EPIPE must not end the process.
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
        for (const heldDecision of this.held.take(requestId)) {
          this.print(heldDecision.decision, heldDecision.at);
        }
      }
    }
    this.print(d, at);
  }

  private print(d: decision.Decision, at: Date): void {
    const line = this.format(d, at);
    if (!this.takeTokens(line.length, d.importance)) {
      this.dropped++;
      return;
    }
    this.reportDrops();
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

  private takeTokens(bytes: number, importance: decision.Importance): boolean {
    const {bytesPerSecond, nowMs, output} = this.options;
    if (output.writableLength > MAX_BUFFERED_BYTES) return false;
    const now = nowMs();
    const refillBytes =
      ((now - this.refilledMs) * bytesPerSecond) / units.MS_PER_SECOND;
    this.tokens = Math.min(bytesPerSecond, this.tokens + refillBytes);
    this.refilledMs = now;
    const reserve =
      importance === 'routine'
        ? bytesPerSecond * (1 - ROUTINE_BUDGET_SHARE)
        : 0;
    if (this.tokens - reserve < bytes) return false;
    this.tokens -= bytes;
    return true;
  }

  private reportDrops(): void {
    const now = this.options.nowMs();
    if (this.dropped === 0 || now - this.reportedMs < DROP_REPORT_MS) return;
    const facts = {lines: this.dropped};
    this.dropped = 0;
    this.reportedMs = now;
    this.logger.info(
      this.format(
        {component: 'node', event: 'log-dropped', importance: 'belief', facts},
        new Date(),
      ),
    );
  }
}
