import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as failureMemory from './failure_memory.js';

nodeTest.test(
  'a member is avoided longer with each consecutive failure',
  () => {
    const memory = new failureMemory.FailureMemory();
    memory.onFailure('a', 0);
    assert.equal(memory.avoidedUntilMs('a', 10), 1_000);
    memory.onFailure('a', 500);
    assert.equal(memory.avoidedUntilMs('a', 600), 1_000);
    memory.onFailure('a', 1_500);
    assert.equal(memory.avoidedUntilMs('a', 1_600), 3_500);
    memory.onSuccess('a');
    assert.equal(memory.avoidedUntilMs('a', 1_600), undefined);
  },
);

nodeTest.test('the number of tracked members is bounded', () => {
  const memory = new failureMemory.FailureMemory();
  for (let i = 0; i < 5_000; i++) memory.onFailure(`n${i}`, 0);
  assert.equal(memory.avoidedUntilMs('n0', 1), undefined);
  assert.equal(memory.avoidedUntilMs('n4999', 1), 1_000);
});
