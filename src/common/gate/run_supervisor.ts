/** Starts and aborts runs on the backend server and counts those in flight. */
import * as units from '../units.js';
import * as callRecord from './call_record.js';
import * as gateOptions from './gate_options.js';
import * as responder from './responder.js';
import * as secondRuns from './second_runs.js';

/** How long an aborted run still counts as in flight. */
const ABORT_SETTLE_MS = 50;

/** Tracks every run that the backend server may be processing. */
export class RunSupervisor {
  /** Budget of second runs. */
  readonly secondRuns = new secondRuns.SecondRuns();

  /** Times at which aborted runs no longer count, by run key. */
  private readonly abortedRuns = new Map<string, units.MonotonicMs>();
  private running = 0;

  constructor(
    private readonly options: gateOptions.GateOptions,
    private readonly emit: responder.Emit,
  ) {}

  /** Number of runs that the backend server may be processing. */
  get inFlight(): number {
    return this.running + this.abortedRuns.size;
  }

  /** Whether no run is in progress; aborted runs may still count as in flight. */
  get isIdle(): boolean {
    return this.running === 0;
  }

  /** Time at which the next aborted run no longer counts as in flight. */
  get nextSettleMs(): units.MonotonicMs | undefined {
    const [first] = this.abortedRuns.values();
    return first;
  }

  /**
   * Starts a run of a call.
   *
   * @throws errors.InvariantError if a call that is not idempotent may have been sent before.
   */
  start(rec: callRecord.CallRecord, now: units.MonotonicMs): void {
    this.options.invariants.check(
      rec.idempotent || rec.runsSent === 0,
      gateOptions.errorSite(this.options, 'start run'),
      `call ${rec.callId} is not idempotent and was sent before`,
    );
    const run = rec.runsStarted + 1;
    const freshConnection = run > 1;
    const runs = [...rec.runs, {run, startedMs: now, freshConnection}];
    rec.state = {kind: 'running', runs};
    rec.runsStarted = run;
    rec.runsSent++;
    this.running++;
    if (run === 1) this.secondRuns.onFirstRun();
    this.emit({
      kind: 'run',
      call: rec.call,
      run,
      freshConnection,
      deadlineMs: Math.max(1, Math.ceil(rec.deadlineMs - now)),
    });
  }

  /** Records the end of a run; returns the run if its result is still needed. */
  end(
    rec: callRecord.CallRecord | undefined,
    callId: string,
    run: number,
  ): callRecord.Run | undefined {
    this.abortedRuns.delete(runKey(callId, run));
    const found = rec?.runs.find(r => r.run === run);
    if (!rec || !found) return undefined;
    this.remove(rec, found);
    return found;
  }

  /** Aborts all runs of a call that are in progress. */
  abortAll(rec: callRecord.CallRecord, now: units.MonotonicMs): void {
    for (const run of rec.runs) {
      this.remove(rec, run);
      this.abortedRuns.set(runKey(rec.callId, run.run), now + ABORT_SETTLE_MS);
      this.emit({kind: 'abort', callId: rec.callId, run: run.run});
    }
  }

  /** Discards the runs of a call without aborting them, because the backend server is gone. */
  dropAll(rec: callRecord.CallRecord): void {
    for (const run of rec.runs) this.remove(rec, run);
    this.abortedRuns.clear();
  }

  /** Stops counting aborted runs whose time has expired. */
  settle(now: units.MonotonicMs): void {
    for (const [key, countedUntilMs] of this.abortedRuns) {
      if (countedUntilMs <= now) this.abortedRuns.delete(key);
    }
  }

  private remove(rec: callRecord.CallRecord, run: callRecord.Run): void {
    const runs = rec.runs.filter(r => r !== run);
    rec.state = {kind: 'running', runs};
    this.running--;
  }
}

function runKey(callId: string, run: number): string {
  return `${callId}/${run}`;
}
