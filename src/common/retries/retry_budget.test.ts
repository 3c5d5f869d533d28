import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as retryBudget from './retry_budget.js';

const CALLS = 10_000;
const RETRY_RATIO = 0.1;
const MAX_SENT_PER_RECEIVED = 1.1;

/** Returns the attempts granted when each call requests one of this cost. */
function countGranted(
  cost: retryBudget.AttemptCost,
  full: boolean,
  mustArrive: boolean,
): number {
  const budget = new retryBudget.RetryBudget();
  let count = 0;
  for (let i = 0; i < CALLS; i++) {
    budget.onCall(RETRY_RATIO);
    budget.recordGateFullness(full);
    if (budget.take(cost, mustArrive)) count++;
  }
  return count;
}

nodeTest.test('retries stay within the ratio and the initial tokens', () => {
  const maxGranted = CALLS * RETRY_RATIO + 10;
  assert.ok(countGranted('retry', false, false) <= maxGranted);
});

nodeTest.test('calls add no redirection tokens while gates are full', () => {
  assert.ok(countGranted('redirect', true, false) < 0.01 * CALLS);
  assert.ok(countGranted('redirect', false, false) > 0.3 * CALLS);
});

nodeTest.test(
  'must-arrive classes still get a few attempts when all gates are full',
  () => {
    const count = countGranted('redirect', true, true);
    assert.ok(count > 0);
    assert.ok(1 + count / CALLS < MAX_SENT_PER_RECEIVED);
  },
);

nodeTest.test('attempts without a cost are always granted', () => {
  assert.equal(countGranted('none', true, false), CALLS);
});

nodeTest.test('no hedge is granted when gates are often full', () => {
  const budget = new retryBudget.RetryBudget();
  assert.equal(budget.takeHedge(false), true);
  for (let i = 0; i < 5; i++) budget.recordGateFullness(true);
  assert.equal(budget.takeHedge(false), false);
});
