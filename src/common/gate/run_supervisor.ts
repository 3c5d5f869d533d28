/** Runs on the backend server: starts, second runs, aborts, and the exact number in flight. */
import * as units from '../units.js';
import * as record from './call_record.js';
import * as gateOptions from './gate_options.js';
import * as responder from './responder.js';
import * as secondRuns from './second_runs.js';

/** Time after an abort for which the run still counts as in flight. */
const ABORT_SETTLE_MS = 50;

/** Knows every run that the backend server may be working on. */
export class RunSupervisor {
  /** Budget of second runs. */
  readonly second = new secondRuns.SecondRuns();

  /** Aborted runs by call and run, with the time at which they no longer count. */
  private readonly aborted = new Map<string, units.MonotonicMs>();
  private running = 0;

  constructor(
    private readonly options: gateOptions.GateOptions,
    private readonly emit: responder.Emit,
  ) {}

  /** Requests that the backend server may be working on. */
  get inFlight(): number {
    return this.running + this.aborted.size;
  }

  /** Whether no run is under way; aborted runs may still settle. */
  get isIdle(): boolean {
    return this.running === 0;
  }

  /** Time at which the next aborted run no longer counts. */
  get nextSettleMs(): units.MonotonicMs | undefined {
    const [first] = this.aborted.values();
    return first;
  }

  /** Sends a call to the backend server. */
  start(rec: record.CallRecord, now: units.MonotonicMs): void {
    this.options.invariants.check(
      rec.idempotent || rec.runsSent === 0,
      gateOptions.siteOf(this.options, 'start run'),
      `call ${rec.callId} is not idempotent and was sent before`,
    );
    const run = rec.runsStarted + 1;
    const freshConnection = run > 1;
    const runs = [...rec.runs, {run, startedMs: now, freshConnection}];
    rec.state = {kind: 'running', runs};
    rec.runsStarted = run;
    rec.runsSent++;
    this.running++;
    if (run === 1) this.second.onFirstRun();
    this.emit({
      kind: 'run',
      call: rec.call,
      run,
      freshConnection,
      deadlineMs: Math.max(1, Math.ceil(rec.deadlineMs - now)),
    });
  }

  /** Takes note of the end of a run; returns it if its result is still wanted. */
  end(
    rec: record.CallRecord | undefined,
    callId: string,
    run: number,
  ): record.Run | undefined {
    this.aborted.delete(runName(callId, run));
    const found = rec?.runs.find(r => r.run === run);
    if (!rec || !found) return undefined;
    this.remove(rec, found);
    return found;
  }

  /** Aborts the runs of a call that are under way. */
  abortAll(rec: record.CallRecord, now: units.MonotonicMs): void {
    for (const run of rec.runs) {
      this.remove(rec, run);
      this.aborted.set(runName(rec.callId, run.run), now + ABORT_SETTLE_MS);
      this.emit({kind: 'abort', callId: rec.callId, run: run.run});
    }
  }

  /** Drops all runs without an abort: the backend server is gone. */
  dropAll(rec: record.CallRecord): void {
    for (const run of rec.runs) this.remove(rec, run);
    this.aborted.clear();
  }

  /** Stops counting aborted runs whose time is over. */
  settle(now: units.MonotonicMs): void {
    for (const [name, untilMs] of this.aborted) {
      if (untilMs <= now) this.aborted.delete(name);
    }
  }

  private remove(rec: record.CallRecord, run: record.Run): void {
    const runs = rec.runs.filter(r => r !== run);
    rec.state = {kind: 'running', runs};
    this.running--;
  }
}

function runName(callId: string, run: number): string {
  return `${callId}/${run}`;
}
