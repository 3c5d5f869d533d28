/** Memory of this process after garbage collection. */
import * as v8 from 'node:v8';
import * as vm from 'node:vm';

v8.setFlagsFromString('--expose-gc');
const collectGarbage = vm.runInNewContext('gc') as () => void;

/** Returns the live heap and external memory, such as buffers, in bytes. */
export function liveBytes(): number {
  collectGarbage();
  collectGarbage();
  const usage = process.memoryUsage();
  return usage.heapUsed + usage.external;
}

/** Returns the bytes retained by the value that `build` returns. */
export function retainedBytes(build: () => unknown): number {
  const before = liveBytes();
  const retained = build();
  const after = liveBytes();
  // Keeps the value reachable until the measurement is complete.
  if (retained === undefined) throw new Error('build returned nothing');
  return after - before;
}
