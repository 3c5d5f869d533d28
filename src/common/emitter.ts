/** Typed events with disposable subscriptions. */

/** Receives events of type T. */
export type Listener<T> = (event: T) => void;

/** Subscribes a listener. Disposing the result ends the subscription. */
export type Event<T> = (listener: Listener<T>) => Disposable;

/** Fires one event to its listeners. */
export class Emitter<T> implements Disposable {
  private readonly listeners = new Set<Listener<T>>();

  /** Subscribes to the event. */
  readonly event: Event<T> = listener => {
    this.listeners.add(listener);
    return {[Symbol.dispose]: () => void this.listeners.delete(listener)};
  };

  /** Calls every listener in order of subscription. */
  fire(event: T): void {
    for (const listener of this.listeners) listener(event);
  }

  /** Removes all listeners. */
  [Symbol.dispose](): void {
    this.listeners.clear();
  }
}
