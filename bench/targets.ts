/** Performance targets under load and faults, evaluated on results of the same seeds. */
import * as result from './result.js';

/** Evaluation of one target on one deployment. */
export interface TargetResult {
  readonly target: string;
  readonly deployment: string;
  /** Undefined if a result that the target needs is missing. */
  readonly met: boolean | undefined;
  readonly observed: string;
}

/** Name of the policy that the product uses. */
export const PRODUCT_POLICY = 'redirect';

/** Greatest allowed ratios of the interactive p99 under noise to that of a baseline policy. */
const MAX_P99_RATIO_TO_RANDOM = 0.5;
const MAX_P99_RATIO_TO_LEAST_IN_FLIGHT = 0.8;
/** Least allowed ratio of the goodput under overload to the best goodput at any load. */
const MIN_GOODPUT_RATIO_TO_BEST = 0.95;
/** Greatest allowed ratio of the interactive p99 of a phase to that of the phase `before`. */
const MAX_P99_RATIO_TO_BEFORE = 1.5;
/** Attempts sent per request received under overload stay below this. */
const SENT_PER_RECEIVED_LIMIT = 1.1;
const NOT_RUN = 'not run';

/** Evaluates all targets on each deployment among `results`. */
export function evaluateTargets(
  results: readonly result.RunResult[],
): readonly TargetResult[] {
  const deployments = [...new Set(results.map(r => r.deployment))];
  return deployments.flatMap(deployment =>
    new TargetEvaluator(deployment, results).evaluate(),
  );
}

class TargetEvaluator {
  private readonly results: readonly result.RunResult[];

  constructor(
    private readonly deployment: string,
    all: readonly result.RunResult[],
  ) {
    this.results = all.filter(r => r.deployment === deployment);
  }

  evaluate(): readonly TargetResult[] {
    return [
      this.compareP99('random', MAX_P99_RATIO_TO_RANDOM),
      this.compareP99('least-in-flight', MAX_P99_RATIO_TO_LEAST_IN_FLIGHT),
      this.compareP99('random+plain-gate', MAX_P99_RATIO_TO_RANDOM),
      this.goodput(),
      this.amplification(),
      this.mustArrive(),
      this.compareP99WithBefore('out'),
      this.compareP99WithBefore('back'),
      this.coldBreaches(),
      this.guarantees(),
    ];
  }

  private resultsFor(
    scenario: string,
    policy = PRODUCT_POLICY,
  ): readonly result.RunResult[] {
    return this.results.filter(
      r => r.scenario === scenario && r.policy === policy,
    );
  }

  private compareP99(policy: string, maxRatio: number): TargetResult {
    const target = `noisy: interactive p99 <= ${maxRatio} x ${policy}`;
    const p99Ms = meanInteractiveP99Ms(this.resultsFor('noisy'));
    const baseMs = meanInteractiveP99Ms(this.resultsFor('noisy', policy));
    if (p99Ms === undefined || baseMs === undefined) return this.result(target);
    const ratio = p99Ms / baseMs;
    const observed = `${p99Ms.toFixed(1)} / ${baseMs.toFixed(1)} ms = ${ratio.toFixed(2)}`;
    return this.result(target, ratio <= maxRatio, observed);
  }

  private goodput(): TargetResult {
    const target = `overload: goodput >= ${MIN_GOODPUT_RATIO_TO_BEST} x best at any load`;
    const overloadGoodput = mean(
      this.resultsFor('overload').map(r => r.goodputPerSecond),
    );
    const loads = [
      'steady-50',
      'steady-70',
      'steady-90',
      'steady-110',
      'overload',
    ];
    const goodputs = loads.map(s =>
      mean(this.resultsFor(s).map(r => r.goodputPerSecond)),
    );
    const known = goodputs.filter(g => g !== undefined);
    if (overloadGoodput === undefined || known.length < loads.length) {
      return this.result(target);
    }
    const best = Math.max(...known);
    const observed = `${overloadGoodput.toFixed(0)} / ${best.toFixed(0)} a second = ${(overloadGoodput / best).toFixed(3)}`;
    return this.result(
      target,
      overloadGoodput >= MIN_GOODPUT_RATIO_TO_BEST * best,
      observed,
    );
  }

