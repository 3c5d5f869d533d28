import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as messageDelay from './message_delay.js';

const {test} = nodeTest;

/** Difference of the clocks of sender and receiver. */
const OFFSET_MS = 40_000;

const USUAL_MS = 5;

function createDelay(): {
  held(atMs: number, heldMs: number): number;
} {
  const delay = new messageDelay.MessageDelay();
  return {
    held: (atMs, heldMs) =>
      delay.onMessage(atMs, atMs + OFFSET_MS + USUAL_MS + heldMs),
  };
}

test('a message that is held up shows by how much', () => {
  const delay = createDelay();
  assert.equal(delay.held(0, 0), 0);
  assert.equal(delay.held(1_000, 30), 30);
  assert.equal(delay.held(2_000, 7_100), 7_100);
  assert.equal(delay.held(8_000, 0), 0);
});

test('messages behind one that was held up are as late by their own times', () => {
  const delay = createDelay();
  delay.held(0, 0);
  assert.deepEqual(
    [0, 100, 1_900].map(ms => delay.held(1_000 + ms, 2_000 - ms)),
    [2_000, 1_900, 100],
  );
});

test('a message after a long silence is compared with those before it', () => {
  const delay = createDelay();
  delay.held(0, 0);
  assert.equal(delay.held(60_000, 900), 900);
});

test('clocks that drift hold up no message', () => {
  const delay = createDelay();
  let late = 0;
  for (let atMs = 0; atMs < 3_600_000; atMs += 1_000) {
    late = Math.max(late, delay.held(atMs, atMs * 100e-6));
  }
  assert.ok(late < 5, `${late} ms`);
});
