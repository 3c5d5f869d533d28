import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as fc from 'fast-check';

import * as concurrencyLimiter from './concurrency_limiter.js';

const SEED = Number(process.env['SEED'] ?? 1);
const SLOTS = 12;

function after(ratios: readonly number[]): number {
  const limiter = new concurrencyLimiter.ConcurrencyLimiter();
  for (const ratio of ratios) limiter.onAnswer(ratio, SLOTS, SLOTS);
  return limiter.limitFor(SLOTS);
}

nodeTest.test('the limit falls while answers stay slow, then recovers', () => {
  const slow = Array<number>(300).fill(3.5);
  assert.ok(after(slow) <= SLOTS / 2);
  assert.equal(after([...slow, ...Array<number>(300).fill(1)]), SLOTS);
});

nodeTest.test('a burst of one slow answer per slot keeps the limit', () => {
  const burst = Array<number>(SLOTS).fill(5);
  assert.equal(after(burst), SLOTS);
});

nodeTest.test('the limit stays between 1 and the slots', () => {
  const event = fc.oneof(
    fc.double({min: 0, max: 1e3, noNaN: true}),
    fc.constantFrom('failure', 'shed'),
  );
  fc.assert(
    fc.property(
      fc.array(event),
      fc.integer({min: 1, max: 20}),
      (events, slots) => {
        const limiter = new concurrencyLimiter.ConcurrencyLimiter();
        events.forEach((e, i) => {
          if (e === 'failure') limiter.onFailure();
          else if (e === 'shed') limiter.onShed(slots, i, 1);
          else limiter.onAnswer(Number(e), slots, slots);
          const limit = limiter.limitFor(slots);
          assert.ok(Number.isInteger(limit) && limit >= 1 && limit <= slots);
        });
      },
    ),
    {seed: SEED, numRuns: 300},
  );
});

nodeTest.test('slow answers at low concurrency keep the limit', () => {
  const limiter = new concurrencyLimiter.ConcurrencyLimiter();
  for (let i = 0; i < 500; i++) limiter.onAnswer(20, SLOTS, 2);
  assert.equal(limiter.limitFor(SLOTS), SLOTS);
});
