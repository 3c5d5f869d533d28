/** The shape of decision logic: events with their time in, actions out, no I/O. */
import * as units from './units.js';

/** A core that decides by events alone; the same events and seed give the same actions. */
export interface Core<E, A> {
  /** Takes an event and returns what is to be done, in order. */
  handle(event: E, now: units.Instant): readonly A[];

  /** Returns when the core wants its next `tick`, undefined if it waits for nothing. */
  nextWakeMs(): units.MonotonicMs | undefined;
}
