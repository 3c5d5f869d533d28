import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as randomSource from '../random_source.js';
import * as controlContract from './control_contract.js';
import * as logFollower from './log_follower.js';

function page(from: number, count: number): controlContract.LogPage {
  const records = Array.from({length: count}, (unused, i) => ({
    offset: from + i,
    bytes: new Uint8Array(),
  }));
  return {records, firstOffset: 0, nextOffset: from + count};
}

function newFollower(): logFollower.LogFollower {
  return new logFollower.LogFollower(new randomSource.SeededRandom(1));
}

nodeTest.test('runs one read at a time and confirms only at the tail', () => {
  const follower = newFollower();
  assert.notEqual(follower.nextRead(0, 500, 8, 0), undefined);
  assert.equal(follower.nextRead(0, 500, 8, 10), undefined);
  const full = page(0, logFollower.READ_LIMIT);
  assert.equal(follower.noteRead(full, 0), undefined);
  assert.equal(follower.catchingUp, true);
  assert.notEqual(follower.nextRead(500, 500, 8, 20), undefined);
  assert.equal(follower.noteRead(page(500, 3), 500), 20);
  assert.equal(follower.catchingUp, false);
});

nodeTest.test(
  'a page that arrives after adopting a newer state does not restart catching up',
  () => {
    const follower = newFollower();
    follower.nextRead(0, 500, 8, 0);
    follower.notePeerStateAdopted();
    follower.noteRead(page(0, logFollower.READ_LIMIT), 20_000);
    assert.equal(follower.catchingUp, false);
  },
);

nodeTest.test('retries a failed read after a delay', () => {
  const follower = newFollower();
  follower.nextRead(0, 500, 8, 0);
  follower.noteFailed(10);
  assert.equal(follower.failing, true);
  assert.equal(follower.nextRead(0, 500, 8, 20), undefined);
  assert.notEqual(follower.nextRead(0, 500, 8, 5_000), undefined);
});
