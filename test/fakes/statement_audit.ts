/** Checks what backend servers get against what they have stated, over all nodes of a fleet. */
import * as serverStatement from '../../src/common/serving/server_statement.js';
import * as units from '../../src/common/units.js';

/** Length of the windows in which requests are counted. */
const WINDOW_MS: units.Millis = 4_000;

/** Requests allowed in a window: this multiple of what the limit allows, plus some. */
const LIMIT_FACTOR = 1.5;
const LIMIT_SLACK = 5;

/** Time from the first limit of an incarnation until it binds. */
const CONTACT_MS: units.Millis = 3_000;

/** Time from an answer that a node passes on until its requests count. */
const TOLD_MS: units.Millis = 500;

/** Time after a node has passed on that a server leaves in which its requests may still arrive. */
const DRAIN_MS: units.Millis = 2_000;

interface Arrival {
  readonly atMs: units.MonotonicMs;
  /** Whether the node at which the request began had passed on a limit before. */
  readonly told: boolean;
}

interface LimitChange {
  readonly atMs: units.MonotonicMs;
  /** Infinity without a limit. */
  readonly perSecond: number;
}

class IncarnationRecord {
  readonly arrivals: Arrival[] = [];
  readonly limits: LimitChange[] = [];
  readonly toldLimitMs = new Map<string, units.MonotonicMs>();
  readonly toldLeavingMs = new Map<string, units.MonotonicMs>();
}

/** Records statements, answers that nodes pass on, and arrivals at backend servers. */
export class StatementAudit {
  readonly breaches: string[] = [];
  private readonly records = new Map<string, IncarnationRecord>();

  /** Records the limit that an incarnation names from now on. */
  onLimit(
    incarnation: string,
    limit: serverStatement.StatedLimit,
    atMs: units.MonotonicMs,
  ): void {
    const perSecond = limit.kind === 'named' ? limit.perSecond : Infinity;
    this.recordOf(incarnation).limits.push({atMs, perSecond});
  }

  /** Records an answer that a node has passed on to a caller. */
  onPassedOn(
    nodeId: string,
    incarnation: string,
    {limit, leaving}: serverStatement.ServerStatement,
    atMs: units.MonotonicMs,
  ): void {
    const {toldLimitMs, toldLeavingMs} = this.recordOf(incarnation);
    if (limit.kind === 'named' && !toldLimitMs.has(nodeId)) {
      toldLimitMs.set(nodeId, atMs);
    }
    if (leaving && !toldLeavingMs.has(nodeId)) toldLeavingMs.set(nodeId, atMs);
  }

  /** Records that a node was restarted, frozen or cut off, and no longer counts as told. */
  onDisrupted(nodeId: string, kind: 'restart' | 'freeze' | 'cut'): void {
    for (const {toldLimitMs, toldLeavingMs} of this.records.values()) {
      toldLimitMs.delete(nodeId);
      if (kind !== 'cut') toldLeavingMs.delete(nodeId);
    }
  }

  /** Records a request that reaches a backend server. */
  onArrival(
    nodeId: string,
    incarnation: string,
    sentMs: units.MonotonicMs,
    atMs: units.MonotonicMs,
  ): void {
    const {arrivals, toldLimitMs, toldLeavingMs} = this.recordOf(incarnation);
    const told = (toldLimitMs.get(nodeId) ?? Infinity) <= atMs - TOLD_MS;
    arrivals.push({atMs, told});
    const leavingMs = toldLeavingMs.get(nodeId);
    if (leavingMs === undefined || sentMs <= leavingMs + DRAIN_MS) return;
    this.breaches.push(
      `${incarnation} leaves, told by ${nodeId} at ${leavingMs.toFixed(0)} ms; ` +
        `got a request of ${sentMs.toFixed(0)} ms from there`,
    );
  }

  /** Requests that have reached an incarnation. */
  arrivalsAt(incarnation: string): number {
    return this.recordOf(incarnation).arrivals.length;
  }

  /** Checks all windows; returns the breaches, one line each. */
  check(): readonly string[] {
    for (const [incarnation, record] of this.records) {
      this.checkLimit(incarnation, record);
    }
    return this.breaches;
  }

  private checkLimit(incarnation: string, record: IncarnationRecord): void {
    const {arrivals, limits} = record;
    const first = limits.find(l => l.perSecond !== Infinity);
    if (first === undefined) return;
    const bindsMs = first.atMs + CONTACT_MS;
    const told = arrivals.filter(a => a.told && a.atMs >= bindsMs);
    let end = 0;
    for (let start = 0; start < told.length; start++) {
      const fromMs = told[start].atMs;
      while (end < told.length && told[end].atMs < fromMs + WINDOW_MS) end++;
      const allowed =
        LIMIT_FACTOR * allowance(limits, fromMs, fromMs + WINDOW_MS) +
        LIMIT_SLACK;
      if (end - start <= allowed) continue;
      this.breaches.push(
        `${incarnation} got ${end - start} requests in ${WINDOW_MS} ms from ` +
          `${fromMs.toFixed(0)} ms; allowed ${allowed.toFixed(1)}`,
      );
      return;
    }
  }

  private recordOf(incarnation: string): IncarnationRecord {
    let record = this.records.get(incarnation);
    if (record === undefined) {
      record = new IncarnationRecord();
      this.records.set(incarnation, record);
    }
    return record;
  }
}

/** Returns the requests that the limits allow between two times; infinity with a gap in them. */
function allowance(
  limits: readonly LimitChange[],
  fromMs: units.MonotonicMs,
  toMs: units.MonotonicMs,
): number {
  let total = 0;
  limits.forEach(({atMs, perSecond}, i) => {
    const startMs = Math.max(atMs, fromMs);
    const endMs = Math.min(limits.at(i + 1)?.atMs ?? Infinity, toMs);
    if (endMs > startMs) {
      total += (perSecond * (endMs - startMs)) / units.MS_PER_SECOND;
    }
  });
  return total;
}
