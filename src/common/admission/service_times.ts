/** Service times of a backend server by request class, learned from its answers. */
import * as invariants from '../invariants.js';
import * as units from '../units.js';

/** Weight of a new sample in the recent service time. */
const RECENT_WEIGHT = 0.1;

/** Weights of a new sample in the usual service time, below and above it. */
const USUAL_WEIGHT_BELOW = 0.02;
const USUAL_WEIGHT_ABOVE = 0.01;

/** Weight above it while the server is slow: a lasting change is learned, a passing one is not. */
const USUAL_WEIGHT_WHILE_SLOW = 0.0005;

/** Samples of a class after which its usual service time counts as learned. */
const LEARNED_SAMPLES = 10;

/** Most classes learned; requests of further ones share the mean of all. */
const CLASSES_BOUND = 64;

/** How the usual service time follows a sample: `none` in cold start, `slow` while it is slow. */
export type Learning = 'full' | 'slow' | 'none';

interface Learned {
  readonly samples: number;
  readonly recentMs: units.Millis;
  readonly usualMs: units.Millis;
}

/** Recent and usual service times. */
export class ServiceTimes {
  private readonly byClass = new Map<string, Learned>();
  private all: Learned = {samples: 0, recentMs: 0, usualMs: 0};

  /** Recent service time over all classes, 0 before the first sample. */
  get recentMs(): units.Millis {
    return this.all.recentMs;
  }

  /** Recent service time of a class, or over all classes if it has no sample. */
  recentOfMs(className: string): units.Millis {
    return this.byClass.get(className)?.recentMs ?? this.all.recentMs;
  }

  /** Usual service time of a class, undefined until it is learned. */
  usualOfMs(className: string): units.Millis | undefined {
    const learned = this.byClass.get(className);
    if (!learned || learned.samples < LEARNED_SAMPLES) return undefined;
    return learned.usualMs;
  }

  /** Returns a service time of a class in usual ones, 1 until those are learned. */
  ratioOf(className: string, serviceMs: units.Millis): number {
    const usualMs = this.usualOfMs(className);
    return usualMs ? serviceMs / usualMs : 1;
  }

  /** Takes the recent service times as the usual ones: the backend server has changed. */
  relearn(): void {
    for (const [className, learned] of this.byClass) {
      this.byClass.set(className, {...learned, usualMs: learned.recentMs});
    }
  }

  /** Takes a sample; `learning` says how the usual time follows it. */
  add(className: string, serviceMs: units.Millis, learning: Learning): void {
    this.all = learn(this.all, serviceMs, learning);
    const learned = this.byClass.get(className);
    if (!learned && this.byClass.size >= CLASSES_BOUND) return;
    const before = learned ?? {samples: 0, recentMs: 0, usualMs: 0};
    this.byClass.set(className, learn(before, serviceMs, learning));
  }
}

function learn(
  before: Learned,
  serviceMs: units.Millis,
  learning: Learning,
): Learned {
  if (before.samples === 0) {
    return {samples: 1, recentMs: serviceMs, usualMs: serviceMs};
  }
  const above = serviceMs > before.usualMs;
  const usualWeight = usualWeightOf(learning, above);
  return {
    samples: before.samples + 1,
    recentMs: mix(before.recentMs, serviceMs, RECENT_WEIGHT),
    usualMs: mix(before.usualMs, serviceMs, usualWeight),
  };
}

function usualWeightOf(learning: Learning, above: boolean): number {
  switch (learning) {
    case 'full':
      return above ? USUAL_WEIGHT_ABOVE : USUAL_WEIGHT_BELOW;
    case 'slow':
      return above ? USUAL_WEIGHT_WHILE_SLOW : USUAL_WEIGHT_BELOW;
    case 'none':
      return 0;
    default:
      return invariants.assertNever(learning);
  }
}

function mix(old: number, sample: number, weight: number): number {
  return old + (sample - old) * weight;
}
