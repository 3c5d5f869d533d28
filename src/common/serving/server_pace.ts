/** How long work takes on the backend server's instance at this moment. */
import * as units from '../units.js';

/** Load that a backend server tells with an answer. */
export interface ServerLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** Time that work takes now, in percent of the usual; undefined if not told. */
  readonly pacePercent: number | undefined;
}

/** Pace from which the server counts as stalled by its neighbours, in percent of the usual time. */
export const STALLED_PERCENT = 200;

/** Age from which a sample says nothing; spells of neighbours last a fraction of 300 ms. */
const SAMPLE_LIFE_MS: units.Millis = 150;

/** The usual pace, in percent. */
export const USUAL_PERCENT = 100;

/** The newest sample of the backend server's pace. */
export class ServerPace {
  private percent = USUAL_PERCENT;
  private sampledMs: units.MonotonicMs = -Infinity;
  private full = false;

  /** Takes a sample. */
  onLoad(load: ServerLoad, now: units.MonotonicMs): void {
    this.full = load.running >= load.slots;
    if (load.pacePercent === undefined) return;
    this.percent = load.pacePercent;
    this.sampledMs = now;
  }

  /** Pace by the newest sample, the usual one if it is too old. */
  percentAt(now: units.MonotonicMs): number {
    return this.ageMs(now) <= SAMPLE_LIFE_MS ? this.percent : USUAL_PERCENT;
  }

  /** Whether neighbours stall the server. */
  isStalled(now: units.MonotonicMs): boolean {
    return this.percentAt(now) > STALLED_PERCENT;
  }

  /** Whether the server said with its newest load that no slot is free. */
  get isFull(): boolean {
    return this.full;
  }

  /** Age of the newest sample. */
  ageMs(now: units.MonotonicMs): units.Millis {
    return now - this.sampledMs;
  }
}
