import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as fc from 'fast-check';

import * as requestQueue from './request_queue.js';

interface Item extends requestQueue.QueuedRequest {
  readonly id: number;
}

const SEED = Number(process.env['SEED'] ?? 1);
const KIND = fc.constantFrom<requestQueue.ClassKind>(
  'interactive',
  'must-arrive',
  'deferrable',
);

function itemsOf(
  kinds: readonly requestQueue.ClassKind[],
  deadlineMs = (id: number) => id,
): readonly Item[] {
  return kinds.map((classKind, id) => ({
    id,
    classKind,
    deadlineMs: deadlineMs(id),
  }));
}

nodeTest.test('requests are taken by class kind, then by deadline', () => {
  const queue = new requestQueue.RequestQueue<Item>();
  const kinds = ['deferrable', 'interactive', 'interactive'] as const;
  for (const item of itemsOf(kinds, id => -id)) queue.offer(item, 8);
  assert.deepEqual(
    [queue.take(), queue.take(), queue.take()].map(i => i?.id),
    [2, 1, 0],
  );
});

nodeTest.test('one in four taken is must-arrive while any waits', () => {
  const queue = new requestQueue.RequestQueue<Item>();
  const kinds = [
    ...Array<requestQueue.ClassKind>(12).fill('interactive'),
    ...Array<requestQueue.ClassKind>(3).fill('must-arrive'),
  ];
  for (const item of itemsOf(kinds)) queue.offer(item, 99);
  const taken = Array.from({length: 12}, () => queue.take()?.classKind);
  assert.equal(taken.filter(kind => kind === 'must-arrive').length, 3);
});

nodeTest.test('a full queue displaces only requests of other kinds', () => {
  fc.assert(
    fc.property(
      fc.array(KIND, {maxLength: 60}),
      fc.integer({min: 1, max: 12}),
      (kinds, bound) => {
        const queue = new requestQueue.RequestQueue<Item>();
        for (const item of itemsOf(kinds)) {
          const offer = queue.offer(item, bound);
          assert.ok(queue.size <= bound);
          if (offer.kind !== 'displaced') continue;
          assert.notEqual(offer.item.classKind, item.classKind);
          assert.notEqual(item.classKind, 'deferrable');
        }
        const offered = kinds.filter(k => k === 'must-arrive').length;
        const waiting = queue
          .items()
          .filter(i => i.classKind === 'must-arrive').length;
        assert.ok(waiting >= Math.min(offered, Math.ceil(bound / 4)));
      },
    ),
    {seed: SEED, numRuns: 300},
  );
});

nodeTest.test('the count ahead covers the requests taken before', () => {
  fc.assert(
    fc.property(fc.array(KIND, {maxLength: 20}), KIND, (kinds, kind) => {
      const queue = new requestQueue.RequestQueue<Item>();
      for (const item of itemsOf(kinds)) queue.offer(item, 99);
      const last = {id: 99, classKind: kind, deadlineMs: 99};
      const ahead = queue.countAhead(last);
      queue.offer(last, 99);
      let before = 0;
      while (queue.take()?.id !== 99) before++;
      const mustArriveCount = kinds.filter(k => k === 'must-arrive').length;
      assert.ok(before <= ahead + mustArriveCount);
    }),
    {seed: SEED, numRuns: 300},
  );
});
