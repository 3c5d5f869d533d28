/** Handles the results of runs: answers, failures and the death of the backend server. */
import * as peer from '../../generated/peer.js';
import * as invariants from '../invariants.js';
import * as units from '../units.js';
import * as callFinisher from './call_finisher.js';
import * as callRecord from './call_record.js';
import * as gateContract from './gate_contract.js';
import * as gateParts from './gate_parts.js';
import * as quarantine from './quarantine.js';

/** Time after a broken connection within which a death of the server counts as its cause. */
const DEATH_DETECTION_MS = 25;

type AnsweredEvent = Extract<
  gateContract.GateEvent,
  {readonly kind: 'server-answered'}
>;
type FailedEvent = Extract<
  gateContract.GateEvent,
  {readonly kind: 'server-failed'}
>;

/** Applies the results of runs to their calls. */
export class ServerResults {
  constructor(
    private readonly parts: gateParts.GateParts,
    private readonly finisher: callFinisher.CallFinisher,
    private readonly quarantine: quarantine.Quarantine,
  ) {}

  /** Handles a complete answer; the first one finishes the call and aborts its other runs. */
  onAnswered(event: AnsweredEvent, now: units.Instant): void {
    const {admission, calls, runs} = this.parts;
    const rec = calls.activeCall(event.callId);
    const run = runs.end(rec, event.callId, event.run);
    if (!rec || !run) return;
    const {status, headers, body} = event;
    admission.onAnswered(rec, status, run.startedMs, now.monotonicMs);
    runs.abortAll(rec, now.monotonicMs);
    const answer = {status, headers, body};
    this.finisher.finish(rec, {kind: 'answered', answer}, now);
  }

  /** Handles the failure of a run; another run of the call may still be in progress. */
  onFailed(event: FailedEvent, now: units.Instant): void {
    const {admission, calls, runs} = this.parts;
    const rec = calls.activeCall(event.callId);
    const run = runs.end(rec, event.callId, event.run);
    if (!rec || !run) return;
    const {failure} = event;
    const wasNotRun = failure.kind === 'not-sent' || failure.kind === 'shed';
    if (wasNotRun) rec.runsSent--;
    if (failure.kind === 'shed') admission.onShed(now.monotonicMs);
    else admission.onFailed(now.monotonicMs);
    if (rec.runs.length === 0) this.afterLastRun(rec, failure, now);
  }

  /** Refuses the calls that were running when the backend server died. */
  onServerLost(now: units.Instant): void {
    const {calls, readiness, runs} = this.parts;
    readiness.setServerState('absent', 0);
    const interrupted = [...calls.activeRecords].filter(
      rec => rec.state.kind === 'running' || rec.state.kind === 'broken',
    );
    const fingerprints = interrupted.map(rec => rec.call.fingerprint);
    this.quarantine.onServerDied(new Set(fingerprints), now);
    for (const rec of interrupted) {
      runs.dropAll(rec);
      const detail = {
        reason: peer.RefusalReason.SERVER_FAILED,
        outcome: rec.outcomeSoFar,
        serverDied: true,
      };
      this.finisher.refuseWith(rec, detail, now);
    }
  }

  /** Refuses calls whose connection broke without a death of the server being reported in time. */
  refuseBroken(now: units.Instant): void {
    for (const rec of [...this.parts.calls.activeRecords]) {
      if (rec.state.kind !== 'broken') continue;
      if (rec.state.untilMs > now.monotonicMs) continue;
      this.finisher.refuse(rec, peer.RefusalReason.SERVER_FAILED, now);
    }
  }

  private afterLastRun(
    rec: callRecord.CallRecord,
    failure: gateContract.ServerFailure,
    now: units.Instant,
  ): void {
    switch (failure.kind) {
      case 'not-sent':
        return this.onNotSent(rec, now);
      case 'shed':
        return this.onShed(rec, failure.retryAfterMs, now);
      case 'broken':
        rec.state = {
          kind: 'broken',
          untilMs: now.monotonicMs + DEATH_DETECTION_MS,
        };
        return;
      case 'bad-answer':
        return this.finisher.refuse(rec, peer.RefusalReason.BAD_ANSWER, now);
      default:
        return invariants.assertNever(failure);
    }
  }

  private onShed(
    rec: callRecord.CallRecord,
    retryAfterMs: units.Millis,
    now: units.Instant,
  ): void {
    const detail = {
      reason: peer.RefusalReason.SERVER_SHED,
      outcome: rec.outcomeSoFar,
      retryAfterMs,
    };
    this.finisher.refuseWith(rec, detail, now);
  }

  /** Queues the call for one more run; refuses it if that was done before. */
  private onNotSent(rec: callRecord.CallRecord, now: units.Instant): void {
    if (rec.retriedAfterNotSent) {
      return this.finisher.refuse(rec, peer.RefusalReason.SERVER_FAILED, now);
    }
    rec.retriedAfterNotSent = true;
    rec.state = {kind: 'waiting'};
    this.parts.admission.queue.requeue(rec);
  }
}
