import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as rolloutTrials from './rollout_trials.js';

const {test} = nodeTest;

/** Seeds of each kind; `rollout_table.js` runs more of them. */
const RUNS = 40;

for (const [name, badness] of rolloutTrials.BAD_VERSIONS) {
  test(`a version with ${name} is rolled back within its exposure`, () => {
    const {BAD_WEATHER} = rolloutTrials;
    const summary = rolloutTrials.runTrials(RUNS, badness, BAD_WEATHER);
    assert.equal(summary.rolledBack, RUNS);
    assert.ok(summary.maxExcess <= 0);
    assert.ok(summary.maxAfterBadS <= 5);
  });
}

for (const [name, weather] of rolloutTrials.WEATHERS) {
  test(`a version is not rolled back: ${name}`, () => {
    const summary = rolloutTrials.runTrials(RUNS, {}, weather);
    assert.equal(summary.moved, RUNS);
    assert.ok(summary.maxExcess <= 0);
  });
}
