/** Sends the load of this gate to its siblings when it changes, under a rate limit. */
import * as peer from '../../generated/peer.js';
import * as units from '../units.js';
import * as gateParts from './gate_parts.js';
import * as loadCapacity from './load_capacity.js';
import * as responder from './responder.js';

/** Rate limit of notices, in datagrams per second, unless set in the settings. */
const DEFAULT_DATAGRAMS_PER_SECOND = 20;

/** Maximum burst, in datagrams. */
const MAX_DATAGRAM_TOKENS = 8;

/** Maximum number of siblings notified of one change; the next change goes to the next ones. */
const MAX_SIBLINGS_PER_NOTICE = 4;

/** Change of free capacity, as a share of the limit, from which a notice is sent. */
const CAPACITY_CHANGE_SHARE = 0.25;

/** Time after which an unchanged load is sent again. */
const REFRESH_INTERVAL_MS = 2_000;

/** Sends load notices through a token bucket of datagrams. */
export class LoadNotices {
  private readonly datagramsPerMs: number;
  private tokens = MAX_DATAGRAM_TOKENS;
  private refilledMs: units.MonotonicMs = 0;
  private nextSibling = 0;
  private lastSent: peer.LoadReport | undefined;
  private lastSentMs = -Infinity;
  private isDue = false;

  constructor(
    private readonly parts: gateParts.GateParts,
    private readonly emit: responder.Emit,
  ) {
    const {noticesPerSecond = DEFAULT_DATAGRAMS_PER_SECOND} = parts.options;
    this.datagramsPerMs = noticesPerSecond / units.MS_PER_SECOND;
  }

  /** Time at which the next notice is due, undefined before the first `observe`. */
  get nextWakeMs(): units.MonotonicMs | undefined {
    if (!this.lastSent) return undefined;
    if (!this.isDue) return this.lastSentMs + REFRESH_INTERVAL_MS;
    return this.refilledMs + (1 - this.tokens) / this.datagramsPerMs;
  }

  /** Sends the load if it changed significantly or the last notice is too old. */
  observe(load: peer.LoadReport, now: units.MonotonicMs): void {
    this.isDue =
      now - this.lastSentMs >= REFRESH_INTERVAL_MS ||
      isSignificantChange(this.lastSent, load);
    if (!this.isDue) return;
    this.refill(now);
    if (this.tokens < 1) return;
    const nodeIds = this.selectSiblings();
    this.tokens -= nodeIds.length;
    this.lastSent = load;
    this.lastSentMs = now;
    this.isDue = false;
    if (nodeIds.length === 0) return;
    this.emit({kind: 'tell-siblings', nodeIds, load});
  }

  private refill(now: units.MonotonicMs): void {
    const gained = (now - this.refilledMs) * this.datagramsPerMs;
    this.tokens = Math.min(MAX_DATAGRAM_TOKENS, this.tokens + gained);
    this.refilledMs = now;
  }

  /** Selects the next siblings in round-robin order, as many as the rate limit allows. */
  private selectSiblings(): readonly string[] {
    const all = this.parts.siblings.siblingIds();
    const count = Math.min(
      all.length,
      MAX_SIBLINGS_PER_NOTICE,
      Math.floor(this.tokens),
    );
    const first = this.nextSibling;
    this.nextSibling = (first + count) % Math.max(1, all.length);
    return Array.from({length: count}, (unused, i) => {
      return all[(first + i) % all.length];
    });
  }
}

function isSignificantChange(
  sent: peer.LoadReport | undefined,
  load: peer.LoadReport,
): boolean {
  if (!sent) return true;
  if (sent.cold !== load.cold || sent.leaving !== load.leaving) return true;
  const lastCapacity = loadCapacity.freeCapacityOf(sent);
  const capacity = loadCapacity.freeCapacityOf(load);
  if (lastCapacity > 0 !== capacity > 0) return true;
  const threshold = Math.max(1, load.limit * CAPACITY_CHANGE_SHARE);
  return Math.abs(capacity - lastCapacity) >= threshold;
}
