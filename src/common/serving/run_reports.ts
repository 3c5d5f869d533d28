/** Reports the runs at a gate to a roll-out of its service. */
import * as units from '../units.js';
import * as gateCall from './gate_call.js';
import * as gateCapacity from './gate_capacity.js';
import * as gateOptions from './gate_options.js';
import * as incarnations from './incarnations.js';

/** Passes starts and ends of runs on; without roll-outs nothing is done. */
export class RunReports {
  constructor(
    private readonly rollouts: gateOptions.GateRollouts | undefined,
    private readonly tracker: incarnations.IncarnationTracker,
  ) {}

  /** Reports a start that the capacity has counted. */
  onStarted(capacity: gateCapacity.GateCapacity, now: units.MonotonicMs): void {
    this.rollouts?.onStarted(capacity.running, capacity.limit(now));
  }

  /** Reports the end of a run, if the backend server has run the request. */
  onEnded(
    {stage, dispatch}: gateCall.GateCall,
    end: gateCall.RunEnd | {readonly kind: 'withdrawn'},
    now: units.MonotonicMs,
  ): void {
    if (stage.kind !== 'running') return;
    const failed = gateCall.failureOf(end);
    if (failed === undefined) return;
    this.rollouts?.onEnded({
      route: dispatch.route,
      failed,
      durationMs: now - stage.startedMs,
      cold: this.tracker.isCold(now),
    });
  }
}
