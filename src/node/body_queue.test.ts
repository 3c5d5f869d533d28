import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as bodyQueue from './body_queue.js';

const {test} = nodeTest;

const MAX_BYTES = 100;

/** A queue with bodies that arrived in the order of their names; `events` has their callbacks. */
function makeQueue<T extends string>(names: readonly T[]) {
  const queue = new bodyQueue.BodyQueue(MAX_BYTES);
  const events: string[] = [];
  const bodies = Object.fromEntries(
    names.map((name, number) => [
      name,
      {
        number,
        onReserved: () => void events.push(`${name} reserved`),
        onStuck: () => void events.push(`${name} stuck`),
      },
    ]),
  ) as Record<T, bodyQueue.QueuedBody>;
  return {queue, bodies, events};
}

test('bodies beyond the memory wait and go on in the order of their arrival', () => {
  const {queue, bodies, events} = makeQueue(['first', 'second', 'third']);
  assert.equal(queue.reserve(bodies.first, 80), true);
  assert.equal(queue.reserve(bodies.second, 50), false);
  assert.equal(queue.reserve(bodies.third, 10), false);
  assert.deepEqual(events, []);
  queue.release(bodies.first);
  assert.deepEqual(events, ['second reserved', 'third reserved']);
  assert.equal(queue.usedBytes, 60);
});

test('a body longer than the memory is read when no other is held', () => {
  const {queue, bodies, events} = makeQueue(['small', 'huge']);
  queue.reserve(bodies.small, 10);
  assert.equal(queue.reserve(bodies.huge, 5 * MAX_BYTES), false);
  queue.release(bodies.small);
  assert.deepEqual(events, ['huge reserved']);
  assert.equal(queue.usedBytes, MAX_BYTES);
});

test('of bodies that hold all of the memory and need more, the latest gives up', () => {
  const {queue, bodies, events} = makeQueue(['first', 'second']);
  queue.reserve(bodies.first, 50);
  queue.reserve(bodies.second, 50);
  assert.equal(queue.reserve(bodies.second, 100), false);
  assert.deepEqual(events, []);
  queue.reserve(bodies.first, 100);
  assert.deepEqual(events, ['second stuck', 'first reserved']);
  assert.equal(queue.usedBytes, 100);
});

test('a body that waits while others are handled does not give up', () => {
  const {queue, bodies, events} = makeQueue(['handled', 'reading']);
  queue.reserve(bodies.handled, 40);
  queue.reserve(bodies.reading, 60);
  assert.equal(queue.reserve(bodies.reading, 100), false);
  assert.deepEqual(events, []);
  queue.release(bodies.handled);
  assert.deepEqual(events, ['reading reserved']);
});

test('bytes are given back once, and those of a waiting body too', () => {
  const {queue, bodies, events} = makeQueue(['first', 'second', 'third']);
  queue.reserve(bodies.first, 100);
  queue.reserve(bodies.second, 100);
  queue.reserve(bodies.third, 20);
  queue.release(bodies.second);
  queue.release(bodies.second);
  queue.shrink(bodies.first, 80);
  assert.deepEqual(events, ['third reserved']);
  queue.release(bodies.first);
  queue.release(bodies.first);
  assert.equal(queue.usedBytes, 20);
});
