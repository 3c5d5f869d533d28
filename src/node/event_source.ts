/** Turns callbacks of sockets and timers into a `most` stream. */
import * as most from 'most';

/** A stream whose events are pushed by its owner. */
export class EventSource<T> implements Disposable {
  private sink: most.Sink<T> | undefined;
  private scheduler: most.Scheduler | undefined;

  /** Events emitted since observation began; supports one observer. */
  readonly stream: most.Stream<T> = new most.Stream<T>({
    run: (sink, scheduler) => {
      this.sink = sink;
      this.scheduler = scheduler;
      return {dispose: () => this.detach()};
    },
  });

  /** Sends an event to the observer; without one it is dropped. */
  emit(event: T): void {
    this.sink?.event(this.scheduler?.now() ?? 0, event);
  }

  /** Ends the stream. */
  [Symbol.dispose](): void {
    const sink = this.sink;
    this.detach();
    sink?.end(0);
  }

  private detach(): void {
    this.sink = undefined;
  }
}
