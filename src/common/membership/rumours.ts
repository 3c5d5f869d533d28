/** Items that spread from node to node a bounded number of times until they expire. */
import * as units from '../units.js';

/** Times each node passes an item on. */
const SENDS = 16;

/** Most items kept; the oldest go first. */
const MAX_RUMOURS = 256;

interface Rumour<T> {
  readonly item: T;
  readonly expiresMs: units.MonotonicMs;
  readonly sent: number;
}

/** An item on its way, with the time it has left. */
export interface LiveRumour<T> {
  readonly item: T;
  readonly leftMs: units.Millis;
}

/** Items by key. */
export class Rumours<T> {
  private readonly rumours = new Map<string, Rumour<T>>();

  /** Returns the item under a key, if it has not expired. */
  get(key: string, nowMs: units.MonotonicMs): T | undefined {
    const found = this.rumours.get(key);
    return found && found.expiresMs > nowMs ? found.item : undefined;
  }

  /** Puts an item in place of the one under its key and spreads it anew. */
  put(key: string, item: T, expiresMs: units.MonotonicMs): void {
    this.rumours.delete(key);
    this.rumours.set(key, {item, expiresMs, sent: 0});
    if (this.rumours.size <= MAX_RUMOURS) return;
    const [oldest] = this.rumours.keys();
    this.rumours.delete(oldest);
  }

  /** Removes an item. */
  delete(key: string): void {
    this.rumours.delete(key);
  }

  /** All items that have not expired. */
  live(nowMs: units.MonotonicMs): readonly LiveRumour<T>[] {
    this.expire(nowMs);
    return [...this.rumours.values()].map(r => liveOf(r, nowMs));
  }

  /** Returns up to `count` items to pass on and counts them as sent. */
  take(count: number, nowMs: units.MonotonicMs): readonly LiveRumour<T>[] {
    if (this.rumours.size === 0) return [];
    this.expire(nowMs);
    const chosen = [...this.rumours]
      .filter(([, r]) => r.sent < SENDS)
      .sort((a, b) => a[1].sent - b[1].sent)
      .slice(0, count);
    for (const [key, r] of chosen) {
      this.rumours.set(key, {...r, sent: r.sent + 1});
    }
    return chosen.map(([, r]) => liveOf(r, nowMs));
  }

  private expire(nowMs: units.MonotonicMs): void {
    for (const [key, rumour] of this.rumours) {
      if (rumour.expiresMs <= nowMs) this.rumours.delete(key);
    }
  }
}

function liveOf<T>(r: Rumour<T>, nowMs: units.MonotonicMs): LiveRumour<T> {
  return {item: r.item, leftMs: r.expiresMs - nowMs};
}
