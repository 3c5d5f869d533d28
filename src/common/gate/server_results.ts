/** What the backend server makes of its runs: answers, failures, its death. */
import * as peer from '../../generated/peer.js';
import * as invariants from '../invariants.js';
import * as units from '../units.js';
import * as callEnds from './call_ends.js';
import * as record from './call_record.js';
import * as contract from './gate_contract.js';
import * as gateParts from './gate_parts.js';
import * as quarantine from './quarantine.js';

/** Time after a broken connection within which the server's death explains it. */
const DEATH_VERDICT_MS = 25;

type Answered = Extract<contract.GateEvent, {readonly kind: 'server-answered'}>;
type Failed = Extract<contract.GateEvent, {readonly kind: 'server-failed'}>;

/** Takes the results of runs. */
export class ServerResults {
  constructor(
    private readonly parts: gateParts.GateParts,
    private readonly ends: callEnds.CallEnds,
    private readonly quarantine: quarantine.Quarantine,
  ) {}

  /** Takes a complete answer; the first one of a call wins. */
  onAnswered(event: Answered, now: units.Instant): void {
    const {admission, calls, runs} = this.parts;
    const rec = calls.liveCall(event.callId);
    const run = runs.end(rec, event.callId, event.run);
    if (!rec || !run) return;
    const {status, headers, body} = event;
    admission.onAnswered(rec, status, run.startedMs, now.monotonicMs);
    runs.abortAll(rec, now.monotonicMs);
    const answer = {status, headers, body};
    this.ends.finish(rec, {kind: 'answered', answer}, now);
  }

  /** Takes the failure of a run; another run of the call may go on. */
  onFailed(event: Failed, now: units.Instant): void {
    const {admission, calls, runs} = this.parts;
    const rec = calls.liveCall(event.callId);
    const run = runs.end(rec, event.callId, event.run);
    if (!rec || !run) return;
    const {failure} = event;
    const disclaimed = failure.kind === 'not-sent' || failure.kind === 'shed';
    if (disclaimed) rec.runsSent--;
    if (failure.kind === 'shed') admission.onShed(now.monotonicMs);
    else admission.onFailed(now.monotonicMs);
    if (rec.runs.length === 0) this.afterLastRun(rec, failure, now);
  }

  /** Ends the calls that ran when the backend server died. */
  onServerLost(now: units.Instant): void {
    const {calls, entrance, runs} = this.parts;
    entrance.setServer('absent', 0);
    const exposed = [...calls.liveRecords].filter(
      rec => rec.state.kind === 'running' || rec.state.kind === 'broken',
    );
    const fingerprints = exposed.map(rec => rec.call.fingerprint);
    this.quarantine.onServerDied(new Set(fingerprints), now);
    for (const rec of exposed) {
      runs.dropAll(rec);
      const detail = {
        reason: peer.RefusalReason.SERVER_FAILED,
        outcome: rec.outcomeSoFar,
        serverDied: true,
      };
      this.ends.refuseWith(rec, detail, now);
    }
  }

  /** Refuses calls whose connection broke while the server lived on. */
  endBroken(now: units.Instant): void {
    for (const rec of [...this.parts.calls.liveRecords]) {
      if (rec.state.kind !== 'broken') continue;
      if (rec.state.untilMs > now.monotonicMs) continue;
      this.ends.refuse(rec, peer.RefusalReason.SERVER_FAILED, now);
    }
  }

  private afterLastRun(
    rec: record.CallRecord,
    failure: contract.ServerFailure,
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
          untilMs: now.monotonicMs + DEATH_VERDICT_MS,
        };
        return;
      case 'bad-answer':
        return this.ends.refuse(rec, peer.RefusalReason.BAD_ANSWER, now);
      default:
        return invariants.assertNever(failure);
    }
  }

  private onShed(
    rec: record.CallRecord,
    retryAfterMs: units.Millis,
    now: units.Instant,
  ): void {
    const detail = {
      reason: peer.RefusalReason.SERVER_SHED,
      outcome: rec.outcomeSoFar,
      retryAfterMs,
    };
    this.ends.refuseWith(rec, detail, now);
  }

  /** Sends a call once more, unless that failed before. */
  private onNotSent(rec: record.CallRecord, now: units.Instant): void {
    if (rec.repeatedAfterNotSent) {
      return this.ends.refuse(rec, peer.RefusalReason.SERVER_FAILED, now);
    }
    rec.repeatedAfterNotSent = true;
    rec.state = {kind: 'waiting'};
    this.parts.admission.queue.putFirst(rec);
  }
}
