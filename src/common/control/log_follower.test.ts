import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as randomSource from '../random_source.js';
import * as control from './control_contract.js';
import * as logFollower from './log_follower.js';

function page(from: number, count: number): control.LogPage {
  const records = Array.from({length: count}, (unused, i) => ({
    offset: from + i,
    bytes: new Uint8Array(),
  }));
  return {records, firstOffset: 0, nextOffset: from + count};
}

function newFollower(): logFollower.LogFollower {
  return new logFollower.LogFollower(new randomSource.SeededRandom(1));
}

nodeTest.test(
  'one read at a time; only one that reaches the tail confirms',
  () => {
    const follower = newFollower();
    assert.notEqual(follower.step(0, 500, 8, 0), undefined);
    assert.equal(follower.step(0, 500, 8, 10), undefined);
    const full = page(0, logFollower.READ_LIMIT);
    assert.equal(follower.noteRead(full, 0), undefined);
    assert.equal(follower.catchingUp, true);
    assert.notEqual(follower.step(500, 500, 8, 20), undefined);
    assert.equal(follower.noteRead(page(500, 3), 500), 20);
    assert.equal(follower.catchingUp, false);
  },
);

nodeTest.test(
  'a late page of old records does not make a node catch up',
  () => {
    const follower = newFollower();
    follower.step(0, 500, 8, 0);
    follower.noteAdopted();
    follower.noteRead(page(0, logFollower.READ_LIMIT), 20_000);
    assert.equal(follower.catchingUp, false);
  },
);

nodeTest.test('a failed read is tried again after a wait', () => {
  const follower = newFollower();
  follower.step(0, 500, 8, 0);
  follower.noteFailed(10);
  assert.equal(follower.failing, true);
  assert.equal(follower.step(0, 500, 8, 20), undefined);
  assert.notEqual(follower.step(0, 500, 8, 5_000), undefined);
});
