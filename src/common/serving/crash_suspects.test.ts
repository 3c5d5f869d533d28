import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as crashSuspects from './crash_suspects.js';

const {test} = nodeTest;

// Other nodes kept the death of a request that had been answered since, so that the next crash at
// one of them barred it everywhere.
test('an answer at one node clears a suspected request at the others', () => {
  const one = new crashSuspects.CrashSuspects();
  const other = new crashSuspects.CrashSuspects();
  other.onReport(one.onDeath('page', 0), 1);
  const cleared = one.onAnswered('page', 10);
  assert.deepEqual(cleared, {fingerprint: 'page', deaths: 0});
  assert.equal(other.onReport(cleared, 11), true);
  other.onDeath('page', 20);
  assert.equal(other.isQuarantined('page', 30), false);
});

test('an answer is reported only for a suspected request', () => {
  const suspects = new crashSuspects.CrashSuspects();
  assert.equal(suspects.onAnswered('page', 0), undefined);
  suspects.onDeath('page', 10);
  suspects.onDeath('page', 20);
  assert.equal(suspects.onAnswered('page', 30), undefined);
});

test('the answer of another node does not end a quarantine', () => {
  const suspects = new crashSuspects.CrashSuspects();
  suspects.onDeath('page', 0);
  suspects.onDeath('page', 10);
  assert.equal(suspects.onReport({fingerprint: 'page', deaths: 0}, 20), false);
  assert.equal(suspects.isQuarantined('page', 30), true);
});
