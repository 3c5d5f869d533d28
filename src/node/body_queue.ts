/** Order in which large bodies are read, within memory that they share. */

/** A large body that is read, or waits to be read or read on. */
export interface QueuedBody {
  /** Position in the order of arrival. */
  readonly number: number;
  /** Called when the bytes that it waited for are reserved. */
  onReserved(): void;
  /** Called when it must give up, as it waits for bytes that others hold that wait too. */
  onStuck(): void;
}

/**
 * Reserves bytes for large bodies in the order of their arrival. A body longer than all of the
 * memory counts as long as the memory, so that it is read when no other is held.
 */
export class BodyQueue {
  private readonly reserved = new Map<QueuedBody, number>();
  /** Bodies that wait, with the bytes that each needs in all; the earliest is first. */
  private waiting: ReadonlyArray<readonly [QueuedBody, number]> = [];
  private reservedBytes = 0;

  /**
   * @param maxBytes most bytes that are reserved together.
   * @param hasRoom whether there is memory for further bytes beside all else that it holds.
   */
  constructor(
    readonly maxBytes: number,
    private readonly hasRoom: (bytes: number) => boolean = () => true,
  ) {}

  /** Bytes that are reserved for all bodies. */
  get usedBytes(): number {
    return this.reservedBytes;
  }

  /** Number of bodies that wait. */
  get waitingCount(): number {
    return this.waiting.length;
  }

  /** Bytes that are reserved for a body. */
  bytesOf(body: QueuedBody): number {
    return this.reserved.get(body) ?? 0;
  }

  /** Whether a body waits for bytes. */
  isWaiting(body: QueuedBody): boolean {
    return this.waiting.some(([other]) => other === body);
  }

  /**
   * Reserves bytes for a body in all. Returns true if they are reserved at once; else the body
   * waits, and its callbacks tell the outcome, maybe before this returns.
   *
   * @param bytes all that the body needs, bytes included that are reserved for it already.
   */
  reserve(body: QueuedBody, bytes: number): boolean {
    const needed = Math.min(bytes, this.maxBytes);
    if (needed <= this.bytesOf(body)) return true;
    const isNext = this.waiting.every(([other]) => other.number > body.number);
    if (isNext && this.fits(body, needed)) {
      this.setReserved(body, needed);
      return true;
    }
    this.waiting = [...this.waiting, [body, needed] as const].sort(
      ([a], [b]) => a.number - b.number,
    );
    this.admit();
    return false;
  }

  /** Gives back what is reserved for a body beyond `bytes`. */
  shrink(body: QueuedBody, bytes: number): void {
    if (bytes >= this.bytesOf(body)) return;
    this.setReserved(body, bytes);
    this.admit();
  }

  /** Gives back the bytes of a body, which waits no longer; later calls have no effect. */
  release(body: QueuedBody): void {
    if (!this.reserved.has(body) && !this.isWaiting(body)) return;
    this.stopWaiting(body);
    this.reservedBytes -= this.bytesOf(body);
    this.reserved.delete(body);
    this.admit();
  }

  /** Lets waiting bodies go on for which there is memory now. */
  admit(): void {
    while (this.waiting.length > 0) {
      const [[first, needed]] = this.waiting;
      if (this.fits(first, needed)) {
        this.stopWaiting(first);
        this.setReserved(first, needed);
        first.onReserved();
        continue;
      }
      const stuck = this.isWithinLimit(first, needed)
        ? undefined
        : this.findStuck();
      if (stuck === undefined) return;
      this.stopWaiting(stuck);
      stuck.onStuck();
      this.release(stuck);
    }
  }

  /** Returns the latest body that holds bytes if all that hold some wait, as none can go on. */
  private findStuck(): QueuedBody | undefined {
    const holders = this.waiting.filter(([body]) => this.bytesOf(body) > 0);
    if (holders.length < this.reserved.size) return undefined;
    return holders.at(-1)?.[0];
  }

  private fits(body: QueuedBody, needed: number): boolean {
    return (
      this.isWithinLimit(body, needed) &&
      this.hasRoom(needed - this.bytesOf(body))
    );
  }

  private isWithinLimit(body: QueuedBody, needed: number): boolean {
    return this.reservedBytes - this.bytesOf(body) + needed <= this.maxBytes;
  }

  private setReserved(body: QueuedBody, bytes: number): void {
    this.reservedBytes += bytes - this.bytesOf(body);
    this.reserved.set(body, bytes);
  }

  private stopWaiting(body: QueuedBody): void {
    this.waiting = this.waiting.filter(([other]) => other !== body);
  }
}
