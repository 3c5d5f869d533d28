/** Tokens of one workspace that an entry holds, and its requests that wait for tokens. */
import * as units from '../units.js';

/** Time over which the demand is averaged. */
const DEMAND_MS: units.Millis = 1_000;

interface Lease {
  readonly count: number;
  readonly usableMs: units.MonotonicMs;
  readonly expiresMs: units.MonotonicMs;
}

/** A request that waits for a token. */
export interface WaitingRequest {
  readonly id: number;
  readonly untilMs: units.MonotonicMs;
}

/** A request for tokens that has not been answered. */
export interface OpenAsk {
  readonly number: number;
  readonly nodeId: string;
  /** Number of tokens. */
  readonly count: number;
  readonly sentMs: units.MonotonicMs;
}

/** A rate per second, averaged with exponentially decreasing weights. */
export class RateMeter {
  private amount = 0;
  private atMs: units.MonotonicMs = 0;

  /** Adds to the amount. */
  add(amount: number, now: units.MonotonicMs): void {
    this.amount = this.perSecond(now) + amount;
    this.atMs = now;
  }

  /** Returns the rate. */
  perSecond(now: units.MonotonicMs): number {
    return this.amount * Math.exp((this.atMs - now) / DEMAND_MS);
  }
}

/** The share that an entry uses while its owner is unreachable. */
export class FallbackShare {
  private used = 0;

  /**
   * @param phase random number in [0, 1), so that the shares of all nodes add up to the rate also
   *     where one node's share is a fraction of a token.
   */
  constructor(
    readonly sinceMs: units.MonotonicMs,
    private readonly phase: number,
  ) {}

  /** Takes a token; returns false if the share is used up. */
  take(perSecond: number, now: units.MonotonicMs): boolean {
    const earned = (perSecond * (now - this.sinceMs)) / units.MS_PER_SECOND;
    if (Math.floor(earned + this.phase) <= this.used) return false;
    this.used++;
    return true;
  }
}

/** State of one workspace at an entry; removed when the workspace is idle. */
export class WorkspaceTokens {
  readonly demand = new RateMeter();
  readonly refused = new RateMeter();
  readonly granted = new RateMeter();
  readonly waiting: WaitingRequest[] = [];
  /** Time until which the owner has no token, by its last answer. */
  emptyUntilMs: units.MonotonicMs = -Infinity;
  /** Time until which the owner is not asked, as it may not grant tokens yet. */
  pendingUntilMs: units.MonotonicMs = -Infinity;
  /** Time until which only the entry's share is used, by an answer that names another owner. */
  redirectedUntilMs: units.MonotonicMs = -Infinity;
  lastGrantMs: units.MonotonicMs = -Infinity;
  usedMs: units.MonotonicMs = 0;
  share: FallbackShare | undefined;
  private leases: readonly Lease[] = [];
  /** Oldest first. */
  private asks: readonly OpenAsk[] = [];

  /** Adds a request for tokens; forgets those sent before `oldestMs`, whose tokens have expired. */
  addAsk(ask: OpenAsk, oldestMs: units.MonotonicMs): void {
    this.asks = [...this.asks.filter(a => a.sentMs > oldestMs), ask];
  }

  /** Removes a request for tokens that was answered; returns undefined if it is not open. */
  endAsk(nodeId: string, number: number): OpenAsk | undefined {
    const found = this.asks.find(
      ask => ask.number === number && ask.nodeId === nodeId,
    );
    this.asks = this.asks.filter(ask => ask !== found);
    return found;
  }

  /** Returns the tokens of the unanswered requests that were sent after a time. */
  asked(sinceMs: units.MonotonicMs): number {
    return this.asks.reduce(
      (sum, ask) => (ask.sentMs > sinceMs ? sum + ask.count : sum),
      0,
    );
  }

  /** Time at which the latest unanswered request for tokens was sent. */
  askedMs(): units.MonotonicMs {
    return this.asks.at(-1)?.sentMs ?? -Infinity;
  }

  /** Adds tokens. */
  add(
    count: number,
    usableMs: units.MonotonicMs,
    expiresMs: units.MonotonicMs,
  ): void {
    if (count > 0) this.leases = [...this.leases, {count, usableMs, expiresMs}];
  }

  /** Takes a token that is usable now; returns its expiry, undefined if there is none. */
  take(now: units.MonotonicMs): units.MonotonicMs | undefined {
    this.expire(now);
    const i = this.leases.findIndex(lease => lease.usableMs <= now);
    if (i < 0) return undefined;
    const lease = this.leases[i];
    this.leases = this.leases
      .with(i, {...lease, count: lease.count - 1})
      .filter(({count}) => count > 0);
    return lease.expiresMs;
  }

  /** Returns the number of tokens held, those included that are not usable yet. */
  held(now: units.MonotonicMs): number {
    this.expire(now);
    return this.leases.reduce((sum, {count}) => sum + count, 0);
  }

  /** Time at which the next token becomes usable, infinity without one. */
  usableAtMs(): units.MonotonicMs {
    return this.leases.reduce((min, l) => Math.min(min, l.usableMs), Infinity);
  }

  private expire(now: units.MonotonicMs): void {
    if (this.leases.every(lease => lease.expiresMs > now)) return;
    this.leases = this.leases.filter(lease => lease.expiresMs > now);
  }
}
