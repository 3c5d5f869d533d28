/** Order of a backend server's incarnations, whose stated starts depend on clocks that may jump. */
import * as units from '../units.js';

/**
 * Announcements in a row, each later than the one before, by which an incarnation shows that it
 * runs although its stated start is not the latest, and the time that they must span. Late ones of
 * a former incarnation are fewer or come all at once.
 */
const MIN_ANNOUNCEMENTS = 3;
const MIN_SPAN_MS: units.Millis = 1_500;

/** Most former incarnations that are remembered. */
const MAX_FORMER = 16;

/** Names an incarnation. */
export interface IncarnationName {
  readonly instanceId: string;
  readonly startMs: units.EpochMs;
}

/** What an announcement says of the order. */
export interface OrderedAnnouncement extends IncarnationName {
  /** Increases with each announcement of an incarnation. */
  readonly sequence: number;
}

/** What is known of the current incarnation. */
export interface CurrentIncarnation {
  readonly instanceId: string;
  /** Undefined if only a health check has reported the incarnation. */
  readonly startMs: units.EpochMs | undefined;
  /** Whether another instance has answered at the address since. */
  readonly gone: boolean;
  /** Whether its process may have ended since its last announcement. */
  readonly ended: boolean;
}

interface Contender {
  readonly announcement: OrderedAnnouncement;
  readonly sinceMs: units.MonotonicMs;
  readonly count: number;
}

/**
 * Decides which incarnation is the newest by what the node has seen: one that announces itself
 * after another one has ended is newer, whatever its clock said at its start. A node that has seen
 * neither of them end takes the later start.
 */
export class IncarnationOrder {
  /** Incarnations that were replaced, the latest last. */
  private readonly former = new Set<string>();
  /** Another incarnation that has announced itself since the current one did. */
  private contender: Contender | undefined;

  /** Whether an incarnation has been replaced by a newer one. */
  isFormer(incarnation: IncarnationName): boolean {
    return this.former.has(keyOf(incarnation));
  }

  /** Whether an incarnation has announced itself since the current one did. */
  isContender(incarnation: IncarnationName): boolean {
    const {contender} = this;
    return (
      contender !== undefined &&
      keyOf(contender.announcement) === keyOf(incarnation)
    );
  }

  /** Handles an announcement of the current incarnation. */
  onCurrentHeard(): void {
    this.contender = undefined;
  }

  /** Whether the current incarnation is replaced by another one that announces itself. */
  replaces(
    announcement: OrderedAnnouncement,
    current: CurrentIncarnation,
    now: units.MonotonicMs,
  ): boolean {
    const isNewer =
      current.ended ||
      current.gone ||
      announcement.startMs > (current.startMs ?? -Infinity);
    if (isNewer && !this.isFormer(announcement)) return true;
    const contender = this.contend(announcement, now);
    if (contender === undefined) return false;
    const {count, sinceMs} = contender;
    return count >= MIN_ANNOUNCEMENTS && now - sinceMs >= MIN_SPAN_MS;
  }

  /** Handles the replacement of the current incarnation, if there was one. */
  onReplaced(current: CurrentIncarnation | undefined): void {
    this.onCurrentHeard();
    if (current?.startMs === undefined) return;
    const {instanceId, startMs} = current;
    const key = keyOf({instanceId, startMs});
    this.former.delete(key);
    this.former.add(key);
    if (this.former.size <= MAX_FORMER) return;
    const [oldest] = this.former;
    this.former.delete(oldest);
  }

  /** Counts an announcement; returns undefined for one that came out of order. */
  private contend(
    announcement: OrderedAnnouncement,
    now: units.MonotonicMs,
  ): Contender | undefined {
    const {contender} = this;
    if (contender === undefined || !this.isContender(announcement)) {
      this.contender = {announcement, sinceMs: now, count: 1};
      return this.contender;
    }
    const {sinceMs, count} = contender;
    if (announcement.sequence <= contender.announcement.sequence) {
      return undefined;
    }
    this.contender = {announcement, sinceMs, count: count + 1};
    return this.contender;
  }
}

function keyOf({instanceId, startMs}: IncarnationName): string {
  return `${startMs}/${instanceId}`;
}
