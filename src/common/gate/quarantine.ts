/** Prevents requests that crash backend servers from running again. */
import * as peer from '../../generated/peer.js';
import * as suspectRequests from '../quarantine/suspect_requests.js';
import * as units from '../units.js';
import * as callFinisher from './call_finisher.js';
import * as callRecord from './call_record.js';
import * as gateParts from './gate_parts.js';
import * as responder from './responder.js';

/** Time after its end for which an unanswered call may be the cause of a server's death. */
const ENDED_SUSPECT_MS = 50;

/** Checks calls against the table of suspect requests and keeps that table up to date. */
export class Quarantine {
  /** End times of calls that ended without an answer of the server, by fingerprint. */
  private readonly unanswered = new Map<string, units.MonotonicMs>();
  private readonly suspects = new suspectRequests.SuspectRequests();

  constructor(
    private readonly parts: gateParts.GateParts,
    finisher: callFinisher.CallFinisher,
    private readonly emit: responder.Emit,
  ) {
    finisher.onFinished(({rec, result, now}) =>
      this.onCallFinished(rec, result, now),
    );
  }

  /**
   * Merges the deaths that the sender reports and returns the refusal of a quarantined request,
   * undefined if the request may run.
   */
  refusalFor(
    call: peer.CallRequest,
    now: units.Instant,
  ): callRecord.RefusalDetail | undefined {
    const {fingerprint, deaths = 0} = call;
    const report = {
      fingerprint,
      deaths,
      expiresInMs: suspectRequests.SUSPICION_TTL_MS,
    };
    this.suspects.onReport(report, now.monotonicMs);
    const remainingMs = this.suspects.quarantinedForMs(
      fingerprint,
      now.monotonicMs,
    );
    if (remainingMs === 0) return undefined;
    return callRecord.notRun(peer.RefusalReason.QUARANTINED, remainingMs);
  }

  /** Whether a call may start now: a suspect does not run concurrently with another suspect. */
  mayStart(rec: callRecord.CallRecord, now: units.Instant): boolean {
    if (!this.isSuspect(rec, now)) return true;
    for (const other of this.parts.calls.activeRecords) {
      if (other === rec || !mayBeRunning(other)) continue;
      if (this.isSuspect(other, now)) return false;
    }
    return true;
  }

  /** Records a death for each call that was running, or had just ended, when the server died. */
  onServerDied(fingerprints: ReadonlySet<string>, now: units.Instant): void {
    this.purgeUnanswered(now.monotonicMs);
    const suspects = new Set([...fingerprints, ...this.unanswered.keys()]);
    this.unanswered.clear();
    for (const fingerprint of suspects) {
      const report = this.suspects.onDeath(fingerprint, now.monotonicMs);
      this.emit({kind: 'report-suspect', report});
    }
  }

  /** Merges a report of another gate. */
  onReport(report: peer.SuspectReport, now: units.Instant): void {
    this.suspects.onReport(report, now.monotonicMs);
  }

  private purgeUnanswered(now: units.MonotonicMs): void {
    for (const [fingerprint, endedMs] of this.unanswered) {
      if (now - endedMs > ENDED_SUSPECT_MS) this.unanswered.delete(fingerprint);
    }
  }

  private isSuspect(rec: callRecord.CallRecord, now: units.Instant): boolean {
    return this.suspects.deathsOf(rec.call.fingerprint, now.monotonicMs) > 0;
  }

  /** Clears the request after a complete answer; remembers it after an unanswered run. */
  private onCallFinished(
    rec: callRecord.CallRecord,
    result: callRecord.CallResult,
    now: units.Instant,
  ): void {
    const {fingerprint} = rec.call;
    if (rec.runsSent > 0 && endedUnanswered(result)) {
      this.purgeUnanswered(now.monotonicMs);
      this.unanswered.set(fingerprint, now.monotonicMs);
    }
    if (result.kind === 'answered') {
      this.suspects.onSuccess(fingerprint, now.monotonicMs);
    }
  }
}

/** Whether a call ended without an answer and not through a known death of the server. */
function endedUnanswered(result: callRecord.CallResult): boolean {
  return result.kind === 'refused' && !result.detail.serverDied;
}

/** Whether the backend server may be running the call. */
function mayBeRunning(rec: callRecord.CallRecord): boolean {
  return rec.state.kind === 'running' || rec.state.kind === 'broken';
}
