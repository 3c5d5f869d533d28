import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as result from './result.js';
import * as targets from './targets.js';

interface Sketch {
  readonly scenario: string;
  readonly policy?: string;
  readonly p99Ms?: number;
  readonly goodput?: number;
  readonly sentPerReceived?: number;
  readonly coldBreaches?: number;
}

function resultOf(sketch: Sketch): result.RunResult {
  const price: result.ClassResult = {
    className: 'price-page',
    kind: 'interactive',
    received: 100,
    good: 100,
    p50Ms: 10,
    p99Ms: sketch.p99Ms ?? 20,
    p999Ms: 30,
    failures: {},
  };
  return {
    scenario: sketch.scenario,
    deployment: 'caroni',
    policy: sketch.policy ?? targets.PRODUCT_POLICY,
    seed: 1,
    load: 0.7,
    phases: [{name: 'all', seconds: 5, classes: [price]}],
    goodputPerSecond: sketch.goodput ?? 20,
    sentPerReceived: sketch.sentPerReceived ?? 1,
    runsPerReceived: 1,
    noticesPerNodeSecond: 0,
    noticeBytesPerNodeSecond: 0,
    coldBreaches: sketch.coldBreaches ?? 0,
    silentColdBreaches: 0,
    slotBreaches: 0,
    breaches: {},
    examples: {},
    counters: {},
  };
}

function stateOf(
  results: readonly result.RunResult[],
  target: string,
): boolean | undefined {
  const verdict = targets.judge(results).find(v => v.target.includes(target));
  assert.ok(verdict, `a target names ${target}`);
  return verdict.met;
}

nodeTest.test('the tail under noise is judged against the baselines', () => {
  const baseline = resultOf({scenario: 'noisy', policy: 'random', p99Ms: 100});
  const met = resultOf({scenario: 'noisy', p99Ms: 50});
  const missed = resultOf({scenario: 'noisy', p99Ms: 51});
  assert.equal(stateOf([baseline, met], '0.5 x random'), true);
  assert.equal(stateOf([baseline, missed], '0.5 x random'), false);
  assert.equal(stateOf([met], '0.5 x random'), undefined);
});

nodeTest.test(
  'goodput under overload is judged against the best of all loads',
  () => {
    const steady = ['steady-50', 'steady-70', 'steady-90', 'steady-110'];
    const at = (goodput: number): readonly result.RunResult[] => [
      ...steady.map(scenario => resultOf({scenario, goodput: 100})),
      resultOf({scenario: 'overload', goodput}),
    ];
    assert.equal(stateOf(at(95), 'goodput'), true);
    assert.equal(stateOf(at(94), 'goodput'), false);
    assert.equal(stateOf(at(95).slice(1), 'goodput'), undefined);
  },
);

nodeTest.test('amplification and cold breaches are judged', () => {
  const over = resultOf({
    scenario: 'overload',
    sentPerReceived: 1.1,
    coldBreaches: 1,
  });
  assert.equal(stateOf([over], 'sent / received'), false);
  assert.equal(stateOf([over], 'cold server'), false);
  const within = resultOf({scenario: 'overload', sentPerReceived: 1.09});
  assert.equal(stateOf([within], 'sent / received'), true);
  assert.equal(stateOf([within], 'cold server'), true);
});
