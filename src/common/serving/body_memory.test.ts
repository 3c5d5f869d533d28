import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as bodyMemory from './body_memory.js';

const {test} = nodeTest;

const MAX_BYTES = 100_000;

test('long bodies fit until the memory is used up, and again once it is given back', () => {
  const memory = new bodyMemory.BodyMemory(MAX_BYTES);
  assert.ok(memory.take(60_000));
  assert.ok(!memory.take(60_000));
  assert.ok(memory.take(40_000));
  assert.equal(memory.usedBytes, MAX_BYTES);
  memory.giveBack(60_000);
  assert.ok(memory.take(60_000));
});

test('short bodies wait for no long ones', () => {
  const memory = new bodyMemory.BodyMemory(MAX_BYTES);
  assert.ok(memory.take(MAX_BYTES));
  assert.ok(memory.take(bodyMemory.MAX_SMALL_BODY_BYTES));
  memory.giveBack(bodyMemory.MAX_SMALL_BODY_BYTES);
  assert.equal(memory.usedBytes, MAX_BYTES);
});

test('a single body fits whatever its length', () => {
  const memory = new bodyMemory.BodyMemory(MAX_BYTES);
  assert.ok(memory.take(5 * MAX_BYTES));
  assert.ok(!memory.take(40_000));
  memory.giveBack(5 * MAX_BYTES);
  assert.equal(memory.usedBytes, 0);
});
