/** Checks the guarantees to callers over all nodes of a virtual fleet. */
import * as entryContract from '../../src/common/entry/entry_contract.js';
import * as peer from '../../src/generated/peer.js';
import * as units from '../../src/common/units.js';
import * as virtualServiceNode from './virtual_service_node.js';
import * as virtualServiceRunner from './virtual_service_runner.js';

/**
 * Kinds of violated guarantees. A final is the one answer or refusal of a request,
 * `foreign-answer` the answer to another request, `work-into-out` a run at a node that is out or
 * leaving.
 */
export type BreachKind =
  | 'two-finals'
  | 'no-final'
  | 'late-final'
  | 'foreign-answer'
  | 'false-not-run'
  | 'ran-twice'
  | 'work-into-out'
  | 'cold-overload'
  | 'crash-repeated'
  | 'core-error';

/** A violated guarantee, with the virtual time at which it was detected. */
export interface AuditBreach {
  readonly kind: BreachKind;
  readonly timeMs: units.MonotonicMs;
  readonly detail: string;
}

/** Time after which a node that is out or leaving must not run new requests. */
export const OUT_GRACE_MS = 3_000;
/** Time past its deadline by which a request must have its final result. */
export const FINAL_RESULT_GRACE_MS = 50;

/** Server deaths caused by a request after which it must not run again. */
const MAX_SERVER_DEATHS = 2;
/** Time after which a quarantine must be in force on every node. */
const QUARANTINE_PROPAGATION_MS = 2_000;

type RequestResult =
  virtualServiceNode.FinalResult | 'entry-died' | 'caller-gone';

/** State of one request at one entry. */
class RequestRecord {
  runs = 0;
  final: RequestResult;

  constructor(
    readonly request: entryContract.CallerRequest,
    readonly idempotent: boolean,
    private readonly finalByMs: units.MonotonicMs,
    private readonly entry: virtualServiceNode.VirtualNode,
  ) {}

  /** Whether the final result is overdue; the time runs from the end of the entry's last pause. */
  isOverdue(nowMs: units.MonotonicMs): boolean {
    return (
      nowMs >
      Math.max(this.finalByMs, this.entry.resumedAtMs + FINAL_RESULT_GRACE_MS)
    );
  }
}

/** Tracks requests from submission to final result and records violated guarantees. */
export class Audit {
  readonly breaches: AuditBreach[] = [];
  private readonly requests = new Map<string, RequestRecord>();
  private readonly deathTimesMs = new Map<
    string,
    readonly units.MonotonicMs[]
  >();
  private readonly stoppedNodeIds = new Set<string>();
  private readonly outSince = new Map<string, units.MonotonicMs>();

  constructor(private readonly nowMs: () => units.MonotonicMs) {}

  /** Registers a request; one that is not idempotent may run at most once. */
  onSubmit(
    entry: virtualServiceNode.VirtualNode,
    request: entryContract.CallerRequest,
    idempotent: boolean,
  ): void {
    const receivedMs = Math.max(this.nowMs(), entry.resumedAtMs);
    const finalByMs = receivedMs + request.deadlineMs + FINAL_RESULT_GRACE_MS;
    this.requests.set(
      request.requestId,
      new RequestRecord(request, idempotent, finalByMs, entry),
    );
  }

  onRun(node: virtualServiceNode.VirtualNode, call: peer.CallRequest): void {
    const requestId = call.callId.slice(0, call.callId.lastIndexOf('.'));
    const record = this.requests.get(requestId);
    if (record === undefined) return;
    record.runs++;
    this.checkRunCount(record, node.nodeId);
    this.checkDeaths(call, node.nodeId);
    if (isNotRun(record.final)) {
      this.report(
        'false-not-run',
        `${requestId} ran at ${node.nodeId} after its refusal`,
      );
    }
    const outSinceMs = this.outSince.get(node.nodeId);
    if (outSinceMs !== undefined && this.nowMs() - outSinceMs > OUT_GRACE_MS) {
      this.report('work-into-out', `${requestId} at ${node.nodeId}`);
    }
  }

