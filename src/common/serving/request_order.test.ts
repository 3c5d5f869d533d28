import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as crashSuspects from './crash_suspects.js';
import * as runQueue from './run_queue.js';
import * as slotReserve from './slot_reserve.js';

const {test} = nodeTest;

interface Item {
  readonly name: string;
  readonly rank: number;
  readonly objectiveAtMs: number;
}

function order(items: readonly Item[], now: number): readonly string[] {
  const queue = new runQueue.RunQueue<Item>();
  for (const item of items) queue.add(item);
  const taken: string[] = [];
  for (;;) {
    const item = queue.take(
      () => true,
      () => 100,
      now,
    );
    if (item === undefined) return taken;
    taken.push(item.name);
  }
}

test('requests are ordered by objective and rank, with late ones last', () => {
  const items = [
    {name: 'late', rank: 0, objectiveAtMs: 50},
    {name: 'patient', rank: 2, objectiveAtMs: 1_500},
    {name: 'urgent', rank: 1, objectiveAtMs: 250},
    {name: 'older patient', rank: 2, objectiveAtMs: 400},
  ];
  assert.deepEqual(order(items, 0), [
    'urgent',
    'older patient',
    'patient',
    'late',
  ]);
});

test('a request that may not start stays in the queue', () => {
  const queue = new runQueue.RunQueue<Item>();
  queue.add({name: 'held', rank: 0, objectiveAtMs: 200});
  queue.add({name: 'free', rank: 2, objectiveAtMs: 900});
  const taken = queue.take(
    item => item.name === 'free',
    () => 10,
    0,
  );
  assert.equal(taken?.name, 'free');
  assert.equal(queue.size, 1);
});

test('long requests leave slots to a route with an objective shorter than their run time', () => {
  const reserve = new slotReserve.SlotReserve();
  reserve.onRequest('checks', 1, 150, 0);
  assert.equal(reserve.reservedSlots(2, 600, 9, 100), 2);
  assert.equal(reserve.reservedSlots(2, 100, 9, 100), 0);
  assert.equal(reserve.reservedSlots(1, 600, 9, 100), 0);
  assert.equal(reserve.reservedSlots(2, 600, 1, 100), 0);
  assert.equal(reserve.reservedSlots(2, 600, 9, 10_000), 0);
});

test('a complete answer clears a request suspected after one death', () => {
  const suspects = new crashSuspects.CrashSuspects();
  suspects.onDeath('nearby', 0);
  suspects.onAnswered('nearby', 10);
  suspects.onDeath('nearby', 20);
  assert.equal(suspects.isQuarantined('nearby', 30), false);
  suspects.onDeath('nearby', 40);
  assert.equal(suspects.isQuarantined('nearby', 50), true);
  suspects.onAnswered('nearby', 60);
  assert.equal(suspects.isQuarantined('nearby', 70), true);
  assert.equal(suspects.isQuarantined('nearby', 500_000), false);
});

test('reported suspicions are merged and never reduced', () => {
  const one = new crashSuspects.CrashSuspects();
  const other = new crashSuspects.CrashSuspects();
  one.onDeath('x', 0);
  one.onDeath('x', 0);
  for (const s of one.list(10)) assert.ok(other.onReport(s, 10));
  assert.ok(other.isQuarantined('x', 20));
  assert.equal(other.onReport({fingerprint: 'x', deaths: 1}, 30), false);
});
