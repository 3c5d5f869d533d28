/** Limits the memory that answers of the backend server take while they are read. */

/** Share of the process's memory that answers may take. */
const ANSWER_MEMORY_SHARE = 1 / 8;

/** Bytes in the unit of the process's memory. */
export const BYTES_PER_MB = 1024 * 1024;

/** Memory of one answer; must be released when the answer is complete or has failed. */
export class AnswerAllocation {
  /** Bytes read. */
  bytes = 0;

  constructor(
    private readonly memory: AnswerMemory,
    /** Called at most once, when the answer must end, as it takes more than all others. */
    readonly onTooLarge: () => void,
  ) {}

  /** Adds bytes that were read; ignored once the answer has ended. */
  add(bytes: number): void {
    if (!this.memory.has(this)) return;
    this.bytes += bytes;
    this.memory.onAdded(bytes);
  }

  /** Returns the memory; later calls have no effect. */
  release(): void {
    this.memory.release(this);
  }
}

/** Memory that all answers of the backend server share; the largest one ends when it is used up. */
export class AnswerMemory {
  private readonly allocations = new Set<AnswerAllocation>();
  private usedBytes = 0;

  /** @param maxBytes most bytes that all answers take together. */
  constructor(readonly maxBytes: number) {}

  /** Returns the memory for a process that may use `memoryMb`. */
  static ofProcess(memoryMb: number): AnswerMemory {
    return new AnswerMemory(memoryMb * BYTES_PER_MB * ANSWER_MEMORY_SHARE);
  }

  /** Starts to count an answer. */
  allocate(onTooLarge: () => void): AnswerAllocation {
    const allocation = new AnswerAllocation(this, onTooLarge);
    this.allocations.add(allocation);
    return allocation;
  }

  /** Whether an answer is still read. */
  has(allocation: AnswerAllocation): boolean {
    return this.allocations.has(allocation);
  }

  /** Returns the memory of an answer. */
  release(allocation: AnswerAllocation): void {
    if (!this.allocations.delete(allocation)) return;
    this.usedBytes -= allocation.bytes;
  }

  /** Counts bytes of an answer; ends the largest answers until the rest fits. */
  onAdded(bytes: number): void {
    this.usedBytes += bytes;
    while (this.usedBytes > this.maxBytes) {
      const [largest] = [...this.allocations].sort((a, b) => b.bytes - a.bytes);
      this.release(largest);
      largest.onTooLarge();
    }
  }
}