  onFinal(requestId: string, final: virtualServiceNode.FinalResult): void {
    const record = this.requests.get(requestId)!;
    if (record.final !== undefined) this.report('two-finals', requestId);
    record.final = final ?? 'entry-died';
    if (final === undefined) return;
    if (record.isOverdue(this.nowMs())) this.report('late-final', requestId);
    this.checkAnswer(record, final);
    if (isNotRun(final) && record.runs > 0) {
      this.report(
        'false-not-run',
        `${requestId} ran ${record.runs} times before its refusal`,
      );
    }
  }

  /** Records the death of a backend server and the request that caused it, if any. */
  onServerDeath(cause: peer.CallRequest | undefined): void {
    if (cause === undefined) return;
    const before = this.deathTimesMs.get(cause.fingerprint) ?? [];
    this.deathTimesMs.set(cause.fingerprint, [...before, this.nowMs()]);
  }

  /** Records that a node accepts no new requests from now on. */
  onTakenOut(nodeId: string): void {
    if (!this.outSince.has(nodeId)) this.outSince.set(nodeId, this.nowMs());
  }

  /** Records that a node was stopped and does not return. */
  onStopped(nodeId: string): void {
    this.onTakenOut(nodeId);
    this.stoppedNodeIds.add(nodeId);
  }

  isStopped(nodeId: string): boolean {
    return this.stoppedNodeIds.has(nodeId);
  }

  /** Records that the caller cancelled the request. */
  onCallerGone(requestId: string): void {
    this.requests.get(requestId)!.final = 'caller-gone';
  }

  /** Records that a node that was out accepts requests again. */
  onReturned(nodeId: string): void {
    this.outSince.delete(nodeId);
  }

  onCoreError(node: virtualServiceNode.VirtualNode, err: unknown): void {
    const text =
      err instanceof Error ? (err.stack ?? err.message) : String(err);
    this.report('core-error', `${node.nodeId}: ${text}`);
  }

  /** Checks, at the end, for requests without a final result and for overloaded cold servers. */
  finish(all: readonly virtualServiceNode.VirtualNode[]): void {
    for (const [requestId, record] of this.requests) {
      const isOpen = record.final === undefined;
      if (isOpen && record.isOverdue(this.nowMs())) {
        this.report('no-final', requestId);
      }
    }
    for (const node of all) {
      const breaches = node.server?.coldBreaches ?? 0;
      if (breaches > 0) {
        this.report('cold-overload', `${node.nodeId}: ${breaches} runs`);
      }
    }
  }

  /** Number of breaches by kind; kinds without one are absent. */
  counts(): Readonly<Record<string, number>> {
    const counts: Record<string, number> = {};
    for (const b of this.breaches) counts[b.kind] = (counts[b.kind] ?? 0) + 1;
    return counts;
  }

  private checkRunCount(record: RequestRecord, nodeId: string): void {
    if (record.idempotent) return;
    if (record.runs <= 1) return;
    this.report('ran-twice', `${record.request.requestId} at ${nodeId}`);
  }

  private checkDeaths(call: peer.CallRequest, nodeId: string): void {
    const deaths = this.deathTimesMs.get(call.fingerprint) ?? [];
    if (deaths.length < MAX_SERVER_DEATHS) return;
    const sinceMs = this.nowMs() - deaths[MAX_SERVER_DEATHS - 1];
    if (sinceMs <= QUARANTINE_PROPAGATION_MS) return;
    const times = deaths.map(Math.round).join(', ');
    this.report(
      'crash-repeated',
      `${call.callId} at ${nodeId}, deaths at ${times} ms`,
    );
  }

  private checkAnswer(
    record: RequestRecord,
    final: virtualServiceNode.FinalResult,
  ): void {
    if (final?.kind !== 'respond') return;
    const expected = virtualServiceRunner.answerTo(record.request.body);
    if (!expected.equals(final.answer.body)) {
      this.report('foreign-answer', record.request.requestId);
    }
  }

  private report(kind: BreachKind, detail: string): void {
    this.breaches.push({kind, timeMs: this.nowMs(), detail});
  }
}

function isNotRun(final: RequestResult): boolean {
  return (
    final !== undefined &&
    typeof final !== 'string' &&
    final.kind === 'refuse' &&
    final.refusal.outcome === peer.Outcome.NOT_RUN
  );
}
