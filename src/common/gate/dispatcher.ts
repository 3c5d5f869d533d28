/** Starts waiting calls in queue order, and second runs of calls without a response. */
import * as peer from '../../generated/peer.js';
import * as invariants from '../invariants.js';
import * as units from '../units.js';
import * as callFinisher from './call_finisher.js';
import * as callRecord from './call_record.js';
import * as gateOptions from './gate_options.js';
import * as gateParts from './gate_parts.js';
import * as quarantine from './quarantine.js';

/** Starts runs on the backend server within the concurrency limit. */
export class Dispatcher {
  constructor(
    private readonly parts: gateParts.GateParts,
    private readonly finisher: callFinisher.CallFinisher,
    private readonly quarantine: quarantine.Quarantine,
  ) {}

  /** Starts waiting calls up to the limit; refuses them all if the gate accepts no new work. */
  dispatch(now: units.Instant): void {
    const {admission, readiness} = this.parts;
    const reason = readiness.refusalReason();
    if (reason) return this.refuseWaiting(reason, now);
    while (admission.hasFreeSlot) {
      const rec = admission.queue.take(item =>
        this.quarantine.mayStart(item, now),
      );
      if (!rec) return;
      if (admission.isInTime(rec, now.monotonicMs)) {
        this.start(rec, now);
      } else {
        this.finisher.refuse(rec, peer.RefusalReason.DEADLINE, now);
      }
    }
  }

  /**
   * Starts a second run, on a new connection, of each idempotent call whose run has had no
   * response in time. Without a free slot the first run is aborted and the call goes to the head of
   * the queue.
   */
  startSecondRuns(now: units.Instant): void {
    const {admission, calls, readiness, options, runs} = this.parts;
    if (readiness.refusalReason()) return;
    for (const rec of [...calls.activeRecords]) {
      if (this.secondRunDueMs(rec) > now.monotonicMs) continue;
      if (!runs.secondRuns.tryTake()) return;
      options.counters.increment('gate.second-run');
      if (admission.hasFreeSlot) {
        this.start(rec, now);
      } else {
        runs.abortAll(rec, now.monotonicMs);
        rec.state = {kind: 'waiting'};
        admission.queue.requeue(rec);
      }
    }
  }

  /** Time at which a second run of the call is due, `Infinity` if it gets none. */
  secondRunDueMs(rec: callRecord.CallRecord): units.MonotonicMs {
    const {admission, options, runs} = this.parts;
    const {progressTimeoutMs} = gateOptions.currentTuning(options);
    const dueMs = runs.secondRuns.dueMs(
      rec,
      progressTimeoutMs,
      admission.recentMs,
    );
    return dueMs ?? Infinity;
  }

  private refuseWaiting(reason: peer.RefusalReason, now: units.Instant): void {
    for (const rec of this.parts.admission.queue.items()) {
      this.finisher.refuse(rec, reason, now);
    }
  }

  private start(rec: callRecord.CallRecord, now: units.Instant): void {
    this.finisher.guard(rec, now, () => {
      this.checkStartInvariants(rec);
      const detail = this.quarantine.refusalFor(rec.call, now);
      if (detail) return this.finisher.refuseWith(rec, detail, now);
      this.parts.runs.start(rec, now.monotonicMs);
    });
  }

  private checkStartInvariants(rec: callRecord.CallRecord): void {
    const {admission, readiness, options, runs} = this.parts;
    const checks: invariants.Invariants = options.invariants;
    const site = gateOptions.errorSite(options, 'start run');
    const {inFlight} = runs;
    const {slowStartCap, limit} = admission;
    const {slots} = readiness;
    checks.check(
      inFlight < limit && limit <= slots,
      site,
      `${inFlight} in flight, limit ${limit}, ${slots} slots`,
    );
    checks.check(
      inFlight < slowStartCap,
      site,
      `${inFlight} in flight, slow start allows ${slowStartCap}`,
    );
    checks.check(
      readiness.refusalReason() === undefined,
      site,
      `call ${rec.callId} dispatched while the gate takes no new work`,
    );
  }
}
