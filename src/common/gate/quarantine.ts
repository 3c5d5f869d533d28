/** Keeps requests that crash backend servers from running again. */
import * as peer from '../../generated/peer.js';
import * as suspectRequests from '../quarantine/suspect_requests.js';
import * as units from '../units.js';
import * as callEnds from './call_ends.js';
import * as record from './call_record.js';
import * as gateParts from './gate_parts.js';
import * as responder from './responder.js';

/** Time after the end of an unanswered run within which it may explain the server's death. */
const ENDED_SUSPECT_MS = 50;

/** Connects calls with the table of suspect requests. */
export class Quarantine {
  /** Fingerprints of calls that ended without an answer of the server, with the time. */
  private readonly ended = new Map<string, units.MonotonicMs>();
  private readonly suspects = new suspectRequests.SuspectRequests();

  constructor(
    private readonly parts: gateParts.GateParts,
    ends: callEnds.CallEnds,
    private readonly emit: responder.Emit,
  ) {
    ends.onEnd(({rec, result, now}) => this.onEnd(rec, result, now));
  }

  /** Returns why a request must not run, undefined if it may. */
  refusalOf(
    call: peer.CallRequest,
    now: units.Instant,
  ): record.RefusalDetail | undefined {
    const {fingerprint, deaths = 0} = call;
    const report = {
      fingerprint,
      deaths,
      expiresInMs: suspectRequests.SUSPICION_MS,
    };
    this.suspects.onReport(report, now.monotonicMs);
    const forMs = this.suspects.quarantinedForMs(fingerprint, now.monotonicMs);
    if (forMs === 0) return undefined;
    return record.notRun(peer.RefusalReason.QUARANTINED, forMs);
  }

  /** Whether a call may start beside what runs: a suspect waits for another suspect's end. */
  mayStart(rec: record.CallRecord, now: units.Instant): boolean {
    if (!this.isSuspect(rec, now)) return true;
    for (const other of this.parts.calls.liveRecords) {
      if (other === rec || !isExposed(other)) continue;
      if (this.isSuspect(other, now)) return false;
    }
    return true;
  }

  /** Takes note of the calls that ran when the backend server died. */
  onServerDied(fingerprints: ReadonlySet<string>, now: units.Instant): void {
    this.forgetEnded(now.monotonicMs);
    const suspects = new Set([...fingerprints, ...this.ended.keys()]);
    this.ended.clear();
    for (const fingerprint of suspects) {
      const report = this.suspects.onDeath(fingerprint, now.monotonicMs);
      this.emit({kind: 'report-suspect', report});
    }
  }

  /** Takes a report of another gate. */
  onReport(report: peer.SuspectReport, now: units.Instant): void {
    this.suspects.onReport(report, now.monotonicMs);
  }

  private forgetEnded(now: units.MonotonicMs): void {
    for (const [fingerprint, endedMs] of this.ended) {
      if (now - endedMs > ENDED_SUSPECT_MS) this.ended.delete(fingerprint);
    }
  }

  private isSuspect(rec: record.CallRecord, now: units.Instant): boolean {
    return this.suspects.deathsOf(rec.call.fingerprint, now.monotonicMs) > 0;
  }

  /** A complete answer of the backend server clears the request. */
  private onEnd(
    rec: record.CallRecord,
    result: record.CallResult,
    now: units.Instant,
  ): void {
    const {fingerprint} = rec.call;
    if (rec.runsSent > 0 && isUnexplained(result)) {
      this.forgetEnded(now.monotonicMs);
      this.ended.set(fingerprint, now.monotonicMs);
    }
    if (result.kind === 'answered') {
      this.suspects.onSuccess(fingerprint, now.monotonicMs);
    }
  }
}

/** Whether a call ended without an answer while no death of the server explains it yet. */
function isUnexplained(result: record.CallResult): boolean {
  return result.kind === 'refused' && !result.detail.serverDied;
}

/** Whether the backend server may be running the call. */
function isExposed(rec: record.CallRecord): boolean {
  return rec.state.kind === 'running' || rec.state.kind === 'broken';
}
