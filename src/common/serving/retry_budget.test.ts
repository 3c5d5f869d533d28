import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as retryBudget from './retry_budget.js';

const WINDOW_MS = 10_000;
const LENGTH_MS = 40_000;

interface Fleet {
  readonly nodes: number;
  /** Requests per second at each node, including calls between servers. */
  readonly perSecond: number;
  /** Share of the requests sent by external callers; the fleet's budget counts only these. */
  readonly externalShare: number;
  readonly slack: number;
}

const RATIO = 0.2;

/** Maximum retries of all nodes in any window, if every request is retried from `fromMs` on. */
function maxRetriesInWindow(fleet: Fleet, fromMs: number): number {
  const {nodes, perSecond, slack} = fleet;
  const budgets = Array.from(
    {length: nodes},
    () => new retryBudget.RetryBudget({ratio: RATIO, slack}, () => nodes),
  );
  const retriesMs: number[] = [];
  const gapMs = 1_000 / (nodes * perSecond);
  for (let i = 0; i * gapMs < LENGTH_MS; i++) {
    const now = i * gapMs;
    const budget = budgets[i % nodes];
    budget.onRequest(now);
    while (now >= fromMs && budget.take()) retriesMs.push(now);
  }
  let worst = 0;
  let first = 0;
  retriesMs.forEach((ms, i) => {
    while (retriesMs[first] <= ms - WINDOW_MS) first++;
    worst = Math.max(worst, i - first + 1);
  });
  return worst;
}

/** Retries allowed to the fleet in a window. */
function allowedRetries({
  nodes,
  perSecond,
  externalShare: clientShare,
  slack,
}: Fleet): number {
  const externalRequests =
    (nodes * perSecond * clientShare * WINDOW_MS) / 1_000;
  return RATIO * externalRequests + slack;
}

const FLEETS: readonly Fleet[] = [
  {nodes: 62, perSecond: 4, externalShare: 0.47, slack: 164},
  {nodes: 90, perSecond: 5, externalShare: 0.5, slack: 220},
  {nodes: 8, perSecond: 15, externalShare: 0.5, slack: 56},
  {nodes: 11, perSecond: 12, externalShare: 1, slack: 62},
];

nodeTest.test('all nodes together stay within the budget of the fleet', () => {
  for (const fleet of FLEETS) {
    for (const fromMs of [0, 1_000, 15_000]) {
      const worst = maxRetriesInWindow(fleet, fromMs);
      const most = allowedRetries(fleet);
      assert.ok(worst <= most, `${worst} of ${most}: ${fleet.nodes} nodes`);
      assert.ok(worst > 0);
    }
  }
});
