/** Abort signals of single operations of an owner that lives on. */

/**
 * Aborts one operation, also when its owner is aborted. `AbortSignal.any` would leave an entry on
 * the owner's signal for each operation.
 */
export class LinkedAbort implements Disposable {
  private readonly controller = new AbortController();
  private readonly onOwnerAborted = (): void => this.abort();

  constructor(private readonly owner: AbortSignal) {
    if (owner.aborted) this.abort();
    else owner.addEventListener('abort', this.onOwnerAborted);
  }

  /** Aborted with the operation or its owner. */
  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /** Aborts the operation. */
  abort(): void {
    this.controller.abort();
  }

  /** Unlinks an operation that has ended. */
  [Symbol.dispose](): void {
    this.owner.removeEventListener('abort', this.onOwnerAborted);
  }
}
