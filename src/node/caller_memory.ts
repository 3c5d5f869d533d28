/** Limits the memory that a process holds for its callers. */

/** Share of the process's memory that callers may take. */
const CALLER_MEMORY_SHARE = 1 / 4;

const BYTES_PER_MB = 1024 * 1024;

/** Bytes from which on a connection ends so that others get their memory. */
const LARGE_BYTES = 16 * 1024;

/**
 * What an allocation counts. Answers wait for their caller to take them, bodies for a server, so
 * that connections with many answers end first.
 */
export type HeldKind = 'answers' | 'body';

/** Memory that is held for one connection. */
export class CallerAllocation implements Disposable {
  private heldBytes = 0;

  constructor(
    private readonly memory: CallerMemory,
    readonly kind: HeldKind,
    /** Ends the connection, as it holds more than all others while the memory is used up. */
    readonly onExceeded: () => void,
  ) {}

  /** Bytes that are held. */
  get bytes(): number {
    return this.heldBytes;
  }

  /** Adds bytes that are held from now on; ignored once the allocation is disposed. */
  add(bytes: number): void {
    if (!this.memory.has(this)) return;
    this.heldBytes += bytes;
    this.memory.onChanged(bytes);
  }

  /** Gives bytes back that were added; ignored once the allocation is disposed. */
  remove(bytes: number): void {
    if (!this.memory.has(this)) return;
    this.heldBytes -= bytes;
    this.memory.onChanged(-bytes);
  }

  /** Gives all bytes back; later calls have no effect. */
  [Symbol.dispose](): void {
    this.memory.release(this);
  }
}

/**
 * Memory that all connections of callers share: requests that are read or handled, and answers that
 * callers have not taken. When it is used up, the connections that hold most end.
 */
export class CallerMemory {
  private readonly allocations = new Set<CallerAllocation>();
  private heldBytes = 0;

  /** Called when bytes were given back. */
  onFreed: () => void = () => undefined;

  /** @param maxBytes most bytes that all connections hold together. */
  constructor(readonly maxBytes: number) {}

  /** Returns the memory for a process that may use `memoryMb`. */
  static ofProcess(memoryMb: number): CallerMemory {
    return new CallerMemory(memoryMb * BYTES_PER_MB * CALLER_MEMORY_SHARE);
  }

  /** Bytes that all connections hold. */
  get usedBytes(): number {
    return this.heldBytes;
  }

  /** Starts to count a connection. */
  allocate(onExceeded: () => void, kind: HeldKind = 'body'): CallerAllocation {
    const allocation = new CallerAllocation(this, kind, onExceeded);
    this.allocations.add(allocation);
    return allocation;
  }

  /** Whether a connection is still counted. */
  has(allocation: CallerAllocation): boolean {
    return this.allocations.has(allocation);
  }

  /** Gives back the bytes of a connection and counts it no more. */
  release(allocation: CallerAllocation): void {
    if (!this.allocations.delete(allocation)) return;
    this.heldBytes -= allocation.bytes;
    if (allocation.bytes > 0) this.onFreed();
  }

  /** Counts a change of a connection; ends the largest ones until the rest fits. */
  onChanged(bytes: number): void {
    this.heldBytes += bytes;
    while (this.heldBytes > this.maxBytes && this.allocations.size > 0) {
      this.end(this.largestAnswers() ?? largestOf([...this.allocations]));
    }
    if (bytes < 0) this.onFreed();
  }

  /**
   * Ends connections that hold many answers until further bytes fit; returns false if they do not.
   */
  makeRoom(bytes: number): boolean {
    while (this.heldBytes + bytes > this.maxBytes) {
      const largest = this.largestAnswers();
      if (largest === undefined) return false;
      this.end(largest);
    }
    return true;
  }

  private largestAnswers(): CallerAllocation | undefined {
    const large = [...this.allocations].filter(
      ({kind, bytes}) => kind === 'answers' && bytes > LARGE_BYTES,
    );
    return large.length === 0 ? undefined : largestOf(large);
  }

  /** Ends a connection; its memory is for the one that asked, so that no other is told. */
  private end(allocation: CallerAllocation): void {
    this.allocations.delete(allocation);
    this.heldBytes -= allocation.bytes;
    allocation.onExceeded();
  }
}

function largestOf(allocations: readonly CallerAllocation[]): CallerAllocation {
  return allocations.reduce((a, b) => (b.bytes > a.bytes ? b : a));
}
