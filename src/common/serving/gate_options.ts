/** Dependencies and settings of a gate. */
import * as randomSource from '../random_source.js';
import * as gateTally from '../rollouts/gate_tally.js';
import * as units from '../units.js';
import * as bodyMemory from './body_memory.js';
import * as crashSuspects from './crash_suspects.js';
import * as decision from './decision.js';
import * as gateCall from './gate_call.js';
import * as operatorIntent from './operator_intent.js';

/** What a roll-out decides at a gate, and what it is told. */
export interface GateRollouts {
  /** Whether the version of the backend server gets no requests. */
  readonly isGateClosed: boolean;
  mayStart(now: units.MonotonicMs): boolean;
  /** @param running number of running requests with the one that starts. */
  onStarted(running: number, limit: number): void;
  onEnded(result: gateTally.RunResult): void;
}

/** Dependencies and settings of a gate. */
export interface GateOptions {
  readonly service: () => string;
  readonly dataCentre: string;
  readonly intent: operatorIntent.OperatorIntent;
  readonly suspects: crashSuspects.CrashSuspects;
  /** Limits of roll-outs; none if undefined. */
  readonly rollouts?: GateRollouts;
  readonly output: gateCall.GateOutput;
  /** Whether another link than that of the calls shows that a process of an entry runs. */
  isEntryUp(entryProcess: string): boolean;
  readonly log: decision.DecisionLog;
  readonly random: randomSource.RandomSource;
  /** Memory for bodies of requests from other nodes, unlimited by default. */
  readonly bodyMemory?: bodyMemory.BodyMemory;
  /** Most bytes of answers that are held for entries that may not have received them. */
  readonly replyBytes: number;
  /** Maximum request rate in cold start, as a multiple of the declared rate. */
  readonly coldRateFactor: number;
  /** Start of the process. */
  readonly startedMs: units.MonotonicMs;
  /** Time since which no former process of this node has sent requests to the backend server. */
  readonly soleSenderSinceMs: units.EpochMs;
}

/** Returns the number of requests that the backend server gets in a second while it is cold. */
export function coldPerSecond({
  intent,
  service,
  coldRateFactor,
}: Pick<GateOptions, 'intent' | 'service' | 'coldRateFactor'>): number {
  const rules = intent.configuration?.serviceRules(service());
  return (rules?.coldPerSecond ?? 1) * coldRateFactor;
}
