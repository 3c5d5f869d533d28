/** Positions in a log whose store may return from an older copy and give offsets out again. */

/** A record of a log; positions are ordered by era first. */
export interface LogPosition {
  /** Number of the store's state; rises by one with each return from a copy. */
  readonly era: number;
  /** Offset of the record, -1 for the position before the first record. */
  readonly offset: number;
}

/** Position before all records of all eras. */
export const BEFORE_ALL: LogPosition = {era: 0, offset: -1};

/** Whether `a` is behind `b`. */
export function isBehind(a: LogPosition, b: LogPosition): boolean {
  return a.era < b.era || (a.era === b.era && a.offset < b.offset);
}

/** Returns the later of two positions. */
export function latest(a: LogPosition, b: LogPosition): LogPosition {
  return isBehind(a, b) ? b : a;
}
