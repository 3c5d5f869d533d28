/** Seeded pseudorandom numbers, which keep the decision logic reproducible. */
import * as xoroshiro from 'pure-rand/generator/xoroshiro128plus';
import * as uniformFloat from 'pure-rand/distribution/uniformFloat64';

/** Source of pseudorandom numbers. The same seed gives the same sequence. */
export interface RandomSource {
  /** Returns a number in [0, 1). */
  next(): number;

  /** Returns an integer in [0, bound). `bound` must be at least 1. */
  nextInt(bound: number): number;
}

/** Random source based on xoroshiro128+. */
export class SeededRandom implements RandomSource {
  private readonly generator;

  constructor(seed: number) {
    this.generator = xoroshiro.xoroshiro128plus(seed);
  }

  next(): number {
    return uniformFloat.uniformFloat64(this.generator);
  }

  nextInt(bound: number): number {
    return Math.floor(this.next() * bound);
  }
}

/** Returns a shuffled copy of `items` (Fisher-Yates). */
export function shuffle<T>(
  items: readonly T[],
  random: RandomSource,
): readonly T[] {
  const shuffled = [...items];
  for (let i = shuffled.length - 1; i > 0; i--) {
    const j = random.nextInt(i + 1);
    [shuffled[i], shuffled[j]] = [shuffled[j], shuffled[i]];
  }
  return shuffled;
}
