/** Limits the memory that a gate takes for bodies of requests from other nodes. */

/** Longest body that is neither counted nor turned away: short requests wait for no long ones. */
export const MAX_SMALL_BODY_BYTES = 32 * 1024;

/** Memory of the bodies that a gate receives and holds. */
export class BodyMemory {
  private heldBytes = 0;

  /** @param maxBytes most bytes that all bodies take together, unless it is a single one. */
  constructor(readonly maxBytes: number) {}

  /** Bytes that are taken. */
  get usedBytes(): number {
    return this.heldBytes;
  }

  /** Takes the memory of a body; returns false, and takes none, if it does not fit. */
  take(bytes: number): boolean {
    if (bytes <= MAX_SMALL_BODY_BYTES) return true;
    const fits =
      this.heldBytes === 0 || this.heldBytes + bytes <= this.maxBytes;
    if (fits) this.heldBytes += bytes;
    return fits;
  }

  /** Gives back the memory of a body that has been taken. */
  giveBack(bytes: number): void {
    if (bytes > MAX_SMALL_BODY_BYTES) this.heldBytes -= bytes;
  }
}
