import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as result from './result.js';
import * as targets from './targets.js';

interface ResultSpec {
  readonly scenario: string;
  readonly policy?: string;
  readonly p99Ms?: number;
  readonly goodput?: number;
  readonly sentPerReceived?: number;
  readonly coldBreaches?: number;
}

function buildResult(spec: ResultSpec): result.RunResult {
  const priceClass: result.ClassResult = {
    className: 'price-page',
    kind: 'interactive',
    received: 100,
    good: 100,
    p50Ms: 10,
    p99Ms: spec.p99Ms ?? 20,
    p999Ms: 30,
    failures: {},
  };
  return {
    scenario: spec.scenario,
    deployment: 'caroni',
    policy: spec.policy ?? targets.PRODUCT_POLICY,
    seed: 1,
    load: 0.7,
    phases: [{name: 'all', seconds: 5, classes: [priceClass]}],
    goodputPerSecond: spec.goodput ?? 20,
    sentPerReceived: spec.sentPerReceived ?? 1,
    runsPerReceived: 1,
    noticesPerNodeSecond: 0,
    noticeBytesPerNodeSecond: 0,
    coldBreaches: spec.coldBreaches ?? 0,
    silentColdBreaches: 0,
    slotBreaches: 0,
    breaches: {},
    examples: {},
    counters: {},
  };
}

function isMet(
  results: readonly result.RunResult[],
  target: string,
): boolean | undefined {
  const targetResult = targets
    .evaluateTargets(results)
    .find(r => r.target.includes(target));
  assert.ok(targetResult, `a target contains '${target}'`);
  return targetResult.met;
}

nodeTest.test(
  'p99 under noise is compared with the p99 of the baseline policies',
  () => {
    const baseline = buildResult({
      scenario: 'noisy',
      policy: 'random',
      p99Ms: 100,
    });
    const met = buildResult({scenario: 'noisy', p99Ms: 50});
    const missed = buildResult({scenario: 'noisy', p99Ms: 51});
    assert.equal(isMet([baseline, met], '0.5 x random'), true);
    assert.equal(isMet([baseline, missed], '0.5 x random'), false);
    assert.equal(isMet([met], '0.5 x random'), undefined);
  },
);

nodeTest.test(
  'goodput under overload is compared with the best goodput of all loads',
  () => {
    const steady = ['steady-50', 'steady-70', 'steady-90', 'steady-110'];
    const resultsWithGoodput = (
      goodput: number,
    ): readonly result.RunResult[] => [
      ...steady.map(scenario => buildResult({scenario, goodput: 100})),
      buildResult({scenario: 'overload', goodput}),
    ];
    assert.equal(isMet(resultsWithGoodput(95), 'goodput'), true);
    assert.equal(isMet(resultsWithGoodput(94), 'goodput'), false);
    assert.equal(isMet(resultsWithGoodput(95).slice(1), 'goodput'), undefined);
  },
);

nodeTest.test('limits retry amplification and allows no cold breach', () => {
  const over = buildResult({
    scenario: 'overload',
    sentPerReceived: 1.1,
    coldBreaches: 1,
  });
  assert.equal(isMet([over], 'sent / received'), false);
  assert.equal(isMet([over], 'cold server'), false);
  const within = buildResult({scenario: 'overload', sentPerReceived: 1.09});
  assert.equal(isMet([within], 'sent / received'), true);
  assert.equal(isMet([within], 'cold server'), true);
});
