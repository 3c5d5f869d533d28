/** Targets of the decisions under load and faults, judged on results of the same seeds. */
import * as result from './result.js';

/** A target judged on one deployment. */
export interface Verdict {
  readonly target: string;
  readonly deployment: string;
  /** Undefined when a result that it needs is not there. */
  readonly met: boolean | undefined;
  readonly seen: string;
}

/** Policy of the product. */
export const PRODUCT_POLICY = 'redirect';

const P99_AGAINST_RANDOM = 0.5;
const P99_AGAINST_LEAST_IN_FLIGHT = 0.8;
const GOODPUT_AGAINST_BEST = 0.95;
const P99_AGAINST_STEADY = 1.5;
const MOST_SENT_PER_RECEIVED = 1.1;
const NONE = 'not run';

/** Judges all targets on each deployment among `results`. */
export function judge(
  results: readonly result.RunResult[],
): readonly Verdict[] {
  const names = [...new Set(results.map(r => r.deployment))];
  return names.flatMap(name => new Judge(name, results).judge());
}

class Judge {
  private readonly results: readonly result.RunResult[];

  constructor(
    private readonly deployment: string,
    all: readonly result.RunResult[],
  ) {
    this.results = all.filter(r => r.deployment === deployment);
  }

  judge(): readonly Verdict[] {
    return [
      this.p99Against('random', P99_AGAINST_RANDOM),
      this.p99Against('least-in-flight', P99_AGAINST_LEAST_IN_FLIGHT),
      this.p99Against('random+plain-gate', P99_AGAINST_RANDOM),
      this.goodput(),
      this.amplification(),
      this.mustArrive(),
      this.settled('out'),
      this.settled('back'),
      this.cold(),
      this.promises(),
    ];
  }

  private of(
    scenario: string,
    policy = PRODUCT_POLICY,
  ): readonly result.RunResult[] {
    return this.results.filter(
      r => r.scenario === scenario && r.policy === policy,
    );
  }

  private p99Against(policy: string, share: number): Verdict {
    const target = `noisy: interactive p99 <= ${share} x ${policy}`;
    const own = interactiveP99(this.of('noisy'));
    const other = interactiveP99(this.of('noisy', policy));
    if (own === undefined || other === undefined) return this.verdict(target);
    const ratio = own / other;
    const seen = `${own.toFixed(1)} / ${other.toFixed(1)} ms = ${ratio.toFixed(2)}`;
    return this.verdict(target, ratio <= share, seen);
  }

  private goodput(): Verdict {
    const target = `overload: goodput >= ${GOODPUT_AGAINST_BEST} x best at any load`;
    const own = meanOf(this.of('overload').map(r => r.goodputPerSecond));
    const loads = [
      'steady-50',
      'steady-70',
      'steady-90',
      'steady-110',
      'overload',
    ];
    const all = loads.map(s => meanOf(this.of(s).map(r => r.goodputPerSecond)));
    const known = all.filter(g => g !== undefined);
    if (own === undefined || known.length < loads.length) {
      return this.verdict(target);
    }
    const best = Math.max(...known);
    const seen = `${own.toFixed(0)} / ${best.toFixed(0)} a second = ${(own / best).toFixed(3)}`;
    return this.verdict(target, own >= GOODPUT_AGAINST_BEST * best, seen);
  }

  private amplification(): Verdict {
    const target = `overload: sent / received < ${MOST_SENT_PER_RECEIVED}`;
    const own = meanOf(this.of('overload').map(r => r.sentPerReceived));
    if (own === undefined) return this.verdict(target);
    return this.verdict(target, own < MOST_SENT_PER_RECEIVED, own.toFixed(3));
  }

  private mustArrive(): Verdict {
    const target = 'out-and-back: no failed must-arrive call';
    const own = this.of('out-and-back');
    if (own.length === 0) return this.verdict(target);
    const classes = own.flatMap(r => r.phases.flatMap(p => p.classes));
    const mustArrive = classes.filter(c => c.kind === 'must-arrive');
    const failed = mustArrive.reduce((n, c) => n + result.failedOf(c), 0);
    const received = mustArrive.reduce((n, c) => n + c.received, 0);
    return this.verdict(
      target,
      failed === 0,
      `${failed} of ${received} failed`,
    );
  }

  private settled(phase: string): Verdict {
    const target = `out-and-back: interactive p99 when ${phase} <= ${P99_AGAINST_STEADY} x before`;
    const own = this.of('out-and-back');
    const before = interactiveP99(own, 'before');
    const after = interactiveP99(own, phase);
    if (before === undefined || after === undefined) {
      return this.verdict(target);
    }
    const seen = `${after.toFixed(1)} / ${before.toFixed(1)} ms = ${(after / before).toFixed(2)}`;
    return this.verdict(target, after <= P99_AGAINST_STEADY * before, seen);
  }

  private cold(): Verdict {
    const target = 'no run above what a cold server can carry';
    const own = this.results.filter(r => r.policy === PRODUCT_POLICY);
    const breaches = own.reduce((n, r) => n + r.coldBreaches, 0);
    if (own.length === 0) return this.verdict(target);
    return this.verdict(
      target,
      breaches === 0,
      `${breaches} runs in ${own.length} results`,
    );
  }

  private promises(): Verdict {
    const target = 'no promise to callers or operators broken';
    const own = this.results.filter(r => r.policy === PRODUCT_POLICY);
    if (own.length === 0) return this.verdict(target);
    const counts: Record<string, number> = {};
    for (const [kind, n] of own.flatMap(r => Object.entries(r.breaches))) {
      counts[kind] = (counts[kind] ?? 0) + n;
    }
    const seen = Object.entries(counts).map(([kind, n]) => `${kind} ${n}`);
    return this.verdict(target, seen.length === 0, seen.join(', ') || 'none');
  }

  private verdict(target: string, met?: boolean, seen = NONE): Verdict {
    return {target, deployment: this.deployment, met, seen};
  }
}

/** Mean over the results of the greatest p99 among the interactive classes. */
function interactiveP99(
  results: readonly result.RunResult[],
  phase?: string,
): number | undefined {
  return meanOf(
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

function meanOf(values: readonly number[]): number | undefined {
  if (values.length === 0) return undefined;
  return values.reduce((a, b) => a + b, 0) / values.length;
}
