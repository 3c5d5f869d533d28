import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as deployments from './deployments.js';
import * as experiment from './experiment.js';
import * as policies from './policies.js';
import * as result from './result.js';
import * as scenarios from './scenarios.js';

/** Arrivals as a share of capacity. */
const LIGHT_LOAD = 0.05;

function runAtLightLoad(name: string): result.RunResult {
  const scenario = {...scenarios.findScenario(name)!, load: LIGHT_LOAD};
  return experiment.run({
    deployment: deployments.DEPLOYMENTS['caroni'](),
    scenario,
    policy: policies.findPolicy(policies.DEFAULT_POLICIES[0])!,
    seed: 3,
  });
}

nodeTest.test(
  'the same seed gives the same result, and all calls succeed at light load',
  () => {
    const first = runAtLightLoad('steady-50');
    assert.deepEqual(runAtLightLoad('steady-50'), first);
    const classes = first.phases.flatMap(p => p.classes);
    assert.ok(classes.every(c => c.received > 0));
    assert.deepEqual(classes.map(result.countFailures), [0, 0, 0, 0]);
    assert.deepEqual(first.breaches, {});
  },
);

nodeTest.test('no call fails while a data centre is out or returning', () => {
  const outAndBack = runAtLightLoad('out-and-back');
  const classes = outAndBack.phases.flatMap(p => p.classes);
  assert.ok(classes.every(c => c.received > 0));
  assert.deepEqual(
    classes.filter(c => result.countFailures(c) > 0),
    [],
  );
  assert.deepEqual(outAndBack.breaches, {});
});
