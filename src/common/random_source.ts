/** Seeded random numbers for decision logic. */
import * as xoroshiro from 'pure-rand/generator/xoroshiro128plus';
import * as uniformFloat from 'pure-rand/distribution/uniformFloat64';

/** Source of random numbers; the same seed gives the same sequence. */
export interface RandomSource {
  /** Returns a number in [0, 1). */
  next(): number;

  /** Returns an integer in [0, bound). Requires `bound` to be at least 1. */
  nextInt(bound: number): number;
}

/** Random source on xoroshiro128+. */
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

/** Returns `items` in a random order, leaving the argument as it is. */
export function shuffle<T>(
  items: readonly T[],
  random: RandomSource,
): readonly T[] {
  const out = [...items];
  for (let i = out.length - 1; i > 0; i--) {
    const j = random.nextInt(i + 1);
    [out[i], out[j]] = [out[j], out[i]];
  }
  return out;
}
