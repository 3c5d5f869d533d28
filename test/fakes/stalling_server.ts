/** A backend server in virtual time whose neighbours slow it down for short spells. */
import * as randomSource from '../../src/common/random_source.js';
import * as serverPace from '../../src/common/serving/server_pace.js';
import * as units from '../../src/common/units.js';
import * as virtualServiceClock from './virtual_service_clock.js';

const PERCENT = 100;

/** Spread of the work of one route's requests. */
const WORK_SPREAD = 0.3;

/** Slots and speed of a backend server. */
export interface ServerOptions {
  readonly slots: number;
  /** Share of the time in which neighbours slow the server down. */
  readonly stalledShare: number;
  readonly stalledFactor: number;
  /** Interval after which neighbours may begin or stop to slow the server down. */
  readonly stallIntervalMs: units.Millis;
  /** Share of the slots above which work is slower by the factor. */
  readonly kneeShare: number;
  readonly kneeFactor: number;
}

/** Returns the work of one request at normal pace. */
export function drawWorkMs(
  meanMs: units.Millis,
  random: randomSource.RandomSource,
): units.Millis {
  const normal = (random.next() + random.next() + random.next() - 1.5) * 2;
  return meanMs * Math.exp(WORK_SPREAD * normal);
}

/** Works on requests at a pace that changes with stalls and with the number of requests. */
export class StallingServer {
  private readonly running = new Set<string>();
  private stalled = false;

  constructor(
    private readonly clock: virtualServiceClock.VirtualClock,
    private readonly random: randomSource.RandomSource,
    private readonly options: ServerOptions,
  ) {
    clock.after(random.next() * options.stallIntervalMs, () =>
      this.drawInterval(),
    );
  }

  /** Load as the server reports it. */
  load(): serverPace.ServerLoad {
    const {slots, stalledFactor} = this.options;
    const pacePercent = PERCENT * (this.stalled ? stalledFactor : 1);
    return {running: this.running.size, waiting: 0, slots, pacePercent};
  }

  /** Takes a slot for a request. */
  begin(key: string): void {
    this.running.add(key);
  }

  /** Frees the slot of a request; false if it was free before. */
  end(key: string): boolean {
    return this.running.delete(key);
  }

  /** Stops work on a request. */
  abort(key: string): void {
    this.running.delete(key);
  }

  /** Works on a request; the pace at the start holds until it is done. */
  work(key: string, workMs: units.Millis, done: () => void): void {
    this.clock.after(workMs * this.factor, () => {
      if (this.running.has(key)) done();
    });
  }

  private get factor(): number {
    const {slots, kneeShare, kneeFactor, stalledFactor} = this.options;
    const isFull = this.running.size > kneeShare * slots;
    return (this.stalled ? stalledFactor : 1) * (isFull ? kneeFactor : 1);
  }

  /** Stalls the server for one interval or not, independently of the intervals before. */
  private drawInterval(): void {
    const {stalledShare, stallIntervalMs} = this.options;
    this.stalled = this.random.next() < stalledShare;
    this.clock.after(stallIntervalMs, () => this.drawInterval());
  }
}
