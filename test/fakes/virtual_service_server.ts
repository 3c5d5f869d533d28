/** A fake backend server in virtual time: processor sharing, cold start and faults. */
import * as randomSource from '../../src/common/random_source.js';
import * as units from '../../src/common/units.js';
import * as virtualServiceClock from './virtual_service_clock.js';

/** How a run ended. */
export type RunResult =
  | {readonly kind: 'answered'; readonly status: number}
  | {readonly kind: 'not-sent'}
  | {readonly kind: 'shed'}
  | {readonly kind: 'broken'}
  | {readonly kind: 'bad-answer'};

/** Properties of a backend server. */
export interface ServerOptions {
  /** Requests that the warm server can process at the same time. */
  readonly slots: number;
  /** Median service time of a request that runs alone. */
  readonly medianMs: units.Millis;
}

/** A request in progress; it ends when the work counter reaches `finishWork`. */
interface Run {
  readonly id: number;
  readonly finishWork: number;
  readonly onEnd: (result: RunResult) => void;
}

/** Shape parameter of the log-normal distribution of service times. */
const SERVICE_TIME_SIGMA = 0.45;
/** Speed of each request when all slots are busy, relative to a request alone. */
const FULL_SPEED = 0.7;
/** Factor on the speed while the server is cold. */
const COLD_SPEED = 0.5;
/** Speed of each request while more than the capacity are in progress. */
const COLLAPSED_SPEED = 0.05;
const WARM_UP_STEP_MS = 20;
/** Time until a result that needs no processing. */
const FAST_FAILURE_MS = 0.3;
const INITIAL_COLD_CAPACITY = 1;
const STATUS_OK = 200;
const STATUS_ERROR = 500;

/** Requests per second of a warm server with all slots busy. */
export function capacityPerSecond(options: ServerOptions): number {
  const meanMs = options.medianMs * Math.exp(SERVICE_TIME_SIGMA ** 2 / 2);
  return (options.slots * FULL_SPEED * 1_000) / meanMs;
}

/**
 * Processes runs with processor sharing. All runs have the same speed; the work counter, in
 * milliseconds of a run alone, advances at that speed.
 */
export class VirtualServer {
  /** Runs begun above the capacity after an announced cold start. */
  coldBreaches = 0;
  /** Runs begun above the capacity after the server turned cold without an announcement. */
  silentColdBreaches = 0;
  /** Runs begun above the slots of the warm server. */
  slotBreaches = 0;
  /** Time of the last run begun above the capacity. */
  lastOverloadMs: units.MonotonicMs | undefined;
  /** Most runs at the same time. */
  peakInFlight = 0;
  /** Whether new runs are answered at once with status 500. */
  failsFast = false;
  sheds = false;
  /** Whether new runs get an invalid answer at once. */
  answersBadly = false;

  private readonly runs = new Map<number, Run>();
  private nextRunId = 1;
  private up = true;
  private work = 0;
  private workAtMs = 0;
  private slowdown = 1;
  private slowUntilMs = 0;
  private coldSinceMs: units.MonotonicMs | undefined;
  private warmUpMs = 0;
  private coldAnnounced = false;
  private wakeGeneration = 0;

  constructor(
    private readonly options: ServerOptions,
    private readonly clock: virtualServiceClock.VirtualClock,
    private readonly random: randomSource.RandomSource,
  ) {}

  get isUp(): boolean {
    return this.up;
  }

  /** Whether a request begun now may execute; false if it is refused or cannot be sent. */
  get mayExecute(): boolean {
    return this.up && !this.sheds;
  }

  get inFlight(): number {
    return this.runs.size;
  }

  /** Requests that the server can process at the same time now. */
  get capacity(): number {
    if (this.coldSinceMs === undefined) return this.options.slots;
    const share = (this.clock.nowMs - this.coldSinceMs) / this.warmUpMs;
    const grown = (this.options.slots - INITIAL_COLD_CAPACITY) * share;
    return Math.min(
      this.options.slots,
      Math.floor(INITIAL_COLD_CAPACITY + grown),
    );
  }

  /** Starts a run and returns its id; `onEnd` is called once unless the run is aborted. */
  begin(onEnd: (result: RunResult) => void): number {
    const id = this.nextRunId++;
    const immediate = this.immediateResult();
    if (immediate !== undefined) {
      this.clock.after(FAST_FAILURE_MS, () => onEnd(immediate));
      return id;
    }
    this.advance();
    this.countOverload();
    const finishWork = this.work + this.sampleServiceMs();
    this.runs.set(id, {id, finishWork, onEnd});
    this.peakInFlight = Math.max(this.peakInFlight, this.runs.size);
    this.scheduleNextEnd();
    return id;
  }

