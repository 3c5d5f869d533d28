/** Starts runs: waiting calls in their order, and second runs beside silent ones. */
import * as peer from '../../generated/peer.js';
import * as invariants from '../invariants.js';
import * as units from '../units.js';
import * as callEnds from './call_ends.js';
import * as record from './call_record.js';
import * as gateOptions from './gate_options.js';
import * as gateParts from './gate_parts.js';
import * as quarantine from './quarantine.js';

/** Starts runs on the backend server while there is room. */
export class Dispatcher {
  constructor(
    private readonly parts: gateParts.GateParts,
    private readonly ends: callEnds.CallEnds,
    private readonly quarantine: quarantine.Quarantine,
  ) {}

  /** Starts the waiting calls for which there is room; refuses all if the gate is closed. */
  dispatch(now: units.Instant): void {
    const {admission, entrance} = this.parts;
    const closed = entrance.refusalReason();
    if (closed) return this.refuseWaiting(closed, now);
    while (admission.hasRoom) {
      const rec = admission.queue.take(item =>
        this.quarantine.mayStart(item, now),
      );
      if (!rec) return;
      if (admission.isInTime(rec, now.monotonicMs)) {
        this.start(rec, now);
      } else {
        this.ends.refuse(rec, peer.RefusalReason.DEADLINE, now);
      }
    }
  }

  /** Gives idempotent calls whose run is silent a second one on a fresh connection. */
  replaceSilent(now: units.Instant): void {
    const {admission, calls, entrance, options, runs} = this.parts;
    if (entrance.refusalReason()) return;
    for (const rec of [...calls.liveRecords]) {
      if (this.silentMs(rec) > now.monotonicMs) continue;
      if (!runs.second.tryTake()) return;
      options.counters.increment('gate.second-run');
      if (admission.hasRoom) {
        this.start(rec, now);
      } else {
        runs.abortAll(rec, now.monotonicMs);
        rec.state = {kind: 'waiting'};
        admission.queue.putFirst(rec);
      }
    }
  }

  /** Time at which the only run of a call counts as silent, infinite for none. */
  silentMs(rec: record.CallRecord): units.MonotonicMs {
    const {admission, options, runs} = this.parts;
    const {progressTimeoutMs} = gateOptions.tuningInForce(options);
    const dueMs = runs.second.dueMs(rec, progressTimeoutMs, admission.recentMs);
    return dueMs ?? Infinity;
  }

  private refuseWaiting(reason: peer.RefusalReason, now: units.Instant): void {
    for (const rec of this.parts.admission.queue.items()) {
      this.ends.refuse(rec, reason, now);
    }
  }

  private start(rec: record.CallRecord, now: units.Instant): void {
    this.ends.guard(rec, now, () => {
      this.checkMayStart(rec);
      const detail = this.quarantine.refusalOf(rec.call, now);
      if (detail) return this.ends.refuseWith(rec, detail, now);
      this.parts.runs.start(rec, now.monotonicMs);
    });
  }

  private checkMayStart(rec: record.CallRecord): void {
    const {admission, entrance, options, runs} = this.parts;
    const checks: invariants.Invariants = options.invariants;
    const site = gateOptions.siteOf(options, 'start run');
    const {inFlight} = runs;
    const {coldCap, limit} = admission;
    const {slots} = entrance;
    checks.check(
      inFlight < limit && limit <= slots,
      site,
      `${inFlight} in flight, limit ${limit}, ${slots} slots`,
    );
    checks.check(
      inFlight < coldCap,
      site,
      `${inFlight} in flight, slow start allows ${coldCap}`,
    );
    checks.check(
      entrance.refusalReason() === undefined,
      site,
      `call ${rec.callId} dispatched while the gate takes no new work`,
    );
  }
}
