/** Interface of the decision logic, which maps timed events to actions and does no I/O. */
import * as units from './units.js';

/** A deterministic core: the same events, times and seed give the same actions. */
export interface Core<E, A> {
  /** Handles an event and returns the actions to execute, in order. */
  handle(event: E, now: units.Instant): readonly A[];

  /** Returns the time at which the next `tick` is due, undefined if no timer is needed. */
  nextWakeMs(): units.MonotonicMs | undefined;
}
