import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as loneNode from '../paths/lone_node.js';
import * as startRun from './start_run.js';

const {before, test} = nodeTest;

/** Seeds that every CI run tests. */
const CI_SEEDS = [1, 2];

before(loneNode.build);

for (const seed of CI_SEEDS) {
  test(`starts and stops under signals and half settings end as planned, seed ${seed}`, async () => {
    const {ends, handledMs, breaches} = await startRun.run(seed);
    assert.deepEqual(breaches, []);
    assert.ok((ends.get('exit 0') ?? 0) > 0);
    assert.ok(handledMs.length > 0);
  });
}
