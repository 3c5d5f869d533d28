import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as servingLoad from './serving_load.js';

const LENGTH_MS = 10_000;

/** Share of the credit that the users ask for each kind of request on a day without faults. */
const CLASS_FLOOR = 0.49;

/** Credit of an answer after the objective, as a share of that of one in time. */
const LATE_CREDIT = 0.1;

const SEEDS = [1, 2, 3];

// At this rate the fleet needs three quarters of its slots if all work is done at normal pace.
const REQUESTS_PER_SECOND = 10;

nodeTest.test(
  'lookups starve under load while neighbours stall servers',
  () => {
    let asked = 0;
    let credit = 0;
    for (const seed of SEEDS) {
      const fleet = servingLoad.fleet({
        seed,
        serversPerDataCentre: 11,
        requestsPerSecond: REQUESTS_PER_SECOND,
      });
      fleet.run(LENGTH_MS);
      const lookups = fleet.outcomesOf('lookup');
      asked += lookups.asked;
      credit += lookups.inObjective + LATE_CREDIT * lookups.late;
    }
    const share = credit / asked;
    assert.ok(share >= CLASS_FLOOR, `${share.toFixed(3)} of the credit`);
  },
);
