/** Arrivals at a fixed mean rate that do not wait for answers. */
import * as randomSource from '../src/common/random_source.js';

const MS_PER_SECOND = 1_000;

/** Calls `onArrival` with the due time of each arrival of a Poisson process. */
export async function openLoop(
  rate: number,
  seconds: number,
  random: randomSource.RandomSource,
  onArrival: (dueMs: number, index: number) => void,
): Promise<void> {
  const startMs = performance.now();
  const endMs = startMs + seconds * MS_PER_SECOND;
  let dueMs = startMs;
  for (let index = 0; ; index++) {
    dueMs += (-Math.log(1 - random.next()) * MS_PER_SECOND) / rate;
    if (dueMs > endMs) return;
    const waitMs = dueMs - performance.now();
    if (waitMs > 0) await new Promise(resolve => setTimeout(resolve, waitMs));
    onArrival(dueMs, index);
  }
}