  private amplification(): TargetResult {
    const target = `overload: sent / received < ${SENT_PER_RECEIVED_LIMIT}`;
    const sentPerReceived = mean(
      this.resultsFor('overload').map(r => r.sentPerReceived),
    );
    if (sentPerReceived === undefined) return this.result(target);
    return this.result(
      target,
      sentPerReceived < SENT_PER_RECEIVED_LIMIT,
      sentPerReceived.toFixed(3),
    );
  }

  private mustArrive(): TargetResult {
    const target = 'out-and-back: no failed must-arrive call';
    const results = this.resultsFor('out-and-back');
    if (results.length === 0) return this.result(target);
    const classes = results.flatMap(r => r.phases.flatMap(p => p.classes));
    const mustArrive = classes.filter(c => c.kind === 'must-arrive');
    const failed = mustArrive.reduce((n, c) => n + result.countFailures(c), 0);
    const received = mustArrive.reduce((n, c) => n + c.received, 0);
    return this.result(target, failed === 0, `${failed} of ${received} failed`);
  }

  private compareP99WithBefore(phase: string): TargetResult {
    const target = `out-and-back: interactive p99 when ${phase} <= ${MAX_P99_RATIO_TO_BEFORE} x before`;
    const results = this.resultsFor('out-and-back');
    const beforeP99Ms = meanInteractiveP99Ms(results, 'before');
    const phaseP99Ms = meanInteractiveP99Ms(results, phase);
    if (beforeP99Ms === undefined || phaseP99Ms === undefined) {
      return this.result(target);
    }
    const observed = `${phaseP99Ms.toFixed(1)} / ${beforeP99Ms.toFixed(1)} ms = ${(phaseP99Ms / beforeP99Ms).toFixed(2)}`;
    return this.result(
      target,
      phaseP99Ms <= MAX_P99_RATIO_TO_BEFORE * beforeP99Ms,
      observed,
    );
  }

  private coldBreaches(): TargetResult {
    const target = 'no run above what a cold server can carry';
    const results = this.results.filter(r => r.policy === PRODUCT_POLICY);
    const breaches = results.reduce((n, r) => n + r.coldBreaches, 0);
    if (results.length === 0) return this.result(target);
    return this.result(
      target,
      breaches === 0,
      `${breaches} runs in ${results.length} results`,
    );
  }

  private guarantees(): TargetResult {
    const target = 'no promise to callers or operators broken';
    const results = this.results.filter(r => r.policy === PRODUCT_POLICY);
    if (results.length === 0) return this.result(target);
    const counts: Record<string, number> = {};
    for (const [kind, n] of results.flatMap(r => Object.entries(r.breaches))) {
      counts[kind] = (counts[kind] ?? 0) + n;
    }
    const observed = Object.entries(counts).map(([kind, n]) => `${kind} ${n}`);
    return this.result(
      target,
      observed.length === 0,
      observed.join(', ') || 'none',
    );
  }

  private result(
    target: string,
    met?: boolean,
    observed = NOT_RUN,
  ): TargetResult {
    return {target, deployment: this.deployment, met, observed};
  }
}

/** Returns the mean over the results of the greatest p99 among the interactive classes. */
function meanInteractiveP99Ms(
  results: readonly result.RunResult[],
  phase?: string,
): number | undefined {
  return mean(
    results.map(r => {
      const phases = r.phases.filter(
        p => phase === undefined || p.name === phase,
      );
      const classes = phases.flatMap(p => p.classes);
      return Math.max(
        ...classes.filter(c => c.kind === 'interactive').map(c => c.p99Ms),
      );
    }),
  );
}

function mean(values: readonly number[]): number | undefined {
  if (values.length === 0) return undefined;
  return values.reduce((a, b) => a + b, 0) / values.length;
}
