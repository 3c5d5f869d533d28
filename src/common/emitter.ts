/** Typed events whose subscriptions are disposables. */

/** Receives events of type T. */
export type Listener<T> = (event: T) => void;

/** Subscribes a listener; disposing the result ends the subscription. */
export type Event<T> = (listener: Listener<T>) => Disposable;

/** Source of one event. */
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

  /** Ends all subscriptions. */
  [Symbol.dispose](): void {
    this.listeners.clear();
  }
}
