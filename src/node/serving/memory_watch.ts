/** Reports when the memory of the process comes near its limit. */
import * as v8 from 'node:v8';

import * as answerMemory from './answer_memory.js';

/** Shares of the limit at which memory counts as high, and as normal again. */
const HIGH_SHARE = 0.75;
const NORMAL_SHARE = 0.65;

/** Memory of a process, in bytes. */
export interface MemoryUse {
  /** Resident size, which the machine limits. */
  readonly rss: number;
  /** Objects on the heap, which V8 limits. */
  readonly heapUsed: number;
  /** Buffers and other memory outside the heap that objects refer to. */
  readonly external: number;
}

/** Returns the memory of this process, undefined if the system does not tell it now. */
export function memoryOfProcess(): MemoryUse | undefined {
  try {
    return process.memoryUsage();
  } catch {
    // Node.js opens a file for the resident size, which needs a free descriptor.
    return undefined;
  }
}

/** Settings and dependencies of `MemoryWatch`. */
export interface MemoryWatchOptions {
  readonly memoryMb: number;
  /** Limit of the heap, in bytes. */
  readonly heapLimitBytes: number;
  /** Returns the memory, undefined if the system does not tell it now. */
  use(): MemoryUse | undefined;
  note(event: string, facts: Readonly<Record<string, number>>): void;
}

/** Notes each time that memory becomes high or normal. */
export class MemoryWatch {
  private isHigh = false;

  constructor(private readonly options: MemoryWatchOptions) {}

  /** Returns the watch of this process. */
  static ofProcess(
    memoryMb: number,
    note: MemoryWatchOptions['note'],
  ): MemoryWatch {
    const heapLimitBytes = v8.getHeapStatistics().heap_size_limit;
    return new MemoryWatch({
      memoryMb,
      heapLimitBytes,
      use: memoryOfProcess,
      note,
    });
  }

  /** Compares the memory with its limits. */
  check(): void {
    const {memoryMb, heapLimitBytes, note} = this.options;
    const use = this.options.use();
    if (use === undefined) return;
    const share = Math.max(
      use.rss / (memoryMb * answerMemory.BYTES_PER_MB),
      use.heapUsed / heapLimitBytes,
    );
    const isHigh = share >= (this.isHigh ? NORMAL_SHARE : HIGH_SHARE);
    if (isHigh === this.isHigh) return;
    this.isHigh = isHigh;
    note(isHigh ? 'memory-high' : 'memory-normal', {
      residentMb: megabytes(use.rss),
      heapMb: megabytes(use.heapUsed),
      externalMb: megabytes(use.external),
      limitMb: memoryMb,
      heapLimitMb: megabytes(heapLimitBytes),
    });
  }
}

function megabytes(bytes: number): number {
  return Math.round(bytes / answerMemory.BYTES_PER_MB);
}
