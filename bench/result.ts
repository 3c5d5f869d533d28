/** Results of experiments, in the form in which `--json` writes them to files. */
import * as generated from '../src/generated/configuration.js';
import * as units from '../src/common/units.js';

/** Outcomes and latencies of one request class in one phase, as seen by callers. */
export interface ClassResult {
  readonly className: string;
  readonly kind: generated.RequestClass['kind'];
  readonly received: number;
  /** Requests answered without a server error, within the deadline. */
  readonly good: number;
  readonly p50Ms: units.Millis;
  readonly p99Ms: units.Millis;
  readonly p999Ms: units.Millis;
  /** Counts of refusals by reason and outcome, server errors, and crashes of the entry. */
  readonly failures: Readonly<Record<string, number>>;
}

/** Outcomes and latencies of all request classes in one phase. */
export interface PhaseResult {
  readonly name: string;
  readonly seconds: number;
  readonly classes: readonly ClassResult[];
}

/** Result of one experiment. */
export interface RunResult {
  readonly scenario: string;
  readonly deployment: string;
  readonly policy: string;
  readonly seed: number;
  /** Arrivals as a share of capacity. */
  readonly load: number;
  readonly phases: readonly PhaseResult[];
  /** Good answers per second. */
  readonly goodputPerSecond: number;
  /** Attempts sent by entries per request received. */
  readonly sentPerReceived: number;
  /** Executions by backend servers per request received. */
  readonly runsPerReceived: number;
  /** Load notices, and their bytes, sent per second by each node with a backend server. */
  readonly noticesPerNodeSecond: number;
  readonly noticeBytesPerNodeSecond: number;
  /** Runs begun above the capacity of a server after an announced cold start. */
  readonly coldBreaches: number;
  /** Runs begun above the capacity of a server that turned cold with no signal. */
  readonly silentColdBreaches: number;
  /** Runs begun above the slots of a warm server. */
  readonly slotBreaches: number;
  /** Violations of guarantees to callers and operators, by kind; `examples` has one of each. */
  readonly breaches: Readonly<Record<string, number>>;
  readonly examples: Readonly<Record<string, string>>;
  /** Counters of the cores, such as retries by reason. */
  readonly counters: Readonly<Record<string, number>>;
}

/** Returns the number of failed requests of a class. */
export function countFailures(result: ClassResult): number {
  return Object.values(result.failures).reduce((sum, n) => sum + n, 0);
}
