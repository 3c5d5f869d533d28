/** Records outcomes and latencies as seen by callers, by class and phase. */
import * as hdr from 'hdr-histogram-js';

import * as generated from '../src/generated/configuration.js';
import * as counterNames from '../src/common/counter_names.js';
import * as invariants from '../src/common/invariants.js';
import * as units from '../src/common/units.js';
import * as virtualServiceNode from '../test/fakes/virtual_service_node.js';
import * as result from './result.js';
import * as scenarios from './scenarios.js';

const MICROSECONDS_PER_MS = 1_000;
const MIN_SERVER_ERROR_STATUS = 500;
const ENTRY_DIED = 'entry-died';

/** Records the requests of one class in one phase. */
class ClassRecorder {
  private received = 0;
  private good = 0;
  private readonly latencies = hdr.build({
    bitBucketSize: 32,
    numberOfSignificantValueDigits: 3,
  });
  private readonly failures: Record<string, number> = {};

  constructor(private readonly requestClass: generated.RequestClass) {}

  record(final: virtualServiceNode.FinalResult, latencyMs: units.Millis): void {
    this.received++;
    const failure = failureReason(final);
    if (failure !== undefined) {
      this.failures[failure] = (this.failures[failure] ?? 0) + 1;
      return;
    }
    this.good++;
    this.latencies.recordValue(Math.round(latencyMs * MICROSECONDS_PER_MS));
  }

  result(): result.ClassResult {
    return {
      className: this.requestClass.name,
      kind: this.requestClass.kind,
      received: this.received,
      good: this.good,
      p50Ms: this.percentileMs(50),
      p99Ms: this.percentileMs(99),
      p999Ms: this.percentileMs(99.9),
      failures: this.failures,
    };
  }

  private percentileMs(percentile: number): units.Millis {
    return (
      this.latencies.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS
    );
  }
}

function failureReason(
  final: virtualServiceNode.FinalResult,
): string | undefined {
  if (final === undefined) return ENTRY_DIED;
  switch (final.kind) {
    case 'respond':
      return final.answer.status >= MIN_SERVER_ERROR_STATUS
        ? `status-${final.answer.status}`
        : undefined;
    case 'refuse': {
      const {reason, outcome} = final.refusal;
      return `${counterNames.reasonName(reason)} (${counterNames.outcomeName(outcome)})`;
    }
    default:
      return invariants.assertNever(final);
  }
}

/** Records the requests of all classes in all phases. */
export class Recorder {
  private readonly recorders: ReadonlyArray<ReadonlyMap<string, ClassRecorder>>;

  constructor(
    private readonly phases: readonly scenarios.Phase[],
    classes: readonly generated.RequestClass[],
  ) {
    this.recorders = phases.map(
      () => new Map(classes.map(c => [c.name, new ClassRecorder(c)])),
    );
  }

  /**
   * Records a finished request. `sinceStartMs` is its intended arrival, counted from the start of
   * the measurement; requests outside all phases are ignored.
   */
  record(
    className: string,
    sinceStartMs: units.Millis,
    latencyMs: units.Millis,
    final: virtualServiceNode.FinalResult,
  ): void {
    const phaseIndex = this.phases.findIndex(
      p => p.fromMs <= sinceStartMs && sinceStartMs < p.toMs,
    );
    this.recorders[phaseIndex]?.get(className)?.record(final, latencyMs);
  }

  results(): readonly result.PhaseResult[] {
    return this.phases.map((p, i) => ({
      name: p.name,
      seconds: (p.toMs - p.fromMs) / 1_000,
      classes: [...this.recorders[i].values()].map(r => r.result()),
    }));
  }
}
