/** Service times of a backend server by request class, measured from its answers. */
import * as invariants from '../invariants.js';
import * as units from '../units.js';

/** Weight of a new sample in the recent service time. */
const RECENT_WEIGHT = 0.1;

/** Weights of a new sample in the baseline, for samples below and above it. */
const BASELINE_WEIGHT_BELOW = 0.02;
const BASELINE_WEIGHT_ABOVE = 0.01;

/**
 * Weight of a sample above the baseline while the server is slow: the baseline follows a lasting
 * change but not a temporary one.
 */
const BASELINE_WEIGHT_WHILE_SLOW = 0.0005;

/** Samples of a class required before its baseline is used. */
const MIN_BASELINE_SAMPLES = 10;

/** Maximum number of classes tracked; further classes use the values over all classes. */
const MAX_CLASSES = 64;

/** How the baseline follows a sample: `none` in cold start, `slow` while the server is slow. */
export type LearningMode = 'full' | 'slow' | 'none';

interface Averages {
  readonly samples: number;
  readonly recentMs: units.Millis;
  readonly baselineMs: units.Millis;
}

/** Recent service times and their long-term baselines, per request class. */
export class ServiceTimes {
  private readonly byClass = new Map<string, Averages>();
  private all: Averages = {samples: 0, recentMs: 0, baselineMs: 0};

  /** Recent service time over all classes in milliseconds, 0 before the first sample. */
  get recentMs(): units.Millis {
    return this.all.recentMs;
  }

  /** Returns the recent service time of a class, or over all classes if it has no sample. */
  recentOfMs(className: string): units.Millis {
    return this.byClass.get(className)?.recentMs ?? this.all.recentMs;
  }

  /** Returns the baseline of a class, undefined until it has enough samples. */
  baselineOfMs(className: string): units.Millis | undefined {
    const averages = this.byClass.get(className);
    if (!averages || averages.samples < MIN_BASELINE_SAMPLES) return undefined;
    return averages.baselineMs;
  }

  /** Returns a service time as a multiple of the baseline, 1 while there is no baseline. */
  ratioOf(className: string, serviceMs: units.Millis): number {
    const baselineMs = this.baselineOfMs(className);
    return baselineMs ? serviceMs / baselineMs : 1;
  }

  /** Sets the baselines to the recent service times, after a cold start. */
  resetBaselines(): void {
    for (const [className, averages] of this.byClass) {
      this.byClass.set(className, {...averages, baselineMs: averages.recentMs});
    }
  }

  /** Adds a sample; `learning` sets how the baseline follows it. */
  add(
    className: string,
    serviceMs: units.Millis,
    learning: LearningMode,
  ): void {
    this.all = update(this.all, serviceMs, learning);
    const averages = this.byClass.get(className);
    if (!averages && this.byClass.size >= MAX_CLASSES) return;
    const before = averages ?? {samples: 0, recentMs: 0, baselineMs: 0};
    this.byClass.set(className, update(before, serviceMs, learning));
  }
}

function update(
  before: Averages,
  serviceMs: units.Millis,
  learning: LearningMode,
): Averages {
  if (before.samples === 0) {
    return {samples: 1, recentMs: serviceMs, baselineMs: serviceMs};
  }
  const isAbove = serviceMs > before.baselineMs;
  const baselineWeight = baselineWeightOf(learning, isAbove);
  return {
    samples: before.samples + 1,
    recentMs: interpolate(before.recentMs, serviceMs, RECENT_WEIGHT),
    baselineMs: interpolate(before.baselineMs, serviceMs, baselineWeight),
  };
}

function baselineWeightOf(learning: LearningMode, isAbove: boolean): number {
  switch (learning) {
    case 'full':
      return isAbove ? BASELINE_WEIGHT_ABOVE : BASELINE_WEIGHT_BELOW;
    case 'slow':
      return isAbove ? BASELINE_WEIGHT_WHILE_SLOW : BASELINE_WEIGHT_BELOW;
    case 'none':
      return 0;
    default:
      return invariants.assertNever(learning);
  }
}

function interpolate(old: number, sample: number, weight: number): number {
  return old + (sample - old) * weight;
}
