/** Dependencies and settings of a gate. */
import * as randomSource from '../random_source.js';
import * as units from '../units.js';
import * as crashSuspects from './crash_suspects.js';
import * as decision from './decision.js';
import * as gateCall from './gate_call.js';
import * as operatorIntent from './operator_intent.js';

/** Dependencies and settings of a gate. */
export interface GateOptions {
  readonly service: () => string;
  readonly dataCentre: string;
  readonly intent: operatorIntent.OperatorIntent;
  readonly suspects: crashSuspects.CrashSuspects;
  readonly output: gateCall.GateOutput;
  readonly log: decision.DecisionLog;
  readonly random: randomSource.RandomSource;
  /** Maximum request rate in cold start, as a multiple of the declared rate. */
  readonly coldRateFactor: number;
  /** Start of the process on the monotonic and the wall clock. */
  readonly startedMs: units.MonotonicMs;
  readonly startedEpochMs: units.EpochMs;
}
