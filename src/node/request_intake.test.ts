import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as requestIntake from './request_intake.js';

const {test} = nodeTest;

/** An intake whose requests take `handleMs` each, with a loop that is turned by hand. */
function makeIntake(handleMs: number) {
  let now = 0;
  const callbacks: Array<() => void> = [];
  const handled: number[] = [];
  const intake = new requestIntake.RequestIntake<number>({
    nowMs: () => now,
    afterPoll: callback => void callbacks.push(callback),
    handle: id => {
      handled.push(id);
      now += handleMs;
    },
  });
  const poll = (): void => {
    for (const callback of callbacks.splice(0)) callback();
  };
  return {intake, handled, poll};
}

test('a request is handled only after a poll that follows the one which has read it', () => {
  const {intake, handled, poll} = makeIntake(0);
  intake.add(1);
  poll();
  intake.add(2);
  assert.deepEqual(handled, []);
  poll();
  assert.deepEqual(handled, [1]);
  poll();
  assert.deepEqual(handled, [1, 2]);
});

test('the sockets are polled between requests that take long, and their order is kept', () => {
  const {intake, handled, poll} = makeIntake(5);
  for (const id of [1, 2, 3]) intake.add(id);
  poll();
  poll();
  assert.deepEqual(handled, [1]);
  poll();
  poll();
  assert.deepEqual(handled, [1, 2, 3]);
});
