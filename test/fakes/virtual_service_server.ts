/** A fake backend server in virtual time: slots that share a processor, cold start and faults. */
import * as randomSource from '../../src/common/random_source.js';
import * as units from '../../src/common/units.js';
import * as clocks from './virtual_service_clock.js';

/** How a run ended. */
export type RunResult =
  | {readonly kind: 'answered'; readonly status: number}
  | {readonly kind: 'not-sent'}
  | {readonly kind: 'shed'}
  | {readonly kind: 'broken'}
  | {readonly kind: 'bad-answer'};

/** Properties of a backend server. */
export interface ServerOptions {
  readonly slots: number;
  /** Median of the service time of one request alone, in milliseconds. */
  readonly medianMs: units.Millis;
}

/** A request in progress; `finishWork` is the work counter at which it is done. */
interface Run {
  readonly id: number;
  readonly finishWork: number;
  readonly onEnd: (result: RunResult) => void;
}

const SERVICE_TIME_SIGMA = 0.45;
/** Speed of each request when all slots are busy, against a request alone. */
const FULL_SPEED = 0.7;
const COLD_SPEED = 0.5;
const COLLAPSED_SPEED = 0.05;
const WARM_UP_STEP_MS = 20;
const FAST_FAILURE_MS = 0.3;
const COLD_CAPACITY_AT_START = 1;
const ANSWER_OK = 200;
const ANSWER_ERROR = 500;

/** Mean service time, at the speed of full slots, of a server with this median. */
export function capacityPerSecond(options: ServerOptions): number {
  const meanMs = options.medianMs * Math.exp(SERVICE_TIME_SIGMA ** 2 / 2);
  return (options.slots * FULL_SPEED * 1_000) / meanMs;
}

/** Serves runs with processor sharing: the work counter advances at the speed of each run. */
export class VirtualServer {
  /** Runs begun above what the server could carry after an announced cold start. */
  coldBreaches = 0;
  /** Runs begun above what the server could carry after it turned cold with no signal. */
  silentColdBreaches = 0;
  /** Runs begun above the slots of the warm server. */
  slotBreaches = 0;
  /** Time of the last breach, undefined if there was none. */
  lastBreachMs: units.MonotonicMs | undefined;
  /** Most runs at the same time. */
  peakInFlight = 0;
  failsFast = false;
  sheds = false;
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
    private readonly clock: clocks.VirtualClock,
    private readonly random: randomSource.RandomSource,
  ) {}

  get isUp(): boolean {
    return this.up;
  }

  /** Whether a request begun now would execute. */
  get executes(): boolean {
    return this.up && !this.sheds;
  }

  get inFlight(): number {
    return this.runs.size;
  }

  /** Requests that the server can carry now. */
  get capacity(): number {
    if (this.coldSinceMs === undefined) return this.options.slots;
    const share = (this.clock.nowMs - this.coldSinceMs) / this.warmUpMs;
    const grown = (this.options.slots - COLD_CAPACITY_AT_START) * share;
    return Math.min(
      this.options.slots,
      Math.floor(COLD_CAPACITY_AT_START + grown),
    );
  }

  /** Starts a run; `onEnd` is called once unless the run is aborted. Returns its id. */
  begin(onEnd: (result: RunResult) => void): number {
    const id = this.nextRunId++;
    const immediate = this.immediateResult();
    if (immediate !== undefined) {
      this.clock.after(FAST_FAILURE_MS, () => onEnd(immediate));
      return id;
    }
    this.advance();
    this.countBreach();
    const finishWork = this.work + this.drawServiceMs();
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

  /** Turns cold; capacity grows back over `warmUpMs`. */
  turnCold(warmUpMs: units.Millis, announced: boolean): void {
    this.advance();
    this.coldSinceMs = this.clock.nowMs;
    this.warmUpMs = warmUpMs;
    this.coldAnnounced = announced;
    this.followWarmUp();
  }

  /** Ends all runs as broken; nothing can be sent until `restart`. */
  crash(): void {
    const lost = [...this.runs.values()];
    this.runs.clear();
    this.wakeGeneration++;
    this.up = false;
    for (const run of lost) run.onEnd({kind: 'broken'});
  }

  /** Starts again, cold. */
  restart(warmUpMs: units.Millis): void {
    this.up = true;
    this.turnCold(warmUpMs, true);
  }

  private immediateResult(): RunResult | undefined {
    if (!this.up) return {kind: 'not-sent'};
    if (this.sheds) return {kind: 'shed'};
    if (this.answersBadly) return {kind: 'bad-answer'};
    if (this.failsFast) return {kind: 'answered', status: ANSWER_ERROR};
    return undefined;
  }

  private countBreach(): void {
    const capacity = this.capacity;
    if (this.runs.size + 1 <= capacity) return;
    this.lastBreachMs = this.clock.nowMs;
    if (capacity === this.options.slots) this.slotBreaches++;
    else if (this.coldAnnounced) this.coldBreaches++;
    else this.silentColdBreaches++;
  }

  /** Applies the growth of capacity to the runs in progress. */
  private followWarmUp(): void {
    this.advance();
    this.scheduleNextEnd();
    if (this.capacity === this.options.slots) return;
    this.clock.after(WARM_UP_STEP_MS, () => this.followWarmUp());
  }

  private endSlowdown(): void {
    if (this.clock.nowMs < this.slowUntilMs) return;
    this.advance();
    this.slowdown = 1;
    this.scheduleNextEnd();
  }

  /** Brings the work counter up to now at the speed since the last change. */
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
    const first = this.firstToEnd();
    if (first === undefined) return;
    const delayMs = Math.max(0, first.finishWork - this.work) / this.speed();
    this.clock.after(delayMs, () => {
      if (generation === this.wakeGeneration) this.endFirst();
    });
  }

  private firstToEnd(): Run | undefined {
    let first: Run | undefined;
    for (const run of this.runs.values()) {
      if (first === undefined || run.finishWork < first.finishWork) first = run;
    }
    return first;
  }

  private endFirst(): void {
    this.advance();
    const first = this.firstToEnd()!;
    this.runs.delete(first.id);
    this.scheduleNextEnd();
    first.onEnd({kind: 'answered', status: ANSWER_OK});
  }

  private drawServiceMs(): units.Millis {
    return (
      this.options.medianMs * Math.exp(SERVICE_TIME_SIGMA * this.drawNormal())
    );
  }

  /** Box-Muller transform. */
  private drawNormal(): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.random.next()));
    return radius * Math.cos(2 * Math.PI * this.random.next());
  }
}
