/** Tells siblings the load of this gate when it changes, under a rate limit. */
import * as peer from '../../generated/peer.js';
import * as units from '../units.js';
import * as gateParts from './gate_parts.js';
import * as loadRoom from './load_room.js';
import * as responder from './responder.js';

/** Datagrams a second for notices, if the settings say nothing. */
const DATAGRAMS_PER_SECOND = 20;

/** Datagrams that may be saved up. */
const DATAGRAMS_SAVING = 8;

/** Most siblings told of one change; further changes reach further siblings. */
const SIBLINGS_PER_NOTICE = 4;

/** Change of room, as a share of the limit, that is worth a notice. */
const ROOM_CHANGE_SHARE = 0.25;

/** Time after which the load is told again though it has not changed. */
const REFRESH_MS = 2_000;

/** Sends load notices. */
export class LoadNotices {
  private readonly datagramsPerMs: number;
  private saved = DATAGRAMS_SAVING;
  private countedMs: units.MonotonicMs = 0;
  private nextSibling = 0;
  private told: peer.LoadReport | undefined;
  private toldMs = -Infinity;
  private isDue = false;

  constructor(
    private readonly parts: gateParts.GateParts,
    private readonly emit: responder.Emit,
  ) {
    const {noticesPerSecond = DATAGRAMS_PER_SECOND} = parts.options;
    this.datagramsPerMs = noticesPerSecond / units.MS_PER_SECOND;
  }

  /** Time at which a notice is due, undefined while there is nobody to tell. */
  get nextWakeMs(): units.MonotonicMs | undefined {
    if (!this.told) return undefined;
    if (!this.isDue) return this.toldMs + REFRESH_MS;
    return this.countedMs + (1 - this.saved) / this.datagramsPerMs;
  }

  /** Tells siblings of the load if it has changed enough, or was told long ago. */
  observe(load: peer.LoadReport, now: units.MonotonicMs): void {
    this.isDue =
      now - this.toldMs >= REFRESH_MS || isSignificant(this.told, load);
    if (!this.isDue) return;
    this.refill(now);
    if (this.saved < 1) return;
    const nodeIds = this.nextSiblings();
    this.saved -= nodeIds.length;
    this.told = load;
    this.toldMs = now;
    this.isDue = false;
    if (nodeIds.length === 0) return;
    this.emit({kind: 'tell-siblings', nodeIds, load});
  }

  private refill(now: units.MonotonicMs): void {
    const gained = (now - this.countedMs) * this.datagramsPerMs;
    this.saved = Math.min(DATAGRAMS_SAVING, this.saved + gained);
    this.countedMs = now;
  }

  /** Returns the siblings whose turn it is, as many as the rate limit allows. */
  private nextSiblings(): readonly string[] {
    const all = this.parts.siblings.siblingIds();
    const count = Math.min(
      all.length,
      SIBLINGS_PER_NOTICE,
      Math.floor(this.saved),
    );
    const first = this.nextSibling;
    this.nextSibling = (first + count) % Math.max(1, all.length);
    return Array.from({length: count}, (unused, i) => {
      return all[(first + i) % all.length];
    });
  }
}

function isSignificant(
  told: peer.LoadReport | undefined,
  load: peer.LoadReport,
): boolean {
  if (!told) return true;
  if (told.cold !== load.cold || told.leaving !== load.leaving) return true;
  const before = loadRoom.roomOf(told);
  const room = loadRoom.roomOf(load);
  if (before > 0 !== room > 0) return true;
  const threshold = Math.max(1, load.limit * ROOM_CHANGE_SHARE);
  return Math.abs(room - before) >= threshold;
}
