/** Buffer of items that spread by gossip a bounded number of times until they expire. */
import * as units from '../units.js';

/** Number of times each node sends an item. */
const MAX_SENDS = 16;

/** Maximum number of items kept; the oldest is dropped first. */
const MAX_ITEMS = 256;

interface GossipItem<T> {
  readonly item: T;
  readonly expiresMs: units.MonotonicMs;
  readonly sendCount: number;
}

/** An item that has not expired, with its remaining time. */
export interface LiveItem<T> {
  readonly item: T;
  readonly leftMs: units.Millis;
}

/** Gossip items by key. */
export class GossipBuffer<T> {
  private readonly byKey = new Map<string, GossipItem<T>>();

  /** Returns the item of a key, undefined if there is none or it has expired. */
  get(key: string, nowMs: units.MonotonicMs): T | undefined {
    const found = this.byKey.get(key);
    return found && found.expiresMs > nowMs ? found.item : undefined;
  }

  /** Adds or replaces the item of a key and restarts its spreading. */
  put(key: string, item: T, expiresMs: units.MonotonicMs): void {
    this.byKey.delete(key);
    this.byKey.set(key, {item, expiresMs, sendCount: 0});
    if (this.byKey.size <= MAX_ITEMS) return;
    const [oldest] = this.byKey.keys();
    this.byKey.delete(oldest);
  }

  /** Removes the item of a key. */
  delete(key: string): void {
    this.byKey.delete(key);
  }

  /** Returns all items that have not expired. */
  live(nowMs: units.MonotonicMs): readonly LiveItem<T>[] {
    this.expire(nowMs);
    return [...this.byKey.values()].map(r => liveOf(r, nowMs));
  }

  /** Returns up to `count` items to send, least often sent first, and counts them as sent. */
  take(count: number, nowMs: units.MonotonicMs): readonly LiveItem<T>[] {
    if (this.byKey.size === 0) return [];
    this.expire(nowMs);
    const chosen = [...this.byKey]
      .filter(([, r]) => r.sendCount < MAX_SENDS)
      .sort((a, b) => a[1].sendCount - b[1].sendCount)
      .slice(0, count);
    for (const [key, r] of chosen) {
      this.byKey.set(key, {...r, sendCount: r.sendCount + 1});
    }
    return chosen.map(([, r]) => liveOf(r, nowMs));
  }

  private expire(nowMs: units.MonotonicMs): void {
    for (const [key, r] of this.byKey) {
      if (r.expiresMs <= nowMs) this.byKey.delete(key);
    }
  }
}

function liveOf<T>(r: GossipItem<T>, nowMs: units.MonotonicMs): LiveItem<T> {
  return {item: r.item, leftMs: r.expiresMs - nowMs};
}
