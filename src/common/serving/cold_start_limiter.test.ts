import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as fc from 'fast-check';

import * as coldStartLimiter from './cold_start_limiter.js';

const SEED = Number(process.env['SEED'] ?? 11);

nodeTest.test(`no sliding second exceeds the rate, seed ${SEED}`, () => {
  const steps = fc.array(fc.integer({min: 0, max: 300}), {maxLength: 200});
  fc.assert(
    fc.property(steps, fc.integer({min: 1, max: 20}), (waits, rate) => {
      const limit = new coldStartLimiter.ColdStartLimiter(0);
      const starts: number[] = [];
      let now = 0;
      for (const wait of waits) {
        now += wait;
        if (!limit.mayStart(rate, now)) continue;
        limit.onStart(now);
        starts.push(now);
      }
      for (const from of starts) {
        const within = starts.filter(t => t >= from && t < from + 1_000);
        assert.ok(within.length <= rate);
      }
      assert.ok(starts.every(t => t >= 1_000));
    }),
    {seed: SEED},
  );
});

nodeTest.test(
  'the next start is allowed when the oldest one leaves the window',
  () => {
    const limit = new coldStartLimiter.ColdStartLimiter(-1_000);
    limit.onStart(100);
    limit.onStart(300);
    assert.equal(limit.nextStartMs(2, 400), 1_100);
    assert.ok(limit.mayStart(2, 1_100));
  },
);
