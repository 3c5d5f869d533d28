import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as deployments from './deployments.js';
import * as experiment from './experiment.js';
import * as policies from './policies.js';
import * as result from './result.js';
import * as scenarios from './scenarios.js';

const LOAD = 0.05;

function runLightly(): result.RunResult {
  const scenario = {...scenarios.scenarioNamed('steady-50')!, load: LOAD};
  return experiment.run({
    deployment: deployments.DEPLOYMENTS['caroni'](),
    scenario,
    policy: policies.policyNamed(policies.DEFAULT_POLICIES[0])!,
    seed: 3,
  });
}

nodeTest.test(
  'the same seed gives the same result, and all calls of a light load succeed',
  () => {
    const first = runLightly();
    assert.deepEqual(runLightly(), first);
    const classes = first.phases.flatMap(p => p.classes);
    assert.ok(classes.every(c => c.received > 0));
    assert.deepEqual(classes.map(result.failedOf), [0, 0, 0, 0]);
    assert.deepEqual(first.breaches, {});
  },
);
