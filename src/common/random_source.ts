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

/**
 * Returns a seed for a named generator. Generators with neighbouring seeds begin with similar
 * numbers, so nodes that start at the same time must not be seeded by their start time alone.
 */
export function seedOf(name: string, number: number): number {
  let hash = FNV_OFFSET ^ Math.trunc(number);
  for (let i = 0; i < name.length; i++) {
    hash = Math.imul(hash ^ name.charCodeAt(i), FNV_PRIME);
  }
  return mixBits(hash);
}

/** Parameters of the FNV-1a hash of 32 bits. */
const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Spreads each bit over all others, as the final step of MurmurHash3 does. */
function mixBits(value: number): number {
  let hash = value;
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) | 0;
}
