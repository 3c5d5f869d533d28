/** Load of the demonstration: open-loop requests whose answers are checked. */
import * as hdr from 'hdr-histogram-js';
import * as uuid from 'uuid';

import * as randomSource from '../../src/common/random_source.js';
import * as fleet from '../paths/fleet.js';
import * as serverStandIn from '../stand_ins/server/server_stand_in.js';
import * as deployments from './deployments.js';

/** Results of the requests of one class; part of the JSON output. */
export interface ClassResult {
  readonly className: string;
  readonly sent: number;
  readonly answered: number;
  /** Number of refusals by reason. */
  readonly refused: Readonly<Record<string, number>>;
  /** Answers that failed, were incomplete, or belonged to another request. */
  readonly wrong: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
}

class Tally {
  sent = 0;
  answered = 0;
  wrong = 0;
  readonly refused: Record<string, number> = {};
  readonly latencyUs = hdr.build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 60_000_000,
  });
}

const MICROSECONDS_PER_MILLISECOND = 1_000;

/** Sends requests and collects their results by class. */
export class Caller {
  private readonly tallies = new Map<string, Tally>();
  private readonly openRequests = new Set<Promise<void>>();
  /** Ids of the non-idempotent requests sent. */
  readonly nonIdempotentIds: string[] = [];

  constructor(
    private readonly kinds: readonly deployments.RequestKind[],
    private readonly entries: readonly fleet.Pair[],
    private readonly random: randomSource.RandomSource,
  ) {}

  /** Sends one request of each kind to each entry in turn, and waits for the answers. */
  async sendEachKind(): Promise<void> {
    for (const entry of this.entries) {
      this.kinds.forEach(kind => this.send(kind, entry, performance.now()));
      await this.waitForOpenRequests();
    }
  }

  /**
   * Sends `rate` requests a second as a Poisson process for `durationMs`, without waiting for
   * answers. Latency counts from the time a request was due.
   */
  async sendLoad(rate: number, durationMs: number): Promise<void> {
    const startMs = performance.now();
    let dueMs = startMs;
    while (dueMs < startMs + durationMs) {
      dueMs += (-Math.log(1 - this.random.next()) * 1_000) / rate;
      const waitMs = dueMs - performance.now();
      if (waitMs > 0) await new Promise(resolve => setTimeout(resolve, waitMs));
      const entry = this.entries[this.random.nextInt(this.entries.length)];
      this.send(this.chooseKind(), entry, dueMs);
    }
  }

  /** Resolves when all open requests have ended. */
  async waitForOpenRequests(): Promise<void> {
    await Promise.all(this.openRequests);
  }

  /** Results by class. */
  results(): readonly ClassResult[] {
    return [...this.tallies].map(([className, t]) => ({
      className,
      sent: t.sent,
      answered: t.answered,
      refused: t.refused,
      wrong: t.wrong,
      p50Ms:
        t.latencyUs.getValueAtPercentile(50) / MICROSECONDS_PER_MILLISECOND,
      p99Ms:
        t.latencyUs.getValueAtPercentile(99) / MICROSECONDS_PER_MILLISECOND,
    }));
  }

  private chooseKind(): deployments.RequestKind {
    const total = this.kinds.reduce((sum, kind) => sum + kind.weight, 0);
    let at = this.random.next() * total;
    for (const kind of this.kinds) {
      at -= kind.weight;
      if (at < 0) return kind;
    }
    return this.kinds[0];
  }

  private send(
    kind: deployments.RequestKind,
    entry: fleet.Pair,
    dueMs: number,
  ): void {
    const work = this.sendAndCheck(kind, entry, dueMs);
    this.openRequests.add(work);
    void work.finally(() => this.openRequests.delete(work));
  }

  private async sendAndCheck(
    kind: deployments.RequestKind,
    entry: fleet.Pair,
    dueMs: number,
  ): Promise<void> {
    const tally = this.tallyOf(kind.className);
    const requestId = uuid.v7();
    tally.sent += 1;
    const headers: Record<string, string> = {
      'Geraniumloft-Request-Id': requestId,
    };
    if (kind.method === 'POST') this.nonIdempotentIds.push(requestId);
    const body =
      kind.method === 'POST' ? `{"request":"${requestId}"}` : undefined;
    try {
      const answer = await fleet.call(entry.httpPort, {...kind, headers, body});
      this.recordAnswer(tally, answer, requestId);
      tally.latencyUs.recordValue(
        Math.round((performance.now() - dueMs) * MICROSECONDS_PER_MILLISECOND),
      );
    } catch {
      tally.wrong += 1;
    }
  }

  private recordAnswer(
    tally: Tally,
    answer: fleet.Answer,
    requestId: string,
  ): void {
    const reason = answer.headers['geraniumloft-reason'];
    if (typeof reason === 'string') {
      tally.refused[reason] = (tally.refused[reason] ?? 0) + 1;
    } else if (isCompleteAndMatching(answer, requestId)) {
      tally.answered += 1;
    } else {
      tally.wrong += 1;
    }
  }

  private tallyOf(className: string): Tally {
    let tally = this.tallies.get(className);
    if (!tally) this.tallies.set(className, (tally = new Tally()));
    return tally;
  }
}

function isCompleteAndMatching(
  answer: fleet.Answer,
  requestId: string,
): boolean {
  return (
    answer.status === 200 &&
    answer.headers['geraniumloft-request-id'] === requestId &&
    answer.headers['x-checksum'] === serverStandIn.checksum(answer.body) &&
    answer.body.includes(requestId)
  );
}
