import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as fc from 'fast-check';

import * as wakeQueue from './wake_queue.js';

const SEED = Number(process.env['SEED'] ?? 11);

nodeTest.test(`pops ids in order of their latest times, seed ${SEED}`, () => {
  const step = fc.tuple(fc.integer({min: 0, max: 9}), fc.nat(100), fc.nat(9));
  fc.assert(
    fc.property(fc.array(step, {maxLength: 60}), steps => {
      const queue = new wakeQueue.WakeQueue();
      const model = new Map<string, number>();
      for (const [id, atMs, choice] of steps) {
        if (choice === 0) {
          queue.delete(`${id}`);
          model.delete(`${id}`);
        } else {
          queue.set(`${id}`, atMs);
          model.set(`${id}`, atMs);
        }
        const earliest =
          model.size > 0 ? Math.min(...model.values()) : undefined;
        assert.equal(queue.nextMs(), earliest);
      }
      const times: number[] = [];
      for (;;) {
        const id = queue.popDue(100);
        if (id === undefined) break;
        times.push(model.get(id) ?? -1);
        model.delete(id);
      }
      assert.equal(model.size, 0);
      assert.deepEqual(
        times,
        [...times].sort((a, b) => a - b),
      );
    }),
    {seed: SEED},
  );
});
