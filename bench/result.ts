/** Results of experiments as they are written to files. */
import * as generated from '../src/generated/configuration.js';
import * as units from '../src/common/units.js';

/** What callers of one class saw in one phase; latencies in milliseconds. */
export interface ClassResult {
  readonly className: string;
  readonly kind: generated.RequestClass['kind'];
  readonly received: number;
  /** Answered without a server error, within the deadline. */
  readonly good: number;
  readonly p50Ms: units.Millis;
  readonly p99Ms: units.Millis;
  readonly p999Ms: units.Millis;
  /** Refusals by reason and outcome, server errors, callers whose entry died. */
  readonly failures: Readonly<Record<string, number>>;
}

/** What callers saw in one phase. */
export interface PhaseResult {
  readonly name: string;
  readonly seconds: number;
  readonly classes: readonly ClassResult[];
}

/** What one run of a scenario gave. */
export interface RunResult {
  readonly scenario: string;
  readonly deployment: string;
  readonly policy: string;
  readonly seed: number;
  readonly load: number;
  readonly phases: readonly PhaseResult[];
  /** Good answers a second. */
  readonly goodputPerSecond: number;
  /** Attempts sent by entries for each request received. */
  readonly sentPerReceived: number;
  /** Executions by backend servers for each request received. */
  readonly runsPerReceived: number;
  /** Load notices and their bytes sent by each node with a backend server in a second. */
  readonly noticesPerNodeSecond: number;
  readonly noticeBytesPerNodeSecond: number;
  readonly coldBreaches: number;
  readonly silentColdBreaches: number;
  readonly slotBreaches: number;
  /** Broken promises by kind, with one example of each. */
  readonly breaches: Readonly<Record<string, number>>;
  readonly examples: Readonly<Record<string, string>>;
  /** Retries by reason and other counters of the cores. */
  readonly counters: Readonly<Record<string, number>>;
}

/** Failed requests of a class. */
export function failedOf(result: ClassResult): number {
  return Object.values(result.failures).reduce((sum, n) => sum + n, 0);
}
