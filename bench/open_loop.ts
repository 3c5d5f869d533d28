/** Open-loop load: arrivals at a fixed mean rate, whether or not earlier calls are answered. */
import * as randomSource from '../src/common/random_source.js';

const MS_PER_SECOND = 1_000;

/** Calls `onArrival` for each arrival of a Poisson process, with its due time and its index. */
export async function generateArrivals(
  ratePerSecond: number,
  seconds: number,
  random: randomSource.RandomSource,
  onArrival: (dueMs: number, index: number) => void,
): Promise<void> {
  const startMs = performance.now();
  const endMs = startMs + seconds * MS_PER_SECOND;
  let dueMs = startMs;
  for (let index = 0; ; index++) {
    dueMs += (-Math.log(1 - random.next()) * MS_PER_SECOND) / ratePerSecond;
    if (dueMs > endMs) return;
    const waitMs = dueMs - performance.now();
    if (waitMs > 0) await new Promise(resolve => setTimeout(resolve, waitMs));
    onArrival(dueMs, index);
  }
}
