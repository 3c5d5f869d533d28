/** Heap of this process after garbage collection. */
import * as v8 from 'node:v8';
import * as vm from 'node:vm';

v8.setFlagsFromString('--expose-gc');
const collect = vm.runInNewContext('gc') as () => void;

/** Returns the live heap and buffers, in bytes. */
export function liveBytes(): number {
  collect();
  collect();
  const usage = process.memoryUsage();
  return usage.heapUsed + usage.external;
}

/** Returns the bytes that what `build` returns keeps alive. */
export function keptBytes(build: () => unknown): number {
  const before = liveBytes();
  const kept = build();
  const after = liveBytes();
  // Keeps the value reachable until after the measurement.
  if (kept === undefined) throw new Error('nothing to measure');
  return after - before;
}
