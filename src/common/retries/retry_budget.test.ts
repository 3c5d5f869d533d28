import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as retryBudget from './retry_budget.js';

const CALLS = 10_000;
const RETRY_RATIO = 0.1;
const MOST_SENT_PER_RECEIVED = 1.1;

/** Returns the further attempts taken when each call wants one of this price. */
function taken(
  price: retryBudget.Price,
  full: boolean,
  mustArrive: boolean,
): number {
  const budget = new retryBudget.RetryBudget();
  let count = 0;
  for (let i = 0; i < CALLS; i++) {
    budget.onCall(RETRY_RATIO);
    budget.onRoomSought(full);
    if (budget.take(price, mustArrive)) count++;
  }
  return count;
}

nodeTest.test('retries stay within the ratio and its reserve', () => {
  const most = CALLS * RETRY_RATIO + 10;
  assert.ok(taken('retry', false, false) <= most);
});

nodeTest.test('full gates earn no redirections', () => {
  assert.ok(taken('redirect', true, false) < 0.01 * CALLS);
  assert.ok(taken('redirect', false, false) > 0.3 * CALLS);
});

nodeTest.test(
  'must-arrive classes go on slowly when all gates are full',
  () => {
    const count = taken('redirect', true, true);
    assert.ok(count > 0);
    assert.ok(1 + count / CALLS < MOST_SENT_PER_RECEIVED);
  },
);

nodeTest.test('what costs nothing is always granted', () => {
  assert.equal(taken('none', true, false), CALLS);
});

nodeTest.test('no hedge is granted when gates are often full', () => {
  const budget = new retryBudget.RetryBudget();
  assert.equal(budget.takeHedge(false), true);
  for (let i = 0; i < 5; i++) budget.onRoomSought(true);
  assert.equal(budget.takeHedge(false), false);
});
