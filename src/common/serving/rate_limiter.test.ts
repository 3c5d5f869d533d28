import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as fc from 'fast-check';

import * as rateLimiter from './rate_limiter.js';

const {test} = nodeTest;

const SEED = 31;

test('starts in any time stay within the rate and a quarter of a second of it', () => {
  const rate = fc.constantFrom(0.3, 0.8, 1.6, 2.2, 10, 40);
  const gaps = fc.array(fc.integer({min: 0, max: 900}), {maxLength: 200});
  fc.assert(
    fc.property(rate, gaps, (perSecond, gapsMs) => {
      const limiter = new rateLimiter.RateLimiter();
      limiter.setLimit(perSecond, 0);
      const starts: number[] = [];
      let now = 0;
      for (const gapMs of gapsMs) {
        now += gapMs;
        if (limiter.startMs(0, now) > now) continue;
        limiter.onStart(now);
        starts.push(now);
      }
      const burst = Math.max(1, perSecond / 4);
      starts.forEach((fromMs, i) => {
        starts.slice(i).forEach((toMs, count) => {
          const allowed = burst + (perSecond * (toMs - fromMs)) / 1_000;
          assert.ok(count + 1 <= allowed + 1e-6, `${count + 1} > ${allowed}`);
        });
      });
    }),
    {seed: SEED},
  );
});

test('a later position in the queue starts later by the spacing of the rate', () => {
  const limiter = new rateLimiter.RateLimiter();
  limiter.setLimit(2, 0);
  assert.deepEqual(
    [0, 1, 2].map(ahead => limiter.startMs(ahead, 0)),
    [500, 1_000, 1_500],
  );
});

test('a lower limit takes unused starts away, and its withdrawal ends all waits', () => {
  const limiter = new rateLimiter.RateLimiter();
  limiter.setLimit(40, 0);
  assert.equal(limiter.startMs(9, 1_000), 1_000);
  limiter.setLimit(0.5, 1_000);
  assert.equal(limiter.startMs(0, 1_000), 1_000);
  assert.equal(limiter.startMs(1, 1_000), 3_000);
  limiter.setLimit(undefined, 1_000);
  assert.equal(limiter.startMs(100, 1_000), 1_000);
});

test('a limit of 0 lets a request through at times, so that an answer can withdraw it', () => {
  const limiter = new rateLimiter.RateLimiter();
  limiter.setLimit(0, 0);
  assert.equal(limiter.startMs(0, 0), 20_000);
});