  /** Stops a run without a result. */
  abort(id: number): void {
    this.advance();
    if (this.runs.delete(id)) this.scheduleNextEnd();
  }

  /** Slows all runs by `factor` for `durationMs`. */
  slow(factor: number, durationMs: units.Millis): void {
    this.advance();
    this.slowdown = factor;
    this.slowUntilMs = this.clock.nowMs + durationMs;
    this.scheduleNextEnd();
    this.clock.at(this.slowUntilMs, () => this.endSlowdown());
  }

  /** Turns the server cold; its capacity grows linearly to all slots over `warmUpMs`. */
  turnCold(warmUpMs: units.Millis, announced: boolean): void {
    this.advance();
    this.coldSinceMs = this.clock.nowMs;
    this.warmUpMs = warmUpMs;
    this.coldAnnounced = announced;
    this.rescheduleDuringWarmUp();
  }

  /** Ends all runs as `broken`; new ones are `not-sent` until `restart`. */
  crash(): void {
    const lost = [...this.runs.values()];
    this.runs.clear();
    this.wakeGeneration++;
    this.up = false;
    for (const run of lost) run.onEnd({kind: 'broken'});
  }

  /** Starts a crashed server again, cold. */
  restart(warmUpMs: units.Millis): void {
    this.up = true;
    this.turnCold(warmUpMs, true);
  }

  private immediateResult(): RunResult | undefined {
    if (!this.up) return {kind: 'not-sent'};
    if (this.sheds) return {kind: 'shed'};
    if (this.answersBadly) return {kind: 'bad-answer'};
    if (this.failsFast) return {kind: 'answered', status: STATUS_ERROR};
    return undefined;
  }

  private countOverload(): void {
    const capacity = this.capacity;
    if (this.runs.size + 1 <= capacity) return;
    this.lastOverloadMs = this.clock.nowMs;
    if (capacity === this.options.slots) this.slotBreaches++;
    else if (this.coldAnnounced) this.coldBreaches++;
    else this.silentColdBreaches++;
  }

  /** Reschedules the runs in progress as the capacity grows. */
  private rescheduleDuringWarmUp(): void {
    this.advance();
    this.scheduleNextEnd();
    if (this.capacity === this.options.slots) return;
    this.clock.after(WARM_UP_STEP_MS, () => this.rescheduleDuringWarmUp());
  }

  private endSlowdown(): void {
    if (this.clock.nowMs < this.slowUntilMs) return;
    this.advance();
    this.slowdown = 1;
    this.scheduleNextEnd();
  }

  /** Advances the work counter to now; called before each change of the speed. */
  private advance(): void {
    const now = this.clock.nowMs;
    this.work += (now - this.workAtMs) * this.speed();
    this.workAtMs = now;
  }

  private speed(): number {
    const n = this.runs.size;
    if (n === 0) return 1;
    const capacity = this.capacity;
    if (n > capacity) return COLLAPSED_SPEED;
    const half = this.options.slots / 2;
    const shared = n <= half ? 1 : 1 - ((1 - FULL_SPEED) * (n - half)) / half;
    const cold = capacity < this.options.slots ? COLD_SPEED : 1;
    return (shared * cold) / this.slowdown;
  }

  private scheduleNextEnd(): void {
    const generation = ++this.wakeGeneration;
    const first = this.nextToEnd();
    if (first === undefined) return;
    const delayMs = Math.max(0, first.finishWork - this.work) / this.speed();
    this.clock.after(delayMs, () => {
      if (generation === this.wakeGeneration) this.endNext();
    });
  }

  private nextToEnd(): Run | undefined {
    let first: Run | undefined;
    for (const run of this.runs.values()) {
      if (first === undefined || run.finishWork < first.finishWork) first = run;
    }
    return first;
  }

  private endNext(): void {
    this.advance();
    const first = this.nextToEnd()!;
    this.runs.delete(first.id);
    this.scheduleNextEnd();
    first.onEnd({kind: 'answered', status: STATUS_OK});
  }

  private sampleServiceMs(): units.Millis {
    return (
      this.options.medianMs * Math.exp(SERVICE_TIME_SIGMA * this.sampleNormal())
    );
  }

  /** Standard normal variate, by the Box-Muller transform. */
  private sampleNormal(): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.random.next()));
    return radius * Math.cos(2 * Math.PI * this.random.next());
  }
}
